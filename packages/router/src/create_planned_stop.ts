import type { Clock } from "@rosemarytiller/shared";

/** Decides which requests this VM still serves in a planned stop. */
export interface PlannedStop {
  /** Begins the stop; see `StopTimes`. */
  begin(times: StopTimes): void;
  hasBegun(): boolean;
  /** Whether new requests are accepted. */
  acceptsRequests(): boolean;
  /** Whether the time for requests in progress is over. */
  isOver(): boolean;
  /**
   * Whether a call of a route that starts now is expected to end before the
   * stop does: by its deadline, the monotonic time `expiresMs`, or as most of
   * the route's latest calls would have.
   */
  canEnd(route: string, expiresMs: number): boolean;
  /** Records how long a complete call of a route took, in milliseconds. */
  onCallEnded(route: string, durationMs: number): void;
}

/** Times of a stop from its beginning on, in milliseconds. */
export interface StopTimes {
  /** Time for new requests; at most a third of `graceMs`. */
  leaveMs: number;
  /** Time for requests in progress. */
  graceMs: number;
}

/** Largest part of a stop in which new requests are accepted. */
const MAX_LEAVE_SHARE = 1 / 3;
/** Latest calls of a route whose durations are kept. */
const MAX_DURATIONS = 100;
/** Routes whose durations are kept. */
const MAX_ROUTES = 1000;
/** Share of a route's latest calls that may have taken longer. */
const MAX_LONGER_SHARE = 0.05;

/** Creates a stop that has not begun. */
export function createPlannedStop(clock: Clock): PlannedStop {
  let leaveEndMs = Infinity;
  let endMs = Infinity;
  /** Durations by route; the route with the latest call is the last one. */
  const durations = new Map<string, number[]>();

  return {
    begin({ leaveMs, graceMs }) {
      const nowMs = clock.now();
      leaveEndMs = nowMs + Math.min(leaveMs, graceMs * MAX_LEAVE_SHARE);
      endMs = nowMs + graceMs;
    },
    hasBegun: () => endMs < Infinity,
    acceptsRequests: () => clock.now() < leaveEndMs,
    isOver: () => clock.now() >= endMs,
    canEnd(route, expiresMs) {
      if (expiresMs <= endMs) return true;
      const leftMs = endMs - clock.now();
      if (leftMs <= 0) return false;
      const known = durations.get(route) ?? [];
      const longer = known.filter((durationMs) => durationMs > leftMs).length;
      return longer <= known.length * MAX_LONGER_SHARE;
    },
    onCallEnded(route, durationMs) {
      const known = durations.get(route) ?? [];
      durations.delete(route);
      durations.set(route, known);
      known.push(durationMs);
      if (known.length > MAX_DURATIONS) known.shift();
      if (durations.size <= MAX_ROUTES) return;
      const [oldest] = durations.keys();
      durations.delete(oldest!);
    },
  };
}
