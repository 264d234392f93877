/** How long measurements of the drain rate count, in milliseconds. */
export const DRAIN_MEMORY_MS = 3000;

/** Length of a call of which none has ended yet, in milliseconds. */
export const ASSUMED_CALL_MS = 2000;
/** Weight of the newest call in the typical length of a call. */
const CALL_WEIGHT = 0.1;

/** What waits before a request. */
export interface WaitAhead {
  tier: number;
  /** Waiting requests of its tier and of higher ones. */
  ahead: number;
  /** Waiting requests of its class. */
  aheadInClass: number;
  floorShare: number;
  /** Calls in progress, of which one must end for a grant. */
  outstanding: number;
}

/** Rate at which a queue empties, measured while requests wait. */
export interface DrainRate {
  /** Notes a request that came, in whatever way it will be granted. */
  onArrived(tier: number, nowMs: number): void;
  onGranted(nowMs: number): void;
  /** Notes the length of a call that ended. */
  onCallEnded(totalMs: number): void;
  /** Notes whether requests wait from now on. */
  setWaiting(waiting: boolean, nowMs: number): void;
  /** Expected wait in milliseconds; 0 with nothing ahead. */
  predictMs(request: WaitAhead, nowMs: number): number;
}

/** Creates the drain rate of a pool that has granted nothing yet. */
export function createDrainRate(): DrainRate {
  const arrived = new Map<number, number>();
  let waiting = false;
  let lastMs: number | undefined;
  let observedMs = 0;
  let waitingMs = 0;
  let grants = 0;
  let callMs = ASSUMED_CALL_MS;
  let hasEnded = false;

  function advance(nowMs: number): void {
    const elapsedMs = nowMs - (lastMs ?? nowMs);
    lastMs = nowMs;
    if (elapsedMs <= 0) return;
    const keep = Math.exp(-elapsedMs / DRAIN_MEMORY_MS);
    observedMs = observedMs * keep + elapsedMs;
    waitingMs = waitingMs * keep + (waiting ? elapsedMs : 0);
    grants *= keep;
    for (const [tier, count] of arrived) arrived.set(tier, count * keep);
  }

  function arrivalRate(aboveTier: number): number {
    let count = 0;
    for (const [tier, tierCount] of arrived) {
      if (tier < aboveTier) count += tierCount;
    }
    return observedMs > 0 ? count / observedMs : 0;
  }

  /** Grants in a millisecond while requests wait. */
  function grantRate(outstanding: number): number {
    // One grant more than seen: nothing is refused before a measurement.
    const measured = (grants + 1) / waitingMs;
    // Calls that all began just now say nothing by not ending yet, so each
    // counts as one end in the length of a call.
    const spanMs = waitingMs < callMs ? callMs : waitingMs + callMs;
    const expected = (grants + outstanding) / spanMs;
    return Math.max(measured, expected);
  }

  return {
    onArrived(tier, nowMs) {
      advance(nowMs);
      arrived.set(tier, (arrived.get(tier) ?? 0) + 1);
    },
    onGranted(nowMs) {
      advance(nowMs);
      if (waiting) grants++;
    },
    onCallEnded(totalMs) {
      // An assumption gives way at once to what has been seen.
      callMs = hasEnded ? callMs + (totalMs - callMs) * CALL_WEIGHT : totalMs;
      hasEnded = true;
    },
    setWaiting(next, nowMs) {
      advance(nowMs);
      waiting = next;
    },
    predictMs(request, nowMs) {
      const { tier, ahead, aheadInClass, floorShare, outstanding } = request;
      advance(nowMs);
      if (ahead === 0 || aheadInClass === 0) return 0;
      const rate = grantRate(outstanding);
      const left = rate - arrivalRate(tier);
      const byTier = left > 0 ? ahead / left : Infinity;
      const byFloor = aheadInClass / (rate * floorShare);
      return Math.min(byTier, byFloor);
    },
  };
}
