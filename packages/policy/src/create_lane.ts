import { createHeap, type Heap } from "./create_heap.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** A request with its number of arrival. */
export interface Entry {
  request: QueuedRequest;
  sequence: number;
}

/** Weighted grants of a client in a tier. */
export interface Account {
  served: number;
  /** Changes `served` and the order of every lane where the client waits. */
  set(served: number): void;
  readonly lanes: Set<Lane>;
}

/** Requests that the same upstreams may serve. */
export interface Lane {
  readonly tier: number;
  add(entry: Entry, account: Account): void;
  remove(entry: Entry): void;
  isEmpty(): boolean;
  /** Any request of the lane. */
  head(): QueuedRequest;
  /** Weighted grants of the least served client. */
  leastServed(): number;
  /** Earliest deadline of the clients that were served `most` at most. */
  firstDue(most: number): Entry | undefined;
  /** Runs `change` on an account and restores the order by it. */
  reorder(account: Account, change: () => void): void;
}

interface ClientQueue {
  account: Account;
  waiting: Heap<Entry>;
}

/** Creates the account of a client that has not been served. */
export function createAccount(): Account {
  const account: Account = {
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

/** Creates an empty lane. */
export function createLane(tier: number): Lane {
  const clients = new Map<Account, ClientQueue>();
  const accounts = new Map<Entry, Account>();
  const byDeadline = createHeap<ClientQueue>((left, right) =>
    isDueBefore(left.waiting.peek()!, right.waiting.peek()!)
  );
  const byServed = createHeap<ClientQueue>((left, right) =>
    left.account.served < right.account.served
  );

  /** Takes a client out of the order, changes it and puts it back. */
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
      let queue = clients.get(account);
      if (!queue) {
        queue = { account, waiting: createHeap(isDueBefore) };
        clients.set(account, queue);
        account.lanes.add(lane);
      }
      const { waiting } = queue;
      accounts.set(entry, account);
      change(queue, () => waiting.add(entry));
    },
    remove(entry) {
      const account = accounts.get(entry)!;
      const queue = clients.get(account)!;
      accounts.delete(entry);
      change(queue, () => queue.waiting.remove(entry));
      if (queue.waiting.size() > 0) return;
      clients.delete(account);
      account.lanes.delete(lane);
    },
    isEmpty: () => clients.size === 0,
    head: () => byDeadline.peek()!.waiting.peek()!.request,
    leastServed: () => byServed.peek()!.account.served,
    firstDue: (most) =>
      byDeadline.findFirst(({ account }) => account.served <= most)
        ?.waiting.peek(),
    reorder(account, action) {
      change(clients.get(account)!, action);
    },
  };
  return lane;
}

/** Whether a request has the earlier deadline, or came first. */
export function isDueBefore(left: Entry, right: Entry): boolean {
  const difference = left.request.deadlineMs - right.request.deadlineMs;
  if (difference !== 0) return difference < 0;
  return left.sequence < right.sequence;
}
