import { createFloors } from "./create_floors.ts";
import { createHeap, type Heap } from "./create_heap.ts";
import {
  type ClientUsage,
  createClientUsage,
  createLane,
  isDueBefore,
  type Lane,
  type QueueEntry,
} from "./create_lane.ts";
import {
  FAIR_LEAD,
  type QueuedRequest,
  RESERVED_PLACES,
} from "./queued_request.ts";

/** Queued requests of a pool, in the order in which they are granted. */
export interface RequestQueue {
  add(request: QueuedRequest): void;
  /** Removes and returns a request, if it is still queued. */
  remove(id: string): QueuedRequest | undefined;
  /**
   * Removes and returns the next request for which `canServe` returns true. It
   * is called once for all requests with the same class, tier, avoid-list and
   * isolation.
   */
  takeNext(
    canServe: (request: QueuedRequest) => boolean,
  ): QueuedRequest | undefined;
  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(nowMs: number): QueuedRequest[];
  /** Removes and returns the request to be refused when the queue is full. */
  takeVictim(): QueuedRequest | undefined;
  /** Earliest deadline of all queued requests. */
  nextDeadlineMs(): number | undefined;
  size(): number;
  /** Requests that count against a bound on the length. */
  boundedSize(): number;
  /** Requests of the tier and of higher ones. */
  sizeThrough(tier: number): number;
  sizeOfClass(className: string): number;
}

interface Tier {
  size: number;
  usages: Map<string, ClientUsage>;
  /** Weighted grants that a newly queued client starts from at least. */
  virtualTime: number;
  newest: Heap<QueueEntry>;
}

/** Creates an empty queue; `docs/design/0003` specifies its behaviour. */
export function createRequestQueue(): RequestQueue {
  const entries = new Map<string, QueueEntry>();
  const tiers = new Map<number, Tier>();
  const lanes = new Map<string, Lane>();
  const classSizes = new Map<string, number>();
  const byDeadline = createHeap<QueueEntry>(isDueBefore);
  const floors = createFloors();
  let sequence = 0;

  function tierOf(number: number): Tier {
    let tier = tiers.get(number);
    if (tier) return tier;
    tier = {
      size: 0,
      usages: new Map(),
      virtualTime: 0,
      newest: createHeap((left, right) => left.sequence > right.sequence),
    };
    tiers.set(number, tier);
    return tier;
  }

  function laneOf(request: QueuedRequest): Lane {
    const key = laneKey(request);
    let lane = lanes.get(key);
    if (lane) return lane;
    lane = createLane(request.tier);
    lanes.set(key, lane);
    return lane;
  }

  function add(request: QueuedRequest): void {
    const entry = { request, sequence: sequence++ };
    const { className } = request;
    const tier = tierOf(request.tier);
    const usage = usageOf(tier, request.client);
    if (usage.served < tier.virtualTime) usage.set(tier.virtualTime);
    laneOf(request).add(entry, usage);
    entries.set(request.id, entry);
    byDeadline.add(entry);
    tier.newest.add(entry);
    tier.size++;
    classSizes.set(className, sizeOfClass(className) + 1);
  }

  function removeEntry(entry: QueueEntry): QueuedRequest {
    const { request } = entry;
    const tier = tierOf(request.tier);
    const key = laneKey(request);
    const lane = lanes.get(key)!;
    lane.remove(entry);
    if (lane.isEmpty()) lanes.delete(key);
    entries.delete(request.id);
    byDeadline.remove(entry);
    tier.newest.remove(entry);
    tier.size--;
    classSizes.set(request.className, sizeOfClass(request.className) - 1);
    return request;
  }

  function sizeOfClass(className: string): number {
    return classSizes.get(className) ?? 0;
  }

  function takeNext(
    canServe: (request: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const eligible: Lane[] = [];
    const heads: QueuedRequest[] = [];
    for (const lane of lanes.values()) {
      const head = lane.head();
      if (!canServe(head)) continue;
      eligible.push(lane);
      heads.push(head);
    }
    if (heads.length === 0) return undefined;
    const due = floors.dueClass(heads);
    const chosen = eligible.filter((_, index) =>
      due === undefined || heads[index].className === due
    );
    const first = Math.min(...chosen.map((lane) => lane.tier));
    const tier = tierOf(first);
    const entry = pickFair(
      chosen.filter((lane) => lane.tier === first),
      tier,
    );
    const usage = usageOf(tier, entry.request.client);
    usage.set(usage.served + 1 / entry.request.clientWeight);
    floors.onGrant(entry.request, { heads, byFloor: due !== undefined });
    return removeEntry(entry);
  }

  return {
    add,
    remove(id) {
      const entry = entries.get(id);
      return entry && removeEntry(entry);
    },
    takeNext,
    takeExpired(nowMs) {
      const expired: QueuedRequest[] = [];
      while (true) {
        const entry = byDeadline.peek();
        if (!entry || entry.request.deadlineMs > nowMs) return expired;
        expired.push(removeEntry(entry));
      }
    },
    takeVictim() {
      const order = [...tiers.keys()].sort((left, right) => right - left);
      for (const number of order) {
        const entry = newestUnreserved(tierOf(number), sizeOfClass);
        if (entry) return removeEntry(entry);
      }
      return undefined;
    },
    nextDeadlineMs: () => byDeadline.peek()?.request.deadlineMs,
    size: () => entries.size,
    boundedSize() {
      let size = 0;
      for (const count of classSizes.values()) {
        size += Math.max(0, count - RESERVED_PLACES);
      }
      return size;
    },
    sizeThrough(number) {
      let size = 0;
      for (const [key, tier] of tiers) {
        if (key <= number) size += tier.size;
      }
      return size;
    },
    sizeOfClass,
  };
}

function laneKey(request: QueuedRequest): string {
  const { tier, className, avoid, isolation = "" } = request;
  return [tier, className, isolation, ...avoid].join(" ");
}

function usageOf(tier: Tier, client: string): ClientUsage {
  let usage = tier.usages.get(client);
  if (!usage) {
    usage = createClientUsage();
    tier.usages.set(client, usage);
  }
  return usage;
}

/** Earliest-due request of clients within `FAIR_LEAD` of the least served. */
function pickFair(lanes: readonly Lane[], tier: Tier): QueueEntry {
  const least = Math.min(...lanes.map((lane) => lane.leastServed()));
  let best: QueueEntry | undefined;
  for (const lane of lanes) {
    const entry = lane.earliestDue(least + FAIR_LEAD);
    if (entry && (!best || isDueBefore(entry, best))) best = entry;
  }
  tier.virtualTime = Math.max(tier.virtualTime, least);
  return best!;
}

/**
 * The tier's newest request of a class with more queued requests than reserved
 * places.
 */
function newestUnreserved(
  tier: Tier,
  sizeOfClass: (className: string) => number,
): QueueEntry | undefined {
  const skipped: QueueEntry[] = [];
  let found: QueueEntry | undefined;
  for (let entry = tier.newest.peek(); entry; entry = tier.newest.peek()) {
    if (sizeOfClass(entry.request.className) > RESERVED_PLACES) {
      found = entry;
      break;
    }
    tier.newest.remove(entry);
    skipped.push(entry);
  }
  for (const entry of skipped) tier.newest.add(entry);
  return found;
}
