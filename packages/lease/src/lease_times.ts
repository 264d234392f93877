/** How long a backer counts for a leader, from the leader's own stamp. */
export const LEASE_MS = 1000;

/** How long after the entry's stamp in it a grant may still start a call. */
export const GRANT_VALID_MS = 400;

/** Largest deviation of a clock's rate from the true one. */
export const CLOCK_DRIFT = 0.01;

/** Longest time from the start of a call until its upstream counts it. */
export const START_MS = 100;

/** Longest time until an upstream ends the calls of an entry that died. */
export const LINGER_MS = 5000;

/**
 * Time by one clock, in milliseconds, after which `durationMs` have passed by
 * any other clock that began no later.
 */
export function outlast(durationMs: number): number {
  return durationMs * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT);
}
