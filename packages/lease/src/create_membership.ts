import type { Clock } from "@rosemarytiller/shared";
import type { ListHistory, ListPeriod } from "./create_list_history.ts";

/**
 * Largest share of a pool's members that may join or leave unnoticed by a
 * process whose list history is incomplete or whose list is stale.
 */
export const MAX_UNOBSERVED_CHURN = 0.2;

/** How far a process can rely on its VM list. */
export enum ListTrust {
  /** The list is confirmed, and all lists of the last `windowMs` are known. */
  Confirmed = "settled",
  /** The list wasn't confirmed within the longest lag of VM lists. */
  Stale = "stale",
  /** The history is shorter than `windowMs`: earlier lists are unknown. */
  IncompleteHistory = "young",
}

/** Size of a pool and trust in its list, from which shares are calculated. */
export interface MembershipBasis {
  /** Number of VMs that are on any list of the last `windowMs`. */
  size: number;
  trust: ListTrust;
}

/** The entry VMs whose backings decide a pool's leader. */
export interface Membership {
  /** Whether a VM's backing counts towards a leader's share. */
  isCounted(vm: string): boolean;
  /** VMs that are on any list of the last `windowMs`. */
  members(): ReadonlySet<string>;
  basis(): MembershipBasis;
}

/** Options of `createMembership`. */
export interface MembershipOptions<List> {
  clock: Clock;
  history: ListHistory<List>;
  /** Members according to one list. */
  select: (list: List) => readonly string[];
  /**
   * Time for which a removed VM still adds to the size and the backing of an
   * added VM doesn't count yet, in milliseconds.
   */
  windowMs: () => number;
  /** Whether the list was confirmed within the longest lag of VM lists. */
  isConfirmed: () => boolean;
}

/**
 * Creates the membership of a pool. The shares of all leaders never add up to
 * more than one, although their VM lists differ in age: a VM that left adds to
 * the size until every leader knows that it left, and the backing of a VM that
 * joined counts only once every leader knows that it joined.
 */
export function createMembership<List>(
  options: MembershipOptions<List>,
): Membership {
  const { clock, history, select, windowMs } = options;
  /** Start of each member's uninterrupted time on the list. */
  let listedSinceMs = new Map<string, number>();
  let members = new Set<string>();
  let version = "";

  function refresh(): void {
    const lists = recentLists();
    const next = `${history.version()} ${lists.length}`;
    if (next === version) return;
    version = next;
    members = new Set();
    listedSinceMs = new Map();
    for (const [age, period] of lists.entries()) {
      for (const vm of select(period.list)) {
        members.add(vm);
        if (age === 0) listedSinceMs.set(vm, period.fromMs);
        if (listedSinceMs.get(vm) === lists[age - 1]?.fromMs) {
          listedSinceMs.set(vm, period.fromMs);
        }
      }
    }
  }

  function recentLists(): ListPeriod<List>[] {
    const fromMs = clock.now() - windowMs();
    return history.lists().filter((period) => period.untilMs >= fromMs);
  }

  function isHistoryIncomplete(): boolean {
    return history.spanMs() < windowMs();
  }

  function trust(): ListTrust {
    if (isHistoryIncomplete()) return ListTrust.IncompleteHistory;
    return options.isConfirmed() ? ListTrust.Confirmed : ListTrust.Stale;
  }

  return {
    members() {
      refresh();
      return members;
    },
    isCounted(vm) {
      refresh();
      const sinceMs = listedSinceMs.get(vm);
      if (sinceMs === undefined) return false;
      if (clock.now() - sinceMs >= windowMs()) return true;
      // With an incomplete history, VMs that were listed from its start count.
      return isHistoryIncomplete() &&
        sinceMs === history.lists().at(-1)?.fromMs;
    },
    basis() {
      refresh();
      return { size: members.size, trust: trust() };
    },
  };
}

/** Share of each limit that a leader may use with `backers`, 0 to 1. */
export function shareOfBackers(
  backers: number,
  { size, trust }: MembershipBasis,
): number {
  return size === 0 ? 0 : SHARE_BY_TRUST[trust](backers, size);
}

const SHARE_BY_TRUST: Record<
  ListTrust,
  (backers: number, size: number) => number
> = {
  [ListTrust.Confirmed]: (backers, size) => backers / size,
  [ListTrust.Stale]: (backers, size) => backers / (size + maxDeparted(size)),
  /**
   * Without earlier lists, new members can't be told from old ones: an older
   * list may lack members that joined and contain VMs that left. Other leaders
   * may go by such a list, and may hold the shares that it gives to the VMs
   * that left and to the members that don't back this leader.
   */
  [ListTrust.IncompleteHistory](backers, size) {
    const others = size - backers + maxDeparted(size);
    const joiners = Math.floor(size * MAX_UNOBSERVED_CHURN);
    return Math.max(0, 1 - others / (size - joiners));
  },
};

/** Most VMs that an older list can have besides the members known here. */
function maxDeparted(size: number): number {
  return Math.floor(size * MAX_UNOBSERVED_CHURN / (1 - MAX_UNOBSERVED_CHURN));
}
