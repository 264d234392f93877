import type { LivePermit } from "@rosemarytiller/link";
import {
  FingerprintState,
  type LoadReport,
  type Quarantine,
  type QueuedRequest,
} from "@rosemarytiller/policy";
import { CallOutcome, createId } from "@rosemarytiller/shared";
import type { PoolUpstream } from "./create_pool_upstreams.ts";

/** Upstreams on which calls of one fingerprint may be in flight at once. */
export const MAX_FINGERPRINT_UPSTREAMS = 2;
/** Part of a pool's upstreams that may be kept for suspects. */
export const SUSPECT_SHARE = 0.25;

/** Keeps requests that may crash upstreams away from the others. */
export interface Containment {
  /** Whether a request may start on an upstream beside what runs there. */
  allows(
    request: QueuedRequest,
    upstream: PoolUpstream,
    all: readonly PoolUpstream[],
  ): boolean;
  /** Chooses the upstreams that are kept for waiting suspects. */
  reserve(
    waiting: Iterable<QueuedRequest>,
    options: {
      all: readonly PoolUpstream[];
      /** Upstreams that may serve a request. */
      usableFor(request: QueuedRequest): readonly PoolUpstream[];
    },
  ): void;
  onGranted(permit: LivePermit, nowMs: number): void;
  /** Notes a call that ended, while it still counts as in flight. */
  onDone(
    upstream: PoolUpstream,
    permit: LivePermit,
    options: { outcome: CallOutcome; nowMs: number },
  ): void;
  /** Notes a report; a new instance number means a crash. */
  onReport(upstream: PoolUpstream, report: LoadReport, nowMs: number): void;
  /** Drops what is held of a permit that is gone. */
  forget(permit: string): void;
}

interface CrashWatch {
  instance: string;
  /** When the last report was taken at the latest. */
  reportedMs: number;
  /** When a call last told of a crash. */
  crashedMs: number;
}

/** Creates the containment of a pool. */
export function createContainment(quarantine: Quarantine): Containment {
  /** Permits of suspects, which run alone. */
  const alone = new Set<string>();
  /** Permits whose crash has been noted; their own end adds nothing. */
  const implicated = new Set<string>();
  const grantedMs = new Map<string, number>();
  const watches = new Map<string, CrashWatch>();
  let reserved = new Set<string>();

  function watchOf(name: string): CrashWatch {
    let watch = watches.get(name);
    if (!watch) {
      watch = { instance: "", reportedMs: -Infinity, crashedMs: -Infinity };
      watches.set(name, watch);
    }
    return watch;
  }

  function noteCrash(permits: readonly LivePermit[]): void {
    if (permits.length === 0) return;
    for (const { permit } of permits) implicated.add(permit);
    const crash = createId("crash");
    quarantine.onCrash(crash, permits.map(({ fingerprint }) => fingerprint));
  }

  function isSuspect(fingerprint: string): boolean {
    return quarantine.stateOf(fingerprint) === FingerprintState.Suspect;
  }

  function runsAlone(upstream: PoolUpstream): boolean {
    if (alone.size === 0) return false;
    for (const permit of upstream.live.keys()) {
      if (alone.has(permit)) return true;
    }
    return false;
  }

  function forget(permit: string): void {
    alone.delete(permit);
    implicated.delete(permit);
    grantedMs.delete(permit);
  }

  return {
    allows(request, upstream, all) {
      if (runsAlone(upstream)) return false;
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
    reserve(waiting, { all, usableFor }) {
      const most = Math.max(1, Math.floor(all.length * SUSPECT_SHARE));
      const names = new Set<string>();
      for (const request of waiting) {
        if (names.size >= most) break;
        const { fingerprint } = request;
        if (!isSuspect(fingerprint)) continue;
        if (findUpstreams(fingerprint, all).size > 0) continue;
        const usable = usableFor(request).filter(({ name }) =>
          !names.has(name)
        );
        const kept = usable.find(({ name }) => reserved.has(name));
        const chosen = kept ?? findLeastBusy(usable);
        if (chosen) names.add(chosen.name);
      }
      reserved = names;
    },
    onGranted({ permit, fingerprint }, nowMs) {
      grantedMs.set(permit, nowMs);
      if (isSuspect(fingerprint)) alone.add(permit);
    },
    onDone(upstream, permit, { outcome, nowMs }) {
      if (outcome === CallOutcome.Crashed) {
        if (!implicated.has(permit.permit)) {
          noteCrash(withoutNoted(upstream, implicated));
        }
        watchOf(upstream.name).crashedMs = nowMs;
      }
      if (outcome === CallOutcome.Complete) {
        quarantine.onAnswer(permit.fingerprint);
      }
      forget(permit.permit);
    },
    onReport(upstream, report, nowMs) {
      const watch = watchOf(upstream.name);
      const takenMs = nowMs - report.ageMs;
      const isNew = watch.instance !== "" &&
        watch.instance !== report.instance;
      // A crash that calls have told of is not counted again.
      if (isNew && watch.crashedMs < watch.reportedMs) {
        noteCrash(
          withoutNoted(upstream, implicated).filter(({ permit }) =>
            (grantedMs.get(permit) ?? -Infinity) < takenMs
          ),
        );
      }
      watch.instance = report.instance;
      watch.reportedMs = takenMs;
    },
    forget,
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

function withoutNoted(
  upstream: PoolUpstream,
  noted: ReadonlySet<string>,
): LivePermit[] {
  return [...upstream.live.values()].filter(({ permit }) => !noted.has(permit));
}
