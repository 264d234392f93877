import { checkQueue } from "./check_queue.ts";

/** Compares queues over random histories; prints each seed. */
export function soakPolicy(options: { seed: number; minutes: number }): void {
  const untilMs = performance.now() + options.minutes * 60_000;
  for (let seed = options.seed; performance.now() < untilMs; seed++) {
    console.log(`soak policy: seed ${seed}, ${SOAK_RUNS} histories`);
    checkQueue({ seed, runs: SOAK_RUNS });
  }
}

const SOAK_RUNS = 2000;
