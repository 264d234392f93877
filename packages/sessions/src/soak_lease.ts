import { checkLeases } from "./check_leases.ts";

/**
 * Checks random lease scenarios with increasing seeds for a number of minutes;
 * prints each seed. Throws at the first violation.
 */
export function soakLease(options: { seed: number; minutes: number }): void {
  const untilMs = performance.now() + options.minutes * 60_000;
  for (let seed = options.seed; performance.now() < untilMs; seed++) {
    console.log(`soak lease: seed ${seed}, ${SCENARIOS_PER_SEED} scenarios`);
    checkLeases({ seed, runs: SCENARIOS_PER_SEED });
  }
}

const SCENARIOS_PER_SEED = 500;
