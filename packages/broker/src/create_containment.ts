import type { LivePermit } from "@rosemarytiller/link";
import {
  FingerprintState,
  type LoadReport,
  type Quarantine,
  type QueuedRequest,
} from "@rosemarytiller/policy";
import { CallOutcome } from "@rosemarytiller/shared";
import type { PoolUpstream } from "./create_pool_upstreams.ts";

/**
 * Most upstreams on which an isolated fingerprint may have calls in flight at
 * once; a suspect may have one call on one upstream.
 */
export const MAX_FINGERPRINT_UPSTREAMS = 2;
/** Outcomes of calls that no upstream ran. */
const UNSENT_OUTCOMES: ReadonlySet<CallOutcome> = new Set([
  CallOutcome.ConnectFailed,
  CallOutcome.Refused,
  CallOutcome.Unused,
]);
/** Largest share of a pool's upstreams reserved for suspects, at least one. */
export const MAX_RESERVED_SHARE = 0.25;

/**
 * Limits the damage of requests that may crash upstreams: suspects run alone,
 * and requests with the same fingerprint run on few upstreams at once.
 */
export interface Containment {
  /**
   * Whether a request may start on an upstream given the calls in flight there
   * and on the pool's other upstreams.
   */
  allows(
    request: QueuedRequest,
    upstream: PoolUpstream,
    all: readonly PoolUpstream[],
  ): boolean;
  /**
   * Chooses the upstreams reserved for pending suspects. Only suspects start
   * there, so that the upstreams drain until a suspect can run alone.
   */
  reserve(
    pending: Iterable<QueuedRequest>,
    options: {
      all: readonly PoolUpstream[];
      /** Upstreams that may serve a request. */
      usableFor(request: QueuedRequest): readonly PoolUpstream[];
    },
  ): void;
  onGranted(permit: LivePermit, nowMs: number): void;
  /**
   * Records the end of a call. Call it while the permit still counts as in
   * flight on the upstream.
   */
  onDone(
    upstream: PoolUpstream,
    permit: LivePermit,
    options: { outcome: CallOutcome; nowMs: number },
  ): void;
  /** Handles a load report; a changed instance number means a crash. */
  onReport(upstream: PoolUpstream, report: LoadReport, nowMs: number): void;
  /**
   * Drops the state of a permit that has ended or whose entry is unreachable or
   * has restarted.
   */
  dropPermit(permit: string): void;
}

interface CrashWatch {
  instance: string;
  /** Earliest time at which the last report can have been measured. */
  measuredMs: number;
  /** Time of the last crash reported by a call. */
  crashedMs: number;
}

/** Creates the containment of a pool; no upstream is reserved at first. */
export function createContainment(quarantine: Quarantine): Containment {
  /** Permits of suspects; no other call may start beside them. */
  const exclusive = new Set<string>();
  /**
   * Permits in flight at a crash already recorded; their own crash outcome is
   * not recorded again.
   */
  const implicated = new Set<string>();
  const grantedMs = new Map<string, number>();
  const watches = new Map<string, CrashWatch>();
  let reserved = new Set<string>();

  function watchOf(name: string): CrashWatch {
    let watch = watches.get(name);
    if (!watch) {
      watch = { instance: "", measuredMs: -Infinity, crashedMs: -Infinity };
      watches.set(name, watch);
    }
    return watch;
  }

  /**
   * Records a crash for each fingerprint under the first of its permits. Two
   * leaders may know of a permit; both use the same identifier then.
   */
  function recordCrash(permits: readonly LivePermit[]): void {
    const firstPermits = new Map<string, string>();
    for (const { permit, fingerprint } of permits) {
      implicated.add(permit);
      const first = firstPermits.get(fingerprint);
      if (first !== undefined && first < permit) continue;
      firstPermits.set(fingerprint, permit);
    }
    for (const [fingerprint, permit] of firstPermits) {
      quarantine.onCrash(permit, [fingerprint]);
    }
  }

  function isSuspect(fingerprint: string): boolean {
    return quarantine.stateOf(fingerprint) === FingerprintState.Suspect;
  }

  function hasExclusiveCall(upstream: PoolUpstream): boolean {
    if (exclusive.size === 0) return false;
    for (const permit of upstream.live.keys()) {
      if (exclusive.has(permit)) return true;
    }
    return false;
  }

  function dropPermit(permit: string): void {
    exclusive.delete(permit);
    implicated.delete(permit);
    grantedMs.delete(permit);
  }

  return {
    allows(request, upstream, all) {
      if (hasExclusiveCall(upstream)) return false;
      const { fingerprint, isolation } = request;
      if (isolation === undefined) return !reserved.has(upstream.name);
      const running = findUpstreams(fingerprint, all);
      if (isSuspect(fingerprint)) {
        return upstream.live.size === 0 && running.size === 0;
      }
      if (reserved.has(upstream.name)) return false;
      return running.size < MAX_FINGERPRINT_UPSTREAMS ||
        running.has(upstream.name);
    },
    reserve(pending, { all, usableFor }) {
      const maxReserved = Math.max(
        1,
        Math.floor(all.length * MAX_RESERVED_SHARE),
      );
      const names = new Set<string>();
      for (const request of pending) {
        if (names.size >= maxReserved) break;
        const { fingerprint } = request;
        if (!isSuspect(fingerprint)) continue;
        if (findUpstreams(fingerprint, all).size > 0) continue;
        const usable = usableFor(request).filter(({ name }) =>
          !names.has(name)
        );
        const reservedBefore = usable.find(({ name }) => reserved.has(name));
        const chosen = reservedBefore ?? findLeastBusy(usable);
        if (chosen) names.add(chosen.name);
      }
      reserved = names;
    },
    onGranted({ permit, fingerprint }, nowMs) {
      grantedMs.set(permit, nowMs);
      if (isSuspect(fingerprint)) exclusive.add(permit);
      quarantine.onStarted(fingerprint, permit);
    },
    onDone(upstream, permit, { outcome, nowMs }) {
      if (outcome === CallOutcome.Crashed) {
        if (!implicated.has(permit.permit)) {
          recordCrash(findUnimplicated(upstream, implicated));
        }
        watchOf(upstream.name).crashedMs = nowMs;
      }
      if (outcome === CallOutcome.Complete) {
        quarantine.onAnswer(permit.fingerprint);
      }
      if (UNSENT_OUTCOMES.has(outcome)) {
        quarantine.onUnused(permit.fingerprint, permit.permit);
      }
      dropPermit(permit.permit);
    },
    onReport(upstream, report, nowMs) {
      const watch = watchOf(upstream.name);
      const measuredMs = nowMs - report.ageMs;
      const hasRestarted = watch.instance !== "" &&
        watch.instance !== report.instance;
      // Skips a crash that a call has reported since the last report.
      if (hasRestarted && watch.crashedMs < watch.measuredMs) {
        recordCrash(
          findUnimplicated(upstream, implicated).filter(({ permit }) =>
            (grantedMs.get(permit) ?? -Infinity) < measuredMs
          ),
        );
      }
      watch.instance = report.instance;
      watch.measuredMs = measuredMs;
    },
    dropPermit,
  };
}

/** Upstreams with calls of a fingerprint in flight. */
function findUpstreams(
  fingerprint: string,
  all: readonly PoolUpstream[],
): Set<string> {
  const names = new Set<string>();
  for (const { name, live } of all) {
    for (const permit of live.values()) {
      if (permit.fingerprint === fingerprint) names.add(name);
    }
  }
  return names;
}

function findLeastBusy(
  upstreams: readonly PoolUpstream[],
): PoolUpstream | undefined {
  let best: PoolUpstream | undefined;
  for (const upstream of upstreams) {
    if (!best || upstream.live.size < best.live.size) best = upstream;
  }
  return best;
}

function findUnimplicated(
  upstream: PoolUpstream,
  implicated: ReadonlySet<string>,
): LivePermit[] {
  return [...upstream.live.values()].filter(({ permit }) =>
    !implicated.has(permit)
  );
}
