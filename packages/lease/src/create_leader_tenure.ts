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
import { LEASE_MS, LOAD_LAG_MS } from "./lease_times.ts";
import { shareOfLimit } from "./share_of_limit.ts";

/** An entry's backing of this leader, as a message of the entry states it. */
export interface ReceivedBacking {
  vm: string;
  /** Number of the entry process's start; larger for each. */
  incarnation: number;
  /** Number of the backing by the entry; larger for each change of leader. */
  term: number;
  /** Stamp of this leader that the message answers, in milliseconds. */
  echo: number;
  /** Stamp of the message, larger than that of any message before. */
  stamp: number;
  /** Whether no call of an earlier process of the VM can be in progress. */
  vouches: boolean;
}

/**
 * A leader's state for one pool: the entries that back it, and its accounts of
 * the upstreams.
 */
export interface LeaderTenure {
  /** Applies a backing, unless it is outdated or was released. */
  recordBacking(backing: ReceivedBacking): void;
  /**
   * Records the running process of an entry VM. The calls of an earlier
   * process become unaccounted; returns their permits.
   */
  recordProcess(vm: string, incarnation: number): string[];
  /**
   * Reconciles the permits with an entry's complete list of live ones. Returns
   * those that were granted before the answered stamp `echo` and aren't in the
   * list: they have ended.
   */
  reconcilePermits(
    vm: string,
    echo: number,
    permits: readonly { permit: string; upstream: string }[],
  ): string[];
  /**
   * Turns the calls of an unreachable entry into unaccounted ones; returns
   * their permits. The entry is released, so that it backs this leader under a
   * new term and reports all its calls again.
   */
  markUnreachable(vm: string): string[];
  /** Stops counting a backer under its current term for good. */
  release(vm: string): void;
  /**
   * Whether a backing isn't newer than the released one of its VM, so that the
   * entry has yet to be notified of the release.
   */
  isReleased(
    backing: Pick<ReceivedBacking, "vm" | "incarnation" | "term">,
  ): boolean;
  /** VMs of the backers whose leases haven't expired. */
  backers(): string[];
  /** Account of an upstream; created on first use. */
  account(upstream: string): UpstreamAccount;
  /** Applies a load report of an upstream with a concurrency limit. */
  report(upstream: string, load: CountedLoad, limit: number): void;
  /** Calls that this leader may have at an upstream with a limit. */
  allowance(upstream: string, limit: number): number;
  /** Whether a load report could raise the allowance at an upstream. */
  needsReport(upstream: string): boolean;
  /** Share of an upstream's limit that counted backers give, 0 to 1. */
  share(upstream: string): number;
}

/** Options of `createLeaderTenure`. */
export interface TenureOptions {
  clock: Clock;
  membership: Membership;
  /** All entry VMs that may have calls at the pool's upstreams. */
  callers: () => ReadonlySet<string>;
  /** Longest duration of a call, in milliseconds. */
  callMs: () => number;
  /** Whether an upstream reports its load. */
  reportsLoad: (upstream: string) => boolean;
  /** Whether `callers` has every VM whose calls may still be in progress. */
  knowsCallers: () => boolean;
}

/** Longest wait for further backers after the first, in milliseconds. */
export const BACKER_WAIT_MS = 400;
/**
 * How long grants go on while a recount is needed before they are paused, in
 * milliseconds. A recount is a load report, or the complete reports of all
 * callers, by which new backers count, a new basis takes effect or the bound of
 * unaccounted calls falls.
 */
export const RECOUNT_DELAY_MS = 1000;
/** Longest pause of grants for a recount, in milliseconds. */
export const RECOUNT_PAUSE_MS = 2000;
/**
 * Time from the end of a pause without a recount until the delay before the
 * next one begins, in milliseconds, while a recount is needed.
 */
export const RECOUNT_INTERVAL_MS = 10_000;

interface Backer extends AccountBacker {
  incarnation: number;
  term: number;
  stamp: number;
  untilMs: number;
  vouches: boolean;
}

/** Creates a tenure without backers, which allows no calls. */
export function createLeaderTenure(options: TenureOptions): LeaderTenure {
  const { clock, membership, callers, callMs } = options;
  const backersByVm = new Map<string, Backer>();
  const released = new Map<string, { incarnation: number; term: number }>();
  const accounts = new Map<string, UpstreamAccount>();
  /** Time from which the delay before the next pause counts, by upstream. */
  const recountNeededMs = new Map<string, number>();
  const incarnations = new Map<string, number>();
  /**
   * Basis in effect for each upstream: set by a recount, or once `callMs` has
   * passed since the basis changed.
   */
  const appliedBases = new Map<string, MembershipBasis>();
  let latestBasis: MembershipBasis = membership.basis();
  let latestBasisSinceMs = clock.now();

  function account(upstream: string): UpstreamAccount {
    let found = accounts.get(upstream);
    if (!found) {
      found = createUpstreamAccount({ clock, callMs });
      accounts.set(upstream, found);
    }
    return found;
  }

  /** Backers with unexpired leases that `membership` counts. */
  function activeBackers(): Backer[] {
    const nowMs = clock.now();
    const backers: Backer[] = [];
    for (const [vm, backer] of backersByVm) {
      if (backer.untilMs > nowMs && membership.isCounted(vm)) {
        backers.push(backer);
      }
    }
    return backers;
  }

  /** Whether all calls at an upstream were reported by their callers. */
  function isFullyReported(upstream: string): boolean {
    const nowMs = clock.now();
    const reportsLoad = options.reportsLoad(upstream);
    // Calls that outlive their entry show only in load reports. Without those
    // the reports of the present callers have to suffice.
    if (reportsLoad && !options.knowsCallers()) return false;
    for (const vm of callers()) {
      const backer = backersByVm.get(vm);
      if (!backer || backer.untilMs <= nowMs) return false;
      if (reportsLoad && !backer.vouches) return false;
    }
    return true;
  }

  function countedBackers(upstream: string): Backer[] {
    const found = account(upstream);
    const backers = activeBackers();
    const isRecountUseful = found.unaccounted() > 0 ||
      needsRecount(upstream, backers);
    if (isRecountUseful && isFullyReported(upstream)) {
      found.onAllReported(backers);
      appliedBases.set(upstream, currentBasis());
    }
    return backers.filter(found.isCounted);
  }

  function currentBasis(): MembershipBasis {
    const basis = membership.basis();
    if (basis.size !== latestBasis.size || basis.trust !== latestBasis.trust) {
      latestBasis = basis;
      latestBasisSinceMs = clock.now();
    }
    return latestBasis;
  }

  /**
   * Basis in effect for an upstream. Once the longest call has passed since a
   * change of the basis, it takes effect without a recount.
   */
  function appliedBasis(upstream: string): MembershipBasis | undefined {
    const basis = currentBasis();
    if (clock.now() >= latestBasisSinceMs + callMs()) {
      appliedBases.set(upstream, basis);
    }
    return appliedBases.get(upstream);
  }

  /**
   * Share for a number of backers. Calls that were granted while a departed
   * member was counted may still run, so a basis that gives a larger share
   * takes effect only after a recount or after the longest call.
   */
  function shareAt(upstream: string, backers: number): number {
    const basis = appliedBasis(upstream);
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

  function needsRecount(upstream: string, backers: readonly Backer[]): boolean {
    const { isCounted } = account(upstream);
    return backers.some((backer) => !isCounted(backer)) ||
      isBasisPending(upstream, backers.length);
  }

  function share(upstream: string): number {
    return shareAt(upstream, countedBackers(upstream).length);
  }

  /**
   * Whether grants are paused so that a load report can tell this leader's own
   * calls from those of others.
   */
  function isPaused(upstream: string): boolean {
    if (!options.reportsLoad(upstream)) return false;
    const nowMs = clock.now();
    const isNeeded = needsRecount(upstream, activeBackers()) ||
      account(upstream).isBoundLoose();
    if (!isNeeded) {
      recountNeededMs.delete(upstream);
      return false;
    }
    const pauseAtMs = (recountNeededMs.get(upstream) ?? nowMs) +
      RECOUNT_DELAY_MS;
    recountNeededMs.set(upstream, pauseAtMs - RECOUNT_DELAY_MS);
    if (nowMs < pauseAtMs) return false;
    if (nowMs < pauseAtMs + RECOUNT_PAUSE_MS) return true;
    // The pause brought no recount; try again after the interval.
    recountNeededMs.set(upstream, nowMs + RECOUNT_INTERVAL_MS);
    return false;
  }

  /**
   * Whether there are backers, none of which counts yet, and more may arrive:
   * until `LOAD_LAG_MS` after the newest arrival, but at most `BACKER_WAIT_MS`
   * after the first. Load reports are ignored meanwhile.
   */
  function isAwaitingBackers(upstream: string): boolean {
    const found = account(upstream);
    const backers = activeBackers();
    if (backers.length === 0 || backers.some(found.isCounted)) return false;
    const arrivals = backers.map((backer) => backer.arrivedMs);
    const nowMs = clock.now();
    return nowMs < Math.min(...arrivals) + BACKER_WAIT_MS &&
      nowMs < Math.max(...arrivals) + LOAD_LAG_MS;
  }

  function loseCalls(vm: string): string[] {
    const lost: string[] = [];
    for (const found of accounts.values()) {
      const permits = found.permitsOf(vm, Infinity);
      found.markUnaccounted(permits);
      lost.push(...permits);
    }
    return lost;
  }

  function release(vm: string): void {
    const backer = backersByVm.get(vm);
    if (!backer) return;
    backersByVm.delete(vm);
    released.set(vm, backer);
  }

  return {
    recordProcess(vm, incarnation) {
      const former = incarnations.get(vm) ?? incarnation;
      if (former > incarnation) return [];
      incarnations.set(vm, incarnation);
      if (former === incarnation) return [];
      backersByVm.delete(vm);
      return loseCalls(vm);
    },
    reconcilePermits(vm, echo, permits) {
      const live = new Set(permits.map(({ permit }) => permit));
      const ended: string[] = [];
      for (const found of accounts.values()) {
        for (const permit of found.permitsOf(vm, echo)) {
          if (live.has(permit)) continue;
          found.onEnded(permit);
          ended.push(permit);
        }
      }
      for (const { permit, upstream } of permits) {
        account(upstream).onAdopted(permit, vm);
      }
      return ended;
    },
    markUnreachable(vm) {
      release(vm);
      return loseCalls(vm);
    },
    recordBacking(backing) {
      const { vm, incarnation, term, stamp, vouches } = backing;
      if (incarnation < (incarnations.get(vm) ?? incarnation)) return;
      const releasedBacking = released.get(vm);
      if (releasedBacking && !isNewer(backing, releasedBacking)) return;
      const former = backersByVm.get(vm);
      const isSameProcess = former?.incarnation === incarnation;
      if (isSameProcess && former.stamp >= stamp) return;
      const untilMs = backing.echo + LEASE_MS;
      if (isSameProcess && former.term === term) {
        former.stamp = stamp;
        former.untilMs = Math.max(former.untilMs, untilMs);
        former.vouches = vouches;
        return;
      }
      backersByVm.set(vm, {
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
      const releasedBacking = released.get(backing.vm);
      return releasedBacking !== undefined &&
        !isNewer(backing, releasedBacking);
    },
    backers() {
      const nowMs = clock.now();
      return [...backersByVm]
        .filter(([, backer]) => backer.untilMs > nowMs)
        .map(([vm]) => vm);
    },
    account,
    report(upstream, load, limit) {
      if (isAwaitingBackers(upstream)) return;
      const backers = activeBackers();
      const next = currentBasis();
      const isPending = isBasisPending(upstream, backers.length);
      const appliesBasis = account(upstream).report(load, backers, {
        current: (count) => shareOfLimit(limit, shareAt(upstream, count)),
        pending: (count) => shareOfLimit(limit, shareOfBackers(count, next)),
        pendingSinceMs: isPending ? latestBasisSinceMs : undefined,
      });
      if (appliesBasis) appliedBases.set(upstream, next);
    },
    allowance(upstream, limit) {
      const counted = countedBackers(upstream);
      if (counted.length === 0 || isPaused(upstream)) return 0;
      const calls = shareOfLimit(limit, shareAt(upstream, counted.length));
      return Math.max(0, calls - account(upstream).unaccounted());
    },
    needsReport(upstream) {
      // Calls under the former backing of a newer backer may not show yet.
      const oldestMs = clock.now() - LOAD_LAG_MS;
      const backers = activeBackers()
        .filter((backer) => backer.arrivedMs <= oldestMs);
      if (backers.length === 0) return false;
      return account(upstream).unaccounted() > 0 ||
        needsRecount(upstream, backers);
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
