/** Delay of the first probe after a failure, in milliseconds. */
export const PROBE_FIRST_MS = 200;
/** Longest delay of a probe, in milliseconds. */
export const PROBE_MAX_MS = 5000;

/** Lets one call at a time through to an upstream that failed. */
export interface Probe {
  /** Notes a failed call; returns whether it is a new failure. */
  onFailure(startedMs: number, nowMs: number): boolean;
  /** Notes a whole answer. */
  onSuccess(startedMs: number): void;
  /** Whether a failure has not yet been followed by an answer. */
  isProbing(): boolean;
  /** Whether a call may start now. */
  isOpen(nowMs: number): boolean;
  /** Time of the last failure. */
  failedMs(): number;
  /** Ends the probing without an answer. */
  clear(): void;
}

/** Creates the probe of an upstream that has not failed. */
export function createProbe(): Probe {
  let failures = 0;
  let failedMs = -Infinity;
  let opensMs = -Infinity;
  return {
    onFailure(startedMs, nowMs) {
      // All calls that one crash broke are one failure.
      if (startedMs <= failedMs) return false;
      failedMs = nowMs;
      const delayMs = Math.min(PROBE_MAX_MS, PROBE_FIRST_MS * 2 ** failures);
      opensMs = nowMs + delayMs;
      failures++;
      return true;
    },
    onSuccess(startedMs) {
      if (startedMs > failedMs) failures = 0;
    },
    isProbing: () => failures > 0,
    isOpen: (nowMs) => failures === 0 || nowMs >= opensMs,
    failedMs: () => failedMs,
    clear() {
      failures = 0;
    },
  };
}
