/** A request that waits for a permit. */
export interface QueuedRequest {
  id: string;
  className: string;
  /** 1 is the highest. */
  tier: number;
  client: string;
  /** Share of the client relative to others of the tier. */
  clientWeight: number;
  /** Share of grants kept for the class. */
  floorShare: number;
  /** Monotonic time by which it must be granted. */
  deadlineMs: number;
  /** Monotonic time at which it came. */
  arrivedMs: number;
  /** Upstreams that may not serve it. */
  avoid: readonly string[];
  /** Set for a request that starts by a rule of its own, one for each key. */
  isolation?: string;
  prefix: string;
  promptTokens: number;
  fingerprint: string;
}

/** Most grants in all that may go to floors. */
export const MAX_FLOOR_SUM = 0.5;
/** Grants from one floor grant to the next, at least. */
export const FLOOR_SPACING = 1 / MAX_FLOOR_SUM;
/** How far a client may run ahead of the least served one, in grants. */
export const FAIR_LEAD = 4;
/** Waiting requests of each class that never count against the bound. */
export const RESERVED_PLACES = 16;

/** Part of each floor that is granted, so that all stay under the bound. */
export function scaleFloors(sum: number): number {
  return sum > MAX_FLOOR_SUM ? MAX_FLOOR_SUM / sum : 1;
}
