import type { Clock } from "@rosemarytiller/shared";
import {
  type Membership,
  type MembershipBasis,
  shareOfBackers,
} from "./create_membership.ts";
import {
  type AccountBacker,
  type CountedLoad,
  createUpstreamAccount,
  type UpstreamAccount,
} from "./create_upstream_account.ts";
import { LEASE_MS, START_MS } from "./lease_times.ts";
import { shareOfLimit } from "./share_of_limit.ts";

/** An entry's word that it backs this leader. */
export interface Backing {
  vm: string;
  /** Number of the entry process's start; larger for each. */
  incarnation: number;
  /** Number of the backing by the entry; larger for each change of leader. */
  term: number;
  /** Stamp of this leader that the entry answered, in milliseconds. */
  echo: number;
  /** Stamp of the entry, larger than that of any message before. */
  stamp: number;
  /** Whether no call of an earlier process of the VM can be in progress. */
  vouches: boolean;
}

/** A leader's hold on a pool: its backers and its accounts of upstreams. */
export interface LeaderTenure {
  /** Takes a backing; older ones than the newest are ignored. */
  back(backing: Backing): void;
  /**
   * Notes a process of an entry VM. The calls of an earlier process are unseen
   * from now on; returns their permits.
   */
  noteProcess(vm: string, incarnation: number): string[];
  /**
   * Takes an entry's whole list of live permits. Returns those granted before
   * the answered stamp `echo` that the entry doesn't hold: they have ended.
   */
  adopt(
    vm: string,
    echo: number,
    permits: readonly { permit: string; upstream: string }[],
  ): string[];
  /**
   * Counts the calls of an entry that is silent as unseen; returns their
   * permits. The entry is released, so that it tells of its calls anew.
   */
  lose(vm: string): string[];
  /** Lets one backer go for good under its present term. */
  release(vm: string): void;
  /** Whether a backing was released and its entry has yet to hear of it. */
  isReleased(backing: Pick<Backing, "vm" | "incarnation" | "term">): boolean;
  /** Backers whose leases haven't run out. */
  backers(): string[];
  /** Account of an upstream. */
  account(upstream: string): UpstreamAccount;
  /** Takes a load report of an upstream. */
  report(upstream: string, load: CountedLoad, limit: number): void;
  /** Calls that this leader may have at an upstream with a limit. */
  allowance(upstream: string, limit: number): number;
  /** Whether a load report would let more backers count. */
  needsReport(upstream: string): boolean;
  /** Share of an upstream's limit that is backed and counts, 0 to 1. */
  share(upstream: string): number;
}

/** What a tenure needs. */
export interface TenureOptions {
  clock: Clock;
  membership: Membership;
  /** All entry VMs that may have calls at the pool's upstreams. */
  callers: () => ReadonlySet<string>;
  /** Longest time of a call, in milliseconds. */
  callMs: () => number;
  /** Whether an upstream reports its load. */
  reportsLoad: (upstream: string) => boolean;
  /** Whether `callers` holds all whose calls may still be in progress. */
  knowsCallers: () => boolean;
}

/** Longest wait for the backers that come after the first, in milliseconds. */
export const GATHER_MS = 400;
/** How long backers wait for a useful report before grants are held. */
export const RECOUNT_AFTER_MS = 1000;
/** Longest hold of grants for a recount. */
export const RECOUNT_HOLD_MS = 2000;
/** Time from a hold that did not help to the next. */
export const RECOUNT_INTERVAL_MS = 10_000;

interface Backer extends AccountBacker {
  incarnation: number;
  term: number;
  stamp: number;
  untilMs: number;
  vouches: boolean;
}

/** Creates the tenure of a leader that nobody backs yet. */
export function createLeaderTenure(options: TenureOptions): LeaderTenure {
  const { clock, membership, callers, callMs } = options;
  const known = new Map<string, Backer>();
  const released = new Map<string, { incarnation: number; term: number }>();
  const accounts = new Map<string, UpstreamAccount>();
  /** Since when each upstream has needed a better count. */
  const needs = new Map<string, number>();
  const processes = new Map<string, number>();
  /** Basis by upstream under which its calls were last counted. */
  const admitted = new Map<string, MembershipBasis>();
  let seen: MembershipBasis = membership.basis();
  let seenAtMs = clock.now();

  function account(upstream: string): UpstreamAccount {
    let found = accounts.get(upstream);
    if (!found) {
      found = createUpstreamAccount({ clock, callMs });
      accounts.set(upstream, found);
    }
    return found;
  }

  /** Members that back this leader now. */
  function present(): Backer[] {
    const nowMs = clock.now();
    const backers: Backer[] = [];
    for (const [vm, backer] of known) {
      if (backer.untilMs > nowMs && membership.counts(vm)) backers.push(backer);
    }
    return backers;
  }

  /** Whether every caller has told of all its calls. */
  function isComplete(upstream: string): boolean {
    const nowMs = clock.now();
    const reportsLoad = options.reportsLoad(upstream);
    if (reportsLoad && !options.knowsCallers()) return false;
    for (const vm of callers()) {
      const backer = known.get(vm);
      if (!backer || backer.untilMs <= nowMs) return false;
      if (reportsLoad && !backer.vouches) return false;
    }
    return true;
  }

  function countedBackers(upstream: string): Backer[] {
    const found = account(upstream);
    const backers = present();
    const open = found.unseen() > 0 || needsCount(upstream, backers);
    if (open && isComplete(upstream)) {
      found.complete(backers);
      admitted.set(upstream, currentBasis());
    }
    return backers.filter(found.counts);
  }

  function currentBasis(): MembershipBasis {
    const basis = membership.basis();
    if (basis.size !== seen.size || basis.trust !== seen.trust) {
      seen = basis;
      seenAtMs = clock.now();
    }
    return seen;
  }

  /** The basis let in; after the longest call no other count is needed. */
  function admittedBasis(upstream: string): MembershipBasis | undefined {
    const basis = currentBasis();
    if (clock.now() >= seenAtMs + callMs()) admitted.set(upstream, basis);
    return admitted.get(upstream);
  }

  /**
   * Share of backers. Calls granted under the weight of a member that left may
   * still run, so that a better basis holds only after a count.
   */
  function shareAt(upstream: string, backers: number): number {
    const basis = admittedBasis(upstream);
    if (!basis) return 0;
    return Math.min(
      shareOfBackers(backers, basis),
      shareOfBackers(backers, currentBasis()),
    );
  }

  function isBasisPending(upstream: string, backers: number): boolean {
    const next = shareOfBackers(backers, currentBasis());
    return next > shareAt(upstream, backers);
  }

  function needsCount(upstream: string, backers: readonly Backer[]): boolean {
    const { counts } = account(upstream);
    return backers.some((backer) => !counts(backer)) ||
      isBasisPending(upstream, backers.length);
  }

  function share(upstream: string): number {
    return shareAt(upstream, countedBackers(upstream).length);
  }

  /** Whether grants are held so that a report tells own calls from others. */
  function isHeld(upstream: string): boolean {
    if (!options.reportsLoad(upstream)) return false;
    const nowMs = clock.now();
    const isNeeded = needsCount(upstream, present()) ||
      account(upstream).isUncertain();
    if (!isNeeded) {
      needs.delete(upstream);
      return false;
    }
    const holdMs = (needs.get(upstream) ?? nowMs) + RECOUNT_AFTER_MS;
    needs.set(upstream, holdMs - RECOUNT_AFTER_MS);
    if (nowMs < holdMs) return false;
    if (nowMs < holdMs + RECOUNT_HOLD_MS) return true;
    // It did not help; the next try comes after a while.
    needs.set(upstream, nowMs + RECOUNT_INTERVAL_MS);
    return false;
  }

  /** Whether the first backers have come but more may follow at once. */
  function isGathering(upstream: string): boolean {
    const found = account(upstream);
    const backers = present();
    if (backers.length === 0 || backers.some(found.counts)) return false;
    const arrivals = backers.map((backer) => backer.arrivedMs);
    const nowMs = clock.now();
    return nowMs < Math.min(...arrivals) + GATHER_MS &&
      nowMs < Math.max(...arrivals) + START_MS;
  }

  function lose(vm: string): string[] {
    const lost: string[] = [];
    for (const found of accounts.values()) {
      const permits = found.permitsOf(vm, Infinity);
      found.lose(permits);
      lost.push(...permits);
    }
    return lost;
  }

  function release(vm: string): void {
    const backer = known.get(vm);
    if (!backer) return;
    known.delete(vm);
    released.set(vm, backer);
  }

  return {
    noteProcess(vm, incarnation) {
      const former = processes.get(vm) ?? incarnation;
      if (former > incarnation) return [];
      processes.set(vm, incarnation);
      if (former === incarnation) return [];
      known.delete(vm);
      return lose(vm);
    },
    adopt(vm, echo, permits) {
      const held = new Set(permits.map(({ permit }) => permit));
      const ended: string[] = [];
      for (const found of accounts.values()) {
        for (const permit of found.permitsOf(vm, echo)) {
          if (held.has(permit)) continue;
          found.ended(permit);
          ended.push(permit);
        }
      }
      for (const { permit, upstream } of permits) {
        account(upstream).adopted(permit, vm);
      }
      return ended;
    },
    lose(vm) {
      release(vm);
      return lose(vm);
    },
    back(backing) {
      const { vm, incarnation, term, stamp, vouches } = backing;
      if (incarnation < (processes.get(vm) ?? incarnation)) return;
      const gone = released.get(vm);
      if (gone && !isNewer(backing, gone)) return;
      const former = known.get(vm);
      const sameProcess = former?.incarnation === incarnation;
      if (sameProcess && former.stamp >= stamp) return;
      const untilMs = backing.echo + LEASE_MS;
      if (sameProcess && former.term === term) {
        former.stamp = stamp;
        former.untilMs = Math.max(former.untilMs, untilMs);
        former.vouches = vouches;
        return;
      }
      known.set(vm, {
        key: `${vm} ${incarnation} ${term}`,
        arrivedMs: clock.now(),
        incarnation,
        term,
        stamp,
        untilMs,
        vouches,
      });
    },
    release,
    isReleased(backing) {
      const gone = released.get(backing.vm);
      return gone !== undefined && !isNewer(backing, gone);
    },
    backers() {
      const nowMs = clock.now();
      return [...known]
        .filter(([, backer]) => backer.untilMs > nowMs)
        .map(([vm]) => vm);
    },
    account,
    report(upstream, load, limit) {
      if (isGathering(upstream)) return;
      const backers = present();
      const next = currentBasis();
      const pending = isBasisPending(upstream, backers.length);
      const rebased = account(upstream).report(load, backers, {
        present: (count) => shareOfLimit(limit, shareAt(upstream, count)),
        next: (count) => shareOfLimit(limit, shareOfBackers(count, next)),
        changedAtMs: pending ? seenAtMs : undefined,
      });
      if (rebased) admitted.set(upstream, next);
    },
    allowance(upstream, limit) {
      const counted = countedBackers(upstream);
      if (counted.length === 0 || isHeld(upstream)) return 0;
      const calls = shareOfLimit(limit, shareAt(upstream, counted.length));
      return Math.max(0, calls - account(upstream).unseen());
    },
    needsReport(upstream) {
      const oldestMs = clock.now() - START_MS;
      const backers = present()
        .filter((backer) => backer.arrivedMs <= oldestMs);
      if (backers.length === 0) return false;
      return account(upstream).unseen() > 0 || needsCount(upstream, backers);
    },
    share,
  };
}

function isNewer(
  backing: { incarnation: number; term: number },
  than: { incarnation: number; term: number },
): boolean {
  if (backing.incarnation !== than.incarnation) {
    return backing.incarnation > than.incarnation;
  }
  return backing.term > than.term;
}
