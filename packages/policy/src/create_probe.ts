/** Delay of the first probe after a failure, in milliseconds. */
export const PROBE_FIRST_MS = 200;
/** Longest delay of a probe, in milliseconds. */
export const PROBE_MAX_MS = 5000;

/**
 * Circuit breaker of an upstream: after a failure one call at a time probes it,
 * with backoff, until one succeeds.
 */
export interface Probe {
  /** Records a failed call; returns whether it is a new failure. */
  onFailure(startedMs: number, nowMs: number): boolean;
  /** Records a complete answer; ends the probing unless the call is older. */
  onSuccess(startedMs: number): void;
  /** Whether no call has succeeded since the last failure. */
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
