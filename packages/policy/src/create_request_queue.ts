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
  prefix: string;
  promptTokens: number;
  fingerprint: string;
}

/** Waiting requests of a pool in the order of grants. */
export interface RequestQueue {
  add(request: QueuedRequest): void;
  /** Removes a request that is no longer wanted. */
  remove(id: string): QueuedRequest | undefined;
  /** Removes and returns the next request that `canServe` accepts. */
  takeNext(
    canServe: (request: QueuedRequest) => boolean,
  ): QueuedRequest | undefined;
  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(nowMs: number): QueuedRequest[];
  size(): number;
}

/** Creates an empty queue. */
export function createRequestQueue(): RequestQueue {
  const waiting: QueuedRequest[] = [];
  return {
    add(request) {
      const place = waiting.findIndex((other) => isBefore(request, other));
      if (place < 0) waiting.push(request);
      else waiting.splice(place, 0, request);
    },
    remove(id) {
      const place = waiting.findIndex((request) => request.id === id);
      if (place < 0) return undefined;
      return waiting.splice(place, 1)[0];
    },
    takeNext(canServe) {
      const place = waiting.findIndex(canServe);
      if (place < 0) return undefined;
      return waiting.splice(place, 1)[0];
    },
    takeExpired(nowMs) {
      const expired: QueuedRequest[] = [];
      for (let place = waiting.length - 1; place >= 0; place--) {
        if (waiting[place].deadlineMs > nowMs) continue;
        expired.push(...waiting.splice(place, 1));
      }
      return expired.reverse();
    },
    size: () => waiting.length,
  };
}

function isBefore(left: QueuedRequest, right: QueuedRequest): boolean {
  if (left.tier !== right.tier) return left.tier < right.tier;
  return left.deadlineMs < right.deadlineMs;
}
