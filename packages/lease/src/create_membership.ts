import type { Clock } from "@rosemarytiller/shared";
import type { ListHistory } from "./create_list_history.ts";

/**
 * Largest part of a pool's members that joins or leaves unseen by a process
 * whose list is young or stale.
 */
export const UNSEEN_CHURN = 0.2;

/** The entry VMs whose backing decides a pool's leader. */
export interface Membership {
  /** Whether a VM's backing counts. */
  counts(vm: string): boolean;
  /** Members of all lists within the window. */
  all(): ReadonlySet<string>;
  /** Share of each limit that belongs to a number of backers, 0 to 1. */
  share(backers: number): number;
}

/** Where the members come from. */
export interface MembershipOptions<List> {
  clock: Clock;
  history: ListHistory<List>;
  /** Members according to one list. */
  select: (list: List) => readonly string[];
  /** Longest lag of a list. */
  windowMs: number;
  /** Whether the list in force was confirmed within its longest lag. */
  isConfirmed: () => boolean;
}

/**
 * Creates the membership of a pool. Its shares over all leaders never add up
 * to more than one although their lists differ in age: whoever left is reckoned
 * with until every leader knows, and whoever joined counts only then.
 */
export function createMembership<List>(
  options: MembershipOptions<List>,
): Membership {
  const { clock, history, select, windowMs } = options;
  /** Time since when each member has been listed without a break. */
  let sinceMs = new Map<string, number>();
  let members = new Set<string>();
  let version = -1;

  function refresh(): void {
    const lists = history.lists();
    if (history.version() === version) return;
    version = history.version();
    members = new Set();
    sinceMs = new Map();
    for (const [age, past] of lists.entries()) {
      for (const vm of select(past.list)) {
        members.add(vm);
        if (age === 0) sinceMs.set(vm, past.fromMs);
        if (sinceMs.get(vm) === lists[age - 1]?.fromMs) {
          sinceMs.set(vm, past.fromMs);
        }
      }
    }
  }

  function all(): ReadonlySet<string> {
    refresh();
    return members;
  }

  return {
    all,
    counts(vm) {
      refresh();
      const listedMs = sinceMs.get(vm);
      if (listedMs === undefined) return false;
      if (clock.now() - listedMs >= windowMs) return true;
      const oldestMs = history.lists().at(-1)?.fromMs;
      return history.isYoung() && listedMs === oldestMs;
    },
    share(backers) {
      const size = all().size;
      if (size === 0) return 0;
      if (history.isYoung()) return youngShare(backers, size);
      if (options.isConfirmed()) return backers / size;
      return backers / (size / (1 - UNSEEN_CHURN));
    },
  };
}

/**
 * A young process can't tell joiners from old members: an older list may be as
 * small as all but the churn, and hold the churn's number of VMs unknown here.
 * Their leaders may have what those and the members not backing here make.
 */
function youngShare(backers: number, members: number): number {
  const others = members - backers + members * UNSEEN_CHURN;
  return Math.max(0, 1 - others / (members * (1 - UNSEEN_CHURN)));
}
