/**
 * Delay of the first probe after a failure, in milliseconds. It doubles with
 * each further failure.
 */
export const PROBE_FIRST_MS = 200;
/** Longest delay of a probe, in milliseconds. */
export const PROBE_MAX_MS = 5000;

/**
 * Backoff after failures of an upstream: no call may start before the next
 * probe is due. The caller has to limit probes to one at a time.
 */
export interface Probe {
  /**
   * Records a failed call. Returns false if it started before the last failure,
   * and so belongs to that one.
   */
  onFailure(startedMs: number, nowMs: number): boolean;
  /**
   * Records a complete answer, which ends the probing unless the call started
   * before the last failure.
   */
  onSuccess(startedMs: number): void;
  /** Whether there was a failure that no success or `clear` has followed. */
  isProbing(): boolean;
  /** Whether a call may start now. */
  isCallAllowed(nowMs: number): boolean;
  /** Monotonic time of the last failure, in milliseconds. */
  lastFailureMs(): number;
  /** Ends the probing without an answer. */
  clear(): void;
}

/** Creates the probe of an upstream that counts as healthy at first. */
export function createProbe(): Probe {
  let failures = 0;
  let lastFailureMs = -Infinity;
  let nextProbeMs = -Infinity;
  return {
    onFailure(startedMs, nowMs) {
      // All calls that one crash broke count as one failure.
      if (startedMs <= lastFailureMs) return false;
      lastFailureMs = nowMs;
      const delayMs = Math.min(PROBE_MAX_MS, PROBE_FIRST_MS * 2 ** failures);
      nextProbeMs = nowMs + delayMs;
      failures++;
      return true;
    },
    onSuccess(startedMs) {
      if (startedMs > lastFailureMs) failures = 0;
    },
    isProbing: () => failures > 0,
    isCallAllowed: (nowMs) => failures === 0 || nowMs >= nextProbeMs,
    lastFailureMs: () => lastFailureMs,
    clear() {
      failures = 0;
    },
  };
}
