import type { Clock } from "@rosemarytiller/shared";
import { GRANT_VALID_MS, LOAD_LAG_MS } from "./lease_times.ts";

/**
 * Longest delay of the notice that a call ended: for this long after a load
 * report is applied, a call may turn out to have ended before it was measured.
 */
export const CALL_END_LAG_MS = 1000;

/** Number of calls that an upstream reported. */
export interface CountedLoad {
  /** Calls running and queued there. */
  calls: number;
  /** Earliest monotonic time at which the load may have been measured. */
  measuredMs: number;
}

/** A backer, as the account of an upstream identifies it. */
export interface AccountBacker {
  /** VM, incarnation and term, joined by spaces. */
  key: string;
  /** Monotonic time at which it began to back this leader. */
  arrivedMs: number;
}

/** Calls that a leader may have for a number of backers. */
export interface CallAllowances {
  /** By the smaller share of the basis in effect and the newest one. */
  current(backers: number): number;
  /** By the pending basis, which a load report can put into effect. */
  pending(backers: number): number;
  /** Since when the basis is pending; `undefined` if it is in effect. */
  pendingSinceMs: number | undefined;
}

/**
 * A leader's account of the calls at one upstream: those under its own
 * permits, and an upper bound of the unaccounted ones, which were granted by
 * earlier or concurrent leaders or whose entries were lost.
 */
export interface UpstreamAccount {
  /** Adds a permit that this leader granted to an entry. */
  onGranted(permit: string, vm: string): void;
  /** Adds a permit that an entry reported as live. */
  onAdopted(permit: string, vm: string): void;
  /** Removes a permit whose call has ended. */
  onEnded(permit: string): void;
  /** Permits of an entry that were granted before `beforeMs`. */
  permitsOf(vm: string, beforeMs: number): string[];
  /** Turns the permits of a lost entry into unaccounted calls. */
  markUnaccounted(permits: readonly string[]): void;
  /**
   * Applies a load report. It puts new backers and a pending basis into
   * effect, unless that would allow fewer calls than before. Returns whether
   * the pending basis took effect.
   */
  report(
    load: CountedLoad,
    backers: readonly AccountBacker[],
    allowances: CallAllowances,
  ): boolean;
  /** All callers have reported: no call is unaccounted, all backers count. */
  onAllReported(backers: readonly AccountBacker[]): void;
  /** Whether a backer adds to the share of this upstream. */
  isCounted(backer: AccountBacker): boolean;
  /**
   * Upper bound of the unaccounted calls, which are those that this leader has
   * no permit for.
   */
  unaccounted(): number;
  /**
   * Whether the bound may be too high, so that a load report taken while no own
   * calls are starting might lower it.
   */
  isBoundLoose(): boolean;
  /** Number of live permits. */
  live(): number;
}

/**
 * Creates the account of an upstream. A backer counts only after a load report
 * that was measured when all calls granted under its former backings had
 * started: the calls in the report beyond this leader's own are unaccounted. It
 * also counts after complete reports of all callers, or once the longest call
 * has passed since it arrived.
 * Unaccounted calls only end, so the bound may fall with each later report.
 */
export function createUpstreamAccount(
  options: { clock: Clock; callMs: () => number },
): UpstreamAccount {
  const { clock, callMs } = options;
  /** Live permits, with the time by which their calls must have started. */
  const live = new Map<string, { vm: string; startedByMs: number }>();
  const counted = new Set<string>();
  /** Own permits that were subtracted from the report behind `unaccounted`. */
  let subtracted = new Set<string>();
  let unaccounted = 0;
  let appliedAtMs = -Infinity;
  /** Time by which all unaccounted calls have reached their time limit. */
  let unaccountedEndMs = Infinity;
  /** Reports that were measured earlier are ignored. */
  let minMeasuredMs = -Infinity;
  /** Lower bound of the unaccounted calls by the newest report. */
  let minUnaccounted = 0;

  function apply(load: CountedLoad): void {
    unaccounted = boundOf(load);
    subtracted = certainlyRunning(load.measuredMs);
    appliedAtMs = clock.now();
  }

  function boundOf({ calls, measuredMs }: CountedLoad): number {
    return Math.max(0, calls - certainlyRunning(measuredMs).size);
  }

  /** Live permits whose calls a report measured at `atMs` must include. */
  function certainlyRunning(atMs: number): Set<string> {
    const permits = new Set<string>();
    for (const [permit, { startedByMs }] of live) {
      if (startedByMs + LOAD_LAG_MS <= atMs) permits.add(permit);
    }
    return permits;
  }

  function currentUnaccounted(): number {
    if (clock.now() >= unaccountedEndMs) unaccounted = 0;
    return unaccounted;
  }

  function addUnaccounted(calls: number): void {
    unaccounted = currentUnaccounted() + calls;
    unaccountedEndMs = clock.now() + callMs();
  }

  function isCounted(backer: AccountBacker): boolean {
    return counted.has(backer.key) ||
      clock.now() >= backer.arrivedMs + callMs();
  }

  return {
    onGranted(permit, vm) {
      live.set(permit, { vm, startedByMs: clock.now() + GRANT_VALID_MS });
    },
    onAdopted(permit, vm) {
      if (live.has(permit)) return;
      live.set(permit, { vm, startedByMs: clock.now() });
    },
    onEnded(permit) {
      if (!live.delete(permit)) return;
      if (!subtracted.delete(permit)) return;
      // The call may have ended before the report that it was subtracted from.
      if (clock.now() < appliedAtMs + CALL_END_LAG_MS) addUnaccounted(1);
    },
    permitsOf(vm, beforeMs) {
      const permits: string[] = [];
      for (const [permit, held] of live) {
        if (held.vm !== vm) continue;
        if (held.startedByMs - GRANT_VALID_MS < beforeMs) permits.push(permit);
      }
      return permits;
    },
    markUnaccounted(permits) {
      let lost = 0;
      for (const permit of permits) {
        if (!live.delete(permit)) continue;
        subtracted.delete(permit);
        lost++;
      }
      if (lost === 0) return;
      addUnaccounted(lost);
      // The call of a recent grant may not have reached the upstream yet.
      const startedMs = clock.now() + GRANT_VALID_MS + LOAD_LAG_MS;
      minMeasuredMs = Math.max(minMeasuredMs, startedMs);
    },
    report(load, backers, allowances) {
      const { measuredMs } = load;
      if (measuredMs < minMeasuredMs) return false;
      minUnaccounted = Math.max(0, load.calls - live.size);
      const isPast = (atMs: number) => atMs + LOAD_LAG_MS <= measuredMs;
      const before = backers.filter(isCounted);
      const arrived = backers.filter((backer) =>
        !isCounted(backer) && isPast(backer.arrivedMs)
      );
      const { pendingSinceMs = Infinity } = allowances;
      const appliesBasis = isPast(pendingSinceMs);
      const bound = boundOf(load);
      const allowance = appliesBasis ? allowances.pending : allowances.current;
      const allowedAfter = allowance(before.length + arrived.length) - bound;
      const allowedNow = allowances.current(before.length) -
        currentUnaccounted();
      if ((appliesBasis || arrived.length > 0) && allowedAfter >= allowedNow) {
        apply(load);
        minMeasuredMs = measuredMs;
        unaccountedEndMs = clock.now() + callMs();
        for (const backer of arrived) counted.add(backer.key);
        return appliesBasis;
      }
      if (bound < unaccounted) apply(load);
      return false;
    },
    onAllReported(backers) {
      unaccounted = 0;
      subtracted.clear();
      for (const backer of backers) counted.add(backer.key);
    },
    isCounted,
    unaccounted: currentUnaccounted,
    isBoundLoose: () => currentUnaccounted() > minUnaccounted,
    live: () => live.size,
  };
}
