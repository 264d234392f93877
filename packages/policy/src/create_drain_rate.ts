/** Time constant by which measurements of the drain rate decay, in ms. */
export const DRAIN_DECAY_MS = 3000;

/** Assumed duration of a call until one has ended, in milliseconds. */
export const ASSUMED_CALL_MS = 2000;
/** Weight of the newest call in the average duration of calls. */
const CALL_WEIGHT = 0.1;

/** Calls in progress in a pool, one of which must end before a grant. */
export interface RunningCalls {
  /**
   * Rate in calls per millisecond at which they end if each ends once within
   * `callMs`, or within its own age if that is longer.
   */
  endRate(callMs: number, nowMs: number): number;
}

/** Position of a request in the queue of its pool. */
export interface QueuePosition {
  tier: number;
  /** Queued requests of its tier and of higher ones. */
  ahead: number;
  /** Queued requests of its class. */
  aheadInClass: number;
  /** Share of grants guaranteed to its class, 0 to 1. */
  floorShare: number;
  /** As in `RunningCalls`, at the time of the prediction. */
  endRate: (callMs: number) => number;
}

/** Rate at which a queue drains, measured while requests are queued. */
export interface DrainRate {
  /** Records an arriving request, whether it is queued or granted at once. */
  onArrived(tier: number, nowMs: number): void;
  onGranted(nowMs: number): void;
  /** Records the duration of a call that ended. */
  onCallEnded(totalMs: number): void;
  /** Sets whether requests are queued from now on. */
  setQueueing(isQueueing: boolean, nowMs: number): void;
  /** Expected wait in ms; 0 with nothing ahead or nothing measured. */
  predictMs(request: QueuePosition, nowMs: number): number;
}

/** Creates the drain rate of a pool without grants, arrivals or ended calls. */
export function createDrainRate(): DrainRate {
  const arrived = new Map<number, number>();
  let isQueueing = false;
  let lastMs: number | undefined;
  let observedMs = 0;
  let queueingMs = 0;
  let grants = 0;
  let callMs = ASSUMED_CALL_MS;
  let hasEnded = false;

  function advance(nowMs: number): void {
    const elapsedMs = nowMs - (lastMs ?? nowMs);
    lastMs = nowMs;
    if (elapsedMs <= 0) return;
    const decay = Math.exp(-elapsedMs / DRAIN_DECAY_MS);
    observedMs = observedMs * decay + elapsedMs;
    queueingMs = queueingMs * decay + (isQueueing ? elapsedMs : 0);
    grants *= decay;
    for (const [tier, count] of arrived) arrived.set(tier, count * decay);
  }

  /** Arrivals per millisecond of the tiers above a tier. */
  function arrivalRate(aboveTier: number): number {
    let count = 0;
    for (const [tier, tierCount] of arrived) {
      if (tier < aboveTier) count += tierCount;
    }
    return observedMs > 0 ? count / observedMs : 0;
  }

  /** Grants per millisecond while requests are queued. */
  function grantRate(endRate: QueuePosition["endRate"]): number {
    // Counts one grant more than observed, so that nothing is refused before
    // there is a measurement.
    const measured = (grants + 1) / queueingMs;
    // Calls that started together end together, with no grants in between.
    return Math.max(measured, endRate(callMs));
  }

  return {
    onArrived(tier, nowMs) {
      advance(nowMs);
      arrived.set(tier, (arrived.get(tier) ?? 0) + 1);
    },
    onGranted(nowMs) {
      advance(nowMs);
      if (isQueueing) grants++;
    },
    onCallEnded(totalMs) {
      // The first measured duration replaces the assumed one.
      const endedMs = Math.max(1, totalMs);
      callMs = hasEnded ? callMs + (endedMs - callMs) * CALL_WEIGHT : endedMs;
      hasEnded = true;
    },
    setQueueing(next, nowMs) {
      advance(nowMs);
      isQueueing = next;
    },
    predictMs(request, nowMs) {
      const { tier, ahead, aheadInClass, floorShare, endRate } = request;
      advance(nowMs);
      if (ahead === 0 || aheadInClass === 0) return 0;
      const rate = grantRate(endRate);
      // Infinite or not a number until there is a measurement.
      if (!Number.isFinite(rate)) return 0;
      const netRate = rate - arrivalRate(tier);
      const byTier = netRate > 0 ? ahead / netRate : Infinity;
      const byFloor = aheadInClass / (rate * floorShare);
      return Math.min(byTier, byFloor);
    },
  };
}
