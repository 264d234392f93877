import { createHeap, type Heap } from "./create_heap.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** A queued request with its place in the order of arrival. */
export interface QueueEntry {
  request: QueuedRequest;
  sequence: number;
}

/** Grants of a client within a tier, divided by the client's weight. */
export interface ClientAccount {
  served: number;
  /** Sets `served` and restores the order of each lane with the client. */
  set(served: number): void;
  /** Lanes in which the client has queued requests. */
  readonly lanes: Set<Lane>;
}

/** Queued requests of one tier that the same upstreams may serve. */
export interface Lane {
  readonly tier: number;
  add(entry: QueueEntry, account: ClientAccount): void;
  remove(entry: QueueEntry): void;
  isEmpty(): boolean;
  /** Any request of the lane, which must not be empty. */
  head(): QueuedRequest;
  /** Weighted grants of the least served client. */
  leastServed(): number;
  /** Earliest-due request of clients with at most `most` weighted grants. */
  earliestDue(most: number): QueueEntry | undefined;
  /** Runs `change` on an account and restores the lane's order. */
  reorder(account: ClientAccount, change: () => void): void;
}

interface ClientQueue {
  account: ClientAccount;
  waiting: Heap<QueueEntry>;
}

/** Creates the account of a client without grants or queued requests. */
export function createClientAccount(): ClientAccount {
  const account: ClientAccount = {
    served: 0,
    lanes: new Set(),
    set(served) {
      let change = (): void => {
        account.served = served;
      };
      for (const lane of account.lanes) {
        const inner = change;
        change = () => lane.reorder(account, inner);
      }
      change();
    },
  };
  return account;
}

/** Creates an empty lane of a tier, ordered by client and by deadline. */
export function createLane(tier: number): Lane {
  const queues = new Map<ClientAccount, ClientQueue>();
  const accounts = new Map<QueueEntry, ClientAccount>();
  const byDeadline = createHeap<ClientQueue>((left, right) =>
    isDueBefore(left.waiting.peek()!, right.waiting.peek()!)
  );
  const byServed = createHeap<ClientQueue>((left, right) =>
    left.account.served < right.account.served
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
    add(entry, account) {
      let queue = queues.get(account);
      if (!queue) {
        queue = { account, waiting: createHeap(isDueBefore) };
        queues.set(account, queue);
        account.lanes.add(lane);
      }
      const { waiting } = queue;
      accounts.set(entry, account);
      change(queue, () => waiting.add(entry));
    },
    remove(entry) {
      const account = accounts.get(entry)!;
      const queue = queues.get(account)!;
      accounts.delete(entry);
      change(queue, () => queue.waiting.remove(entry));
      if (queue.waiting.size() > 0) return;
      queues.delete(account);
      account.lanes.delete(lane);
    },
    isEmpty: () => queues.size === 0,
    head: () => byDeadline.peek()!.waiting.peek()!.request,
    leastServed: () => byServed.peek()!.account.served,
    earliestDue: (most) =>
      byDeadline.findFirst(({ account }) => account.served <= most)
        ?.waiting.peek(),
    reorder(account, action) {
      change(queues.get(account)!, action);
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
