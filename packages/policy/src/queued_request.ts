/** A request that is queued for a permit. */
export interface QueuedRequest {
  id: string;
  className: string;
  /** 1 is the highest. */
  tier: number;
  client: string;
  /** Weight of the client relative to others of the tier. */
  clientWeight: number;
  /** Share of grants guaranteed to the class, 0 to 1. */
  floorShare: number;
  /** Monotonic time by which it must be granted. */
  deadlineMs: number;
  /** Monotonic time at which it arrived. */
  arrivedMs: number;
  /** Upstreams that may not serve it. */
  avoid: readonly string[];
  /**
   * The fingerprint if it is suspect or shared with other requests of the pool,
   * else undefined. A suspect fingerprint runs alone on an upstream, a shared
   * one on a bounded number of upstreams, so each has a queue lane of its own.
   */
  isolation?: string;
  prefix: string;
  promptTokens: number;
  fingerprint: string;
}

/** Largest share of all grants that may go to floors. */
export const MAX_FLOOR_SUM = 0.5;
/** Least number of grants from one floor grant to the next. */
export const FLOOR_SPACING = 1 / MAX_FLOOR_SUM;
/**
 * Largest lead over the least served client at which a client may still get a
 * grant, in weighted grants.
 */
export const FAIR_LEAD = 4;
/** Queued requests of each class that never count against the bound. */
export const RESERVED_PLACES = 16;

/** Factor on each floor that keeps their sum within `MAX_FLOOR_SUM`. */
export function scaleFloors(sum: number): number {
  return sum > MAX_FLOOR_SUM ? MAX_FLOOR_SUM / sum : 1;
}
