/** Duration of a backer's lease, counted from the leader's own stamp. */
export const LEASE_MS = 1000;

/** Time after the entry's stamp in a grant for which it may start a call. */
export const GRANT_VALID_MS = 400;

/** Largest deviation of a clock's rate from real time, as a fraction. */
export const CLOCK_DRIFT = 0.01;

/** Longest delay until an upstream's load includes a call that has started. */
export const LOAD_LAG_MS = 100;

/** Longest time until an upstream ends the calls of an entry that died. */
export const ORPHANED_CALL_MS = 5000;

/**
 * Duration on one clock, in milliseconds, after which at least `durationMs`
 * have passed on any other clock, measured from the same moment or earlier.
 */
export function withClockDrift(durationMs: number): number {
  return durationMs * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT);
}
