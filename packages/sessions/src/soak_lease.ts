import { checkLeases } from "./check_leases.ts";

/** Checks random lease scenarios until the time is over; prints each seed. */
export function soakLease(options: { seed: number; minutes: number }): void {
  const untilMs = performance.now() + options.minutes * 60_000;
  for (let seed = options.seed; performance.now() < untilMs; seed++) {
    console.log(`soak lease: seed ${seed}, ${SOAK_RUNS} scenarios`);
    checkLeases({ seed, runs: SOAK_RUNS });
  }
}

const SOAK_RUNS = 500;
