import { checkQueue } from "./check_queue.ts";

/**
 * Compares the queue with its reference model with increasing seeds for a
 * number of minutes; prints each seed. Throws at the first difference.
 */
export function soakPolicy(options: { seed: number; minutes: number }): void {
  const untilMs = performance.now() + options.minutes * 60_000;
  for (let seed = options.seed; performance.now() < untilMs; seed++) {
    console.log(`soak policy: seed ${seed}, ${HISTORIES_PER_SEED} histories`);
    checkQueue({ seed, runs: HISTORIES_PER_SEED });
  }
}

const HISTORIES_PER_SEED = 2000;
