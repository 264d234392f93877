import { createHeap, type Heap } from "./create_heap.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** A queued request with its place in the order of arrival. */
export interface QueueEntry {
  request: QueuedRequest;
  sequence: number;
}

/** Grants of a client within a tier, divided by the client's weight. */
export interface ClientUsage {
  served: number;
  /** Sets `served` and restores the order of each lane with the client. */
  set(served: number): void;
  /** Lanes in which the client has queued requests. */
  readonly lanes: Set<Lane>;
}

/**
 * Queued requests with the same tier, class, avoid-list and isolation, which
 * the same upstreams may serve.
 */
export interface Lane {
  readonly tier: number;
  add(entry: QueueEntry, usage: ClientUsage): void;
  remove(entry: QueueEntry): void;
  isEmpty(): boolean;
  /**
   * Earliest-due request; it stands for all of the lane, which the same
   * upstreams may serve. The lane must not be empty.
   */
  head(): QueuedRequest;
  /** Weighted grants of the least served client. */
  leastServed(): number;
  /** Earliest-due request of clients with at most `most` weighted grants. */
  earliestDue(most: number): QueueEntry | undefined;
  /** Runs `change` on a client's usage and restores the lane's order. */
  reorder(usage: ClientUsage, change: () => void): void;
}

interface ClientQueue {
  usage: ClientUsage;
  waiting: Heap<QueueEntry>;
}

/** Creates the usage of a client without grants or queued requests. */
export function createClientUsage(): ClientUsage {
  const usage: ClientUsage = {
    served: 0,
    lanes: new Set(),
    set(served) {
      let change = (): void => {
        usage.served = served;
      };
      for (const lane of usage.lanes) {
        const inner = change;
        change = () => lane.reorder(usage, inner);
      }
      change();
    },
  };
  return usage;
}

/**
 * Creates an empty lane of a tier, whose clients are ordered by weighted grants
 * and by deadline.
 */
export function createLane(tier: number): Lane {
  const queues = new Map<ClientUsage, ClientQueue>();
  const usages = new Map<QueueEntry, ClientUsage>();
  const byDeadline = createHeap<ClientQueue>((left, right) =>
    isDueBefore(left.waiting.peek()!, right.waiting.peek()!)
  );
  const byServed = createHeap<ClientQueue>((left, right) =>
    left.usage.served < right.usage.served
  );

  /** Runs `action` on a client's queue while it is out of both heaps. */
  function change(queue: ClientQueue, action: () => void): void {
    byDeadline.remove(queue);
    byServed.remove(queue);
    action();
    if (queue.waiting.size() === 0) return;
    byDeadline.add(queue);
    byServed.add(queue);
  }

  const lane: Lane = {
    tier,
    add(entry, usage) {
      let queue = queues.get(usage);
      if (!queue) {
        queue = { usage, waiting: createHeap(isDueBefore) };
        queues.set(usage, queue);
        usage.lanes.add(lane);
      }
      const { waiting } = queue;
      usages.set(entry, usage);
      change(queue, () => waiting.add(entry));
    },
    remove(entry) {
      const usage = usages.get(entry)!;
      const queue = queues.get(usage)!;
      usages.delete(entry);
      change(queue, () => queue.waiting.remove(entry));
      if (queue.waiting.size() > 0) return;
      queues.delete(usage);
      usage.lanes.delete(lane);
    },
    isEmpty: () => queues.size === 0,
    head: () => byDeadline.peek()!.waiting.peek()!.request,
    leastServed: () => byServed.peek()!.usage.served,
    earliestDue: (most) =>
      byDeadline.findFirst(({ usage }) => usage.served <= most)
        ?.waiting.peek(),
    reorder(usage, action) {
      change(queues.get(usage)!, action);
    },
  };
  return lane;
}

/** Whether a request has the earlier deadline, or the same and came first. */
export function isDueBefore(left: QueueEntry, right: QueueEntry): boolean {
  const difference = left.request.deadlineMs - right.request.deadlineMs;
  if (difference !== 0) return difference < 0;
  return left.sequence < right.sequence;
}
