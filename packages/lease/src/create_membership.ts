import type { Clock } from "@rosemarytiller/shared";
import type { ListHistory, PastList } from "./create_list_history.ts";

/**
 * Largest part of a pool's members that joins or leaves unseen by a process
 * whose list is young or stale.
 */
export const UNSEEN_CHURN = 0.2;

/** How far a process may trust its VM list. */
export enum ListTrust {
  /** Confirmed, and older lists are known as far as they matter. */
  Settled = "settled",
  /** Not confirmed within the longest lag. */
  Stale = "stale",
  /** The process can't know which lists came before. */
  Young = "young",
}

/** What shares are reckoned from. */
export interface MembershipBasis {
  /** Members of all lists within the window. */
  size: number;
  trust: ListTrust;
}

/** The entry VMs whose backing decides a pool's leader. */
export interface Membership {
  /** Whether a VM's backing counts. */
  counts(vm: string): boolean;
  /** Members of all lists within the window. */
  all(): ReadonlySet<string>;
  basis(): MembershipBasis;
}

/** Where the members come from. */
export interface MembershipOptions<List> {
  clock: Clock;
  history: ListHistory<List>;
  /** Members according to one list. */
  select: (list: List) => readonly string[];
  /** How long whoever left is reckoned with and whoever joined isn't. */
  windowMs: () => number;
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
  let version = "";

  function refresh(): void {
    const lists = recentLists();
    const next = `${history.version()} ${lists.length}`;
    if (next === version) return;
    version = next;
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

  function recentLists(): PastList<List>[] {
    const fromMs = clock.now() - windowMs();
    return history.lists().filter((past) => past.untilMs >= fromMs);
  }

  function isYoung(): boolean {
    return history.spanMs() < windowMs();
  }

  function trust(): ListTrust {
    if (isYoung()) return ListTrust.Young;
    return options.isConfirmed() ? ListTrust.Settled : ListTrust.Stale;
  }

  return {
    all() {
      refresh();
      return members;
    },
    counts(vm) {
      refresh();
      const listedMs = sinceMs.get(vm);
      if (listedMs === undefined) return false;
      if (clock.now() - listedMs >= windowMs()) return true;
      return isYoung() && listedMs === history.lists().at(-1)?.fromMs;
    },
    basis() {
      refresh();
      return { size: members.size, trust: trust() };
    },
  };
}

/** Share of each limit that belongs to a number of backers, 0 to 1. */
export function shareOfBackers(
  backers: number,
  { size, trust }: MembershipBasis,
): number {
  return size === 0 ? 0 : SHARES[trust](backers, size);
}

const SHARES: Record<ListTrust, (backers: number, size: number) => number> = {
  [ListTrust.Settled]: (backers, size) => backers / size,
  [ListTrust.Stale]: (backers, size) => backers / (size + largestLoss(size)),
  /**
   * A young process can't tell joiners from old members: an older list may
   * lack the joiners and hold the leavers. Its leaders may have what those and
   * the members that don't back this one make of it.
   */
  [ListTrust.Young](backers, size) {
    const others = size - backers + largestLoss(size);
    const joiners = Math.floor(size * UNSEEN_CHURN);
    return Math.max(0, 1 - others / (size - joiners));
  },
};

/** Most VMs that an older list had beside the members known here. */
function largestLoss(size: number): number {
  return Math.floor(size * UNSEEN_CHURN / (1 - UNSEEN_CHURN));
}
