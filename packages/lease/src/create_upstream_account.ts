import type { Clock } from "@rosemarytiller/shared";
import { GRANT_VALID_MS, START_MS } from "./lease_times.ts";

/** How long after a load report the end of a call it counted may show. */
export const END_LAG_MS = 1000;

/** Calls of an upstream as it reported them. */
export interface CountedLoad {
  /** Calls running and waiting there. */
  calls: number;
  /** Latest monotonic time before which the count wasn't taken. */
  measuredMs: number;
}

/** A backer as an account sees it. */
export interface AccountBacker {
  /** VM, process start and term as one text. */
  key: string;
  /** Monotonic time at which it came to back this leader. */
  arrivedMs: number;
}

/** Calls that belong to a number of backers. */
export interface AccountShares {
  /** By the basis that is let in. */
  present(backers: number): number;
  /** By the basis that a report lets in. */
  next(backers: number): number;
  /** Since when the next basis holds; nothing if it is let in already. */
  changedAtMs: number | undefined;
}

/**
 * What a leader knows of one upstream's calls: those under its own permits,
 * and an upper bound of those granted by leaders before or beside it.
 */
export interface UpstreamAccount {
  /** Notes a permit that this leader granted to an entry. */
  granted(permit: string, vm: string): void;
  /** Notes a permit that an entry reported as live. */
  adopted(permit: string, vm: string): void;
  /** Notes the end of a permit. */
  ended(permit: string): void;
  /** Permits of an entry granted before a time, in milliseconds. */
  permitsOf(vm: string, beforeMs: number): string[];
  /** Moves the permits of an entry that is gone to the unseen calls. */
  lose(permits: readonly string[]): void;
  /**
   * Takes a load report. New backers and a new basis are let in unless that
   * would leave fewer calls. Returns whether they were.
   */
  report(
    load: CountedLoad,
    backers: readonly AccountBacker[],
    shares: AccountShares,
  ): boolean;
  /** Notes that every entry has reported: nothing is unseen. */
  complete(backers: readonly AccountBacker[]): void;
  /** Whether a backer's share of this upstream may be used. */
  counts(backer: AccountBacker): boolean;
  /** Upper bound of the calls that this leader has no permit for. */
  unseen(): number;
  /** Whether a count without own calls under way might lower `unseen`. */
  isUncertain(): boolean;
  /** Permits in progress. */
  live(): number;
}

/**
 * Creates the account of an upstream. A backer counts only after a load report
 * was taken when all calls granted under its former backings had begun: what
 * the report shows beyond this leader's own calls is unseen. Unseen calls only
 * end, so that the bound may fall with each later report.
 */
export function createUpstreamAccount(
  options: { clock: Clock; callMs: () => number },
): UpstreamAccount {
  const { clock, callMs } = options;
  /** Time from which a permit's call is surely counted by its upstream. */
  const live = new Map<string, { vm: string; sinceMs: number }>();
  const counted = new Set<string>();
  /** Own permits that were taken off the report behind `unseen`. */
  let subtracted = new Set<string>();
  let unseen = 0;
  let takenAtMs = -Infinity;
  /** By then every unseen call has run out of time. */
  let unseenEndMs = Infinity;
  let basisMs = -Infinity;
  /** Calls of others that the newest report shows for sure. */
  let surelyUnseen = 0;

  function take(load: CountedLoad): void {
    unseen = boundOf(load);
    subtracted = surelyRunning(load.measuredMs);
    takenAtMs = clock.now();
  }

  function boundOf({ calls, measuredMs }: CountedLoad): number {
    return Math.max(0, calls - surelyRunning(measuredMs).size);
  }

  function surelyRunning(atMs: number): Set<string> {
    const permits = new Set<string>();
    for (const [permit, { sinceMs }] of live) {
      if (sinceMs + START_MS <= atMs) permits.add(permit);
    }
    return permits;
  }

  function unseenNow(): number {
    if (clock.now() >= unseenEndMs) unseen = 0;
    return unseen;
  }

  function addUnseen(permits: number): void {
    unseen = unseenNow() + permits;
    unseenEndMs = clock.now() + callMs();
  }

  function counts(backer: AccountBacker): boolean {
    return counted.has(backer.key) ||
      clock.now() >= backer.arrivedMs + callMs();
  }

  return {
    granted(permit, vm) {
      live.set(permit, { vm, sinceMs: clock.now() + GRANT_VALID_MS });
    },
    adopted(permit, vm) {
      if (live.has(permit)) return;
      live.set(permit, { vm, sinceMs: clock.now() });
    },
    ended(permit) {
      if (!live.delete(permit)) return;
      if (!subtracted.delete(permit)) return;
      // The call may have ended before the count that it was taken off.
      if (clock.now() < takenAtMs + END_LAG_MS) addUnseen(1);
    },
    permitsOf(vm, beforeMs) {
      const permits: string[] = [];
      for (const [permit, held] of live) {
        if (held.vm !== vm) continue;
        if (held.sinceMs - GRANT_VALID_MS < beforeMs) permits.push(permit);
      }
      return permits;
    },
    lose(permits) {
      let lost = 0;
      for (const permit of permits) {
        if (!live.delete(permit)) continue;
        subtracted.delete(permit);
        lost++;
      }
      if (lost === 0) return;
      addUnseen(lost);
      // One granted just now may still be on its way to the upstream.
      const startedMs = clock.now() + GRANT_VALID_MS + START_MS;
      basisMs = Math.max(basisMs, startedMs);
    },
    report(load, backers, shares) {
      const { measuredMs } = load;
      if (measuredMs < basisMs) return false;
      surelyUnseen = Math.max(0, load.calls - live.size);
      const isPast = (atMs: number) => atMs + START_MS <= measuredMs;
      const before = backers.filter(counts);
      const arrived = backers.filter((backer) =>
        !counts(backer) && isPast(backer.arrivedMs)
      );
      const { changedAtMs = Infinity } = shares;
      const rebase = isPast(changedAtMs);
      const bound = boundOf(load);
      const calls = rebase ? shares.next : shares.present;
      const next = calls(before.length + arrived.length) - bound;
      const present = shares.present(before.length) - unseenNow();
      if ((rebase || arrived.length > 0) && next >= present) {
        take(load);
        basisMs = measuredMs;
        unseenEndMs = clock.now() + callMs();
        for (const backer of arrived) counted.add(backer.key);
        return rebase;
      }
      if (bound < unseen) take(load);
      return false;
    },
    complete(backers) {
      unseen = 0;
      subtracted.clear();
      for (const backer of backers) counted.add(backer.key);
    },
    counts,
    unseen: unseenNow,
    isUncertain: () => unseenNow() > surelyUnseen,
    live: () => live.size,
  };
}
