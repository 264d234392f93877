import {
  createEngineModel,
  createSpeedEstimate,
  type EngineModel,
  type SpeedEstimate,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import {
  createVersionHistory,
  type VersionHistory,
} from "./create_version_history.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { ServiceDefinition, UpstreamEntry } from "./ports.ts";
import { SILENCE_MEMORY_MS } from "./silence_limits.ts";

/** An upstream with its estimated state; times are monotonic, in ms. */
export interface Upstream {
  entry: UpstreamEntry;
  model: EngineModel;
  /** Time until which it is in warm-up and admits calls at a limited rate. */
  warmUpUntilMs: number;
  /**
   * First failure to connect since this VM received bytes from it, and the end
   * of its warm-up before that; the failure may be this VM's own.
   */
  assumedWarmUp: { atMs: number; beforeMs: number } | undefined;
  /** Time until which it gets no calls after a failure. */
  downUntilMs: number;
  /** Time until which other upstreams are preferred after a silence. */
  silentUntilMs: number;
  /** Failures to connect and stalls since this VM last received bytes. */
  consecutiveFailures: number;
  /** Fraction of recent calls that failed, as of `failureAtMs`. */
  failureShare: number;
  failureAtMs: number;
  /** Time at which this VM last received bytes from it. */
  lastReceivedMs: number;
  /**
   * Time at which this VM last received bytes from it, or another VM reported a
   * first event or complete response.
   */
  fleetLastReceivedMs: number;
  /** Time at which it is removed, after its entry has expired. */
  removeAtMs: number | undefined;
  /** Time until which it asked this VM to send it nothing. */
  pausedUntilMs: number;
  /**
   * Calls that this VM may have sent since the pause without a first event or
   * complete response yet.
   */
  returnLimit: number;
  /** Calls of this VM that count against `returnLimit`. */
  returningCalls: number;
}

/** Registry of the known upstreams and their state. */
export interface Registry {
  /**
   * Adds or updates an entry; a restarted upstream gets a new state. `from` is
   * the platform or the peer that it was received from, for the log.
   */
  set(id: string, entry: UpstreamEntry, from?: string): void;
  /**
   * Removes an entry. The upstream is kept for `keepMs`, since entries of
   * healthy upstreams can expire while the platform is unreachable.
   */
  remove(id: string, options: { keepMs: number; from?: string }): void;
  /** The entry of `id` names no upstream: one that it named is removed. */
  refuse(id: string, from?: string): void;
  /** Removes the upstreams that are kept although their entries were removed. */
  dropRemoved(): void;
  find(id: string): Upstream | undefined;
  /**
   * Upstreams of a service that can get calls: not down, not draining, not
   * leaving, not paused and not in a data centre out of service.
   */
  eligible(service: string): Upstream[];
  /**
   * Upstreams of a service that are in use, also if they are down or paused
   * now.
   */
  inService(service: string): Upstream[];
  /** Whether an upstream is in use, as of now, and still the same run. */
  isInUse(upstream: Upstream): boolean;
  /**
   * This VM had lost its links to the upstream and has them back: the upstream
   * was not down, and needs no warm-up for that.
   */
  onLinkRegained(upstream: Upstream): void;
  all(): Iterable<Upstream>;
  /** Software versions of the upstreams over time. */
  versions: Pick<VersionHistory, "onGap" | "onlyVersionOf">;
  /**
   * Takes a data centre out of service, or puts it back after `keepMs` (0 by
   * default).
   */
  setDataCentre(dataCentre: string, isOut: boolean, keepMs?: number): void;
  /** Replaces the service definitions; known upstreams keep their state. */
  setServices(find: (name: string) => ServiceDefinition | undefined): void;
  /** Speed estimate shared by the engines of a service. */
  speedOf(service: string): SpeedEstimate;
  /**
   * Connecting failed: the upstream gets no calls for a while and is in warm-up
   * from now on.
   */
  onConnectFailed(upstream: Upstream, reason: string): void;
  /**
   * The upstream has sent nothing for an idle timeout, which happens to healthy
   * ones too: new calls prefer other upstreams until it sends something or
   * `SILENCE_MEMORY_MS` have passed.
   */
  onSilent(upstream: Upstream): void;
  /**
   * The upstream sent nothing for too long, but may only be slow: it gets no
   * calls for a while and needs no warm-up.
   */
  onStalled(upstream: Upstream): void;
  /**
   * A run of an upstream is about to stop: it gets no more calls, also if its
   * entry expires and returns, until the entry is that of another run. Returns
   * false if that was known, or if the entry already is that of another run.
   */
  onLeaving(id: string, leaving: LeavingRun): boolean;
  /**
   * The upstream asked this VM to send it nothing for `pauseMs`, of which at
   * most `MAX_PAUSE_MS` count.
   */
  onPauseRequested(upstream: Upstream, pauseMs: number): void;
  /**
   * Whether an upstream can admit a call from this VM after a pause. For
   * `RETURN_MS`, only few calls may wait for their first event or response.
   */
  canAdmitAfterPause(upstream: Upstream): boolean;
  /**
   * Counts a call of this VM to an upstream that returns from a pause. The
   * result is to be called at its first event or end; each success doubles the
   * number of calls that the upstream admits.
   */
  startReturningCall(upstream: Upstream): (isSuccess: boolean) => void;
  /**
   * Earliest end of a pause if all upstreams of a service that could get calls
   * are paused or were within `RETURN_MS`; a monotonic time in ms. `filter`
   * limits the upstreams, by default to none.
   */
  earliestReturnMs(
    service: string,
    filter?: (upstream: Upstream) => boolean,
  ): number | undefined;
  /** Counts an ended call in the failure share; `weight` is 0 to 1. */
  onCallEnd(upstream: Upstream, failed: boolean, weight: number): void;
  /**
   * This VM received bytes from the upstream. If their connection was opened
   * before a failure to connect, the upstream has not restarted.
   */
  onReceived(upstream: Upstream, openedMs?: number): void;
  /** Another VM reported a first event or complete response. */
  onPeerReceived(upstream: Upstream): void;
  /**
   * Fraction of calls that are expected to fail: that of recent calls, which
   * decays with time, or 1 while other upstreams are preferred after `onSilent`.
   */
  failureShare(upstream: Upstream): number;
}

/** A run of an upstream that is about to stop. */
export interface LeavingRun {
  /** The run, as returned by `runOf`. */
  run: string;
  /** VM or host that received the announcement. */
  from: string;
}

/** Time without calls after a first failure, in ms; doubles with each more. */
const INITIAL_DOWN_MS = 250;
/** Longest time without calls after a failure, in milliseconds. */
const MAX_DOWN_MS = 1500;
/** Time in which the failure share halves without calls, in ms. */
const FAILURE_HALF_LIFE_MS = 2500;
/** Weight of one call in the moving average of failures. */
const FAILURE_CALL_WEIGHT = 0.15;

/** Longest pause that an upstream gets by one response, in milliseconds. */
const MAX_PAUSE_MS = 30_000;
/** Time after a pause in which calls return a few at a time, in ms. */
const RETURN_MS = 2000;
/** Leaving runs that are remembered; the oldest are forgotten first. */
const MAX_LEAVING_RUNS = 1000;

/**
 * Identifies a run of an upstream. An entry with another value is that of a
 * restarted upstream, or of another one with the same identifier.
 */
export function runOf(entry: UpstreamEntry): string {
  const { startedMs, softwareVersion, service, host, port } = entry;
  return [startedMs, softwareVersion, service, host, port].join(" ");
}

/** Creates an empty registry; it logs changes of upstreams. */
export function createRegistry(
  options: { clock: Clock; log: EventLog },
): Registry {
  const { clock, log } = options;
  const upstreams = new Map<string, Upstream>();
  /** Data centres out of service, with the time until which they are. */
  const outUntilMs = new Map<string, number>();
  /** Leaving runs by the upstream's identifier, in the order of their news. */
  const leavingRuns = new Map<string, string>();
  const speeds = new Map<string, SpeedEstimate>();
  const versions = createVersionHistory(clock);
  let findService: (name: string) => ServiceDefinition | undefined = () =>
    undefined;

  function speedOf(service: string): SpeedEstimate {
    let speed = speeds.get(service);
    if (!speed) speeds.set(service, speed = createSpeedEstimate());
    return speed;
  }

  function createUpstream(entry: UpstreamEntry): Upstream {
    const engine = findService(entry.service)?.engine;
    const size = {
      slots: entry.slots,
      memoryTokens: engine?.memoryTokens ?? Infinity,
    };
    return {
      entry,
      model: createEngineModel(size, speedOf(entry.service).speed),
      warmUpUntilMs: clock.now() + entry.warmUpMs,
      assumedWarmUp: undefined,
      downUntilMs: 0,
      silentUntilMs: 0,
      consecutiveFailures: 0,
      failureShare: 0,
      failureAtMs: 0,
      lastReceivedMs: 0,
      fleetLastReceivedMs: 0,
      removeAtMs: undefined,
      pausedUntilMs: -Infinity,
      returnLimit: 1,
      returningCalls: 0,
    };
  }

  function recentFailureShare(upstream: Upstream): number {
    const ageMs = clock.now() - upstream.failureAtMs;
    return upstream.failureShare * 2 ** (-ageMs / FAILURE_HALF_LIFE_MS);
  }

  /** Marks an upstream as down, with backoff; false if it already was. */
  function markDown(upstream: Upstream, reason: string): boolean {
    const nowMs = clock.now();
    if (upstream.downUntilMs > nowMs) return false;
    upstream.consecutiveFailures++;
    const downMs = Math.min(
      MAX_DOWN_MS,
      INITIAL_DOWN_MS * 2 ** Math.min(8, upstream.consecutiveFailures - 1),
    );
    upstream.downUntilMs = nowMs + downMs;
    log.warn(LogEvent.UpstreamDown, {
      upstream: upstream.entry.id,
      reason,
      broken: upstream.consecutiveFailures,
      quietMs: Math.round(nowMs - upstream.fleetLastReceivedMs),
      downMs,
    });
    return true;
  }

  function isInUse(upstream: Upstream): boolean {
    const { entry, removeAtMs } = upstream;
    const nowMs = clock.now();
    if (upstreams.get(entry.id) !== upstream || entry.isDraining) return false;
    if (removeAtMs !== undefined && removeAtMs <= nowMs) return false;
    if (leavingRuns.has(entry.id)) return false;
    return (outUntilMs.get(entry.dataCentre) ?? 0) <= nowMs;
  }

  /** Upstreams of a service, those that are down or paused included. */
  function listInService(service: string): Upstream[] {
    const nowMs = clock.now();
    const list: Upstream[] = [];
    for (const [id, upstream] of upstreams) {
      const { removeAtMs } = upstream;
      if (removeAtMs !== undefined && removeAtMs <= nowMs) upstreams.delete(id);
      if (upstream.entry.service !== service || !isInUse(upstream)) continue;
      list.push(upstream);
    }
    return list;
  }

  function isReturning({ pausedUntilMs }: Upstream): boolean {
    return clock.now() < pausedUntilMs + RETURN_MS;
  }

  return {
    set(id, entry, from) {
      const known = upstreams.get(id);
      versions.onEntry(id, entry);
      const isSameRun = known && runOf(known.entry) === runOf(entry);
      if (leavingRuns.get(id) !== runOf(entry)) leavingRuns.delete(id);
      if (!isSameRun) {
        upstreams.set(id, createUpstream(entry));
      } else {
        const isInWarmUp = entry.warmUpMs > 0;
        known.entry = entry;
        known.removeAtMs = undefined;
        if (isInWarmUp) {
          known.warmUpUntilMs = Math.max(
            known.warmUpUntilMs,
            clock.now() + entry.warmUpMs,
          );
        }
      }
      log.info(LogEvent.UpstreamChanged, {
        upstream: id,
        service: entry.service,
        dataCentre: entry.dataCentre,
        version: entry.softwareVersion,
        draining: entry.isDraining,
        coldMs: entry.warmUpMs,
        newRun: !isSameRun,
        from,
      });
    },
    remove(id, { keepMs, from }) {
      versions.onRemoved(id, keepMs);
      const known = upstreams.get(id);
      if (!known) return;
      if (keepMs > 0) known.removeAtMs = clock.now() + keepMs;
      else upstreams.delete(id);
      log.info(LogEvent.UpstreamChanged, {
        upstream: id,
        removed: true,
        keepMs: Math.round(keepMs),
        from,
      });
    },
    refuse(id, from) {
      versions.onRefused(id);
      if (!upstreams.delete(id)) return;
      log.info(LogEvent.UpstreamChanged, {
        upstream: id,
        removed: true,
        keepMs: 0,
        from,
      });
    },
    dropRemoved() {
      for (const [id, { removeAtMs }] of upstreams) {
        if (removeAtMs !== undefined) upstreams.delete(id);
      }
    },
    find: (id) => upstreams.get(id),
    eligible(service) {
      const nowMs = clock.now();
      return listInService(service).filter(({ downUntilMs, pausedUntilMs }) =>
        downUntilMs <= nowMs && pausedUntilMs <= nowMs
      );
    },
    inService: listInService,
    isInUse,
    onLinkRegained(upstream) {
      const { assumedWarmUp } = upstream;
      if (!assumedWarmUp) return;
      upstream.assumedWarmUp = undefined;
      upstream.downUntilMs = 0;
      upstream.consecutiveFailures = 0;
      upstream.warmUpUntilMs = assumedWarmUp.beforeMs;
    },
    all: () => upstreams.values(),
    versions,
    setDataCentre(dataCentre, isOut, keepMs = 0) {
      const backMs = clock.now() + keepMs;
      const wasOut = (outUntilMs.get(dataCentre) ?? 0) > clock.now();
      if (isOut) outUntilMs.set(dataCentre, Infinity);
      else if (wasOut) outUntilMs.set(dataCentre, backMs);
      if (wasOut && !isOut) {
        // Upstreams that got no calls for a while may need another warm-up.
        for (const upstream of upstreams.values()) {
          if (upstream.entry.dataCentre !== dataCentre) continue;
          const warmUpMs = findService(upstream.entry.service)?.warmUpMs ?? 0;
          upstream.warmUpUntilMs = backMs + warmUpMs;
        }
      }
      log.info(LogEvent.DataCentreChanged, {
        dataCentre,
        out: isOut,
        ...(keepMs > 0 && { keepMs }),
      });
    },
    setServices(find) {
      findService = find;
    },
    speedOf,
    onConnectFailed(upstream, reason) {
      if (!markDown(upstream, reason)) return;
      const warmUpMs = findService(upstream.entry.service)?.warmUpMs ?? 0;
      // The upstream may have restarted without having registered yet; it then
      // needs a warm-up.
      upstream.assumedWarmUp ??= {
        atMs: clock.now(),
        beforeMs: upstream.warmUpUntilMs,
      };
      upstream.warmUpUntilMs = Math.max(
        upstream.warmUpUntilMs,
        clock.now() + warmUpMs,
      );
    },
    onSilent(upstream) {
      upstream.silentUntilMs = clock.now() + SILENCE_MEMORY_MS;
    },
    onStalled: (upstream) => void markDown(upstream, "silent"),
    onLeaving(id, { run, from }) {
      const known = upstreams.get(id);
      if (known && runOf(known.entry) !== run) return false;
      if (leavingRuns.get(id) === run) return false;
      leavingRuns.delete(id);
      leavingRuns.set(id, run);
      for (const oldest of leavingRuns.keys()) {
        if (leavingRuns.size <= MAX_LEAVING_RUNS) break;
        leavingRuns.delete(oldest);
      }
      log.info(LogEvent.UpstreamLeaving, { upstream: id, from });
      return true;
    },
    onPauseRequested(upstream, pauseMs) {
      const boundedMs = Math.min(MAX_PAUSE_MS, pauseMs);
      upstream.pausedUntilMs = Math.max(
        upstream.pausedUntilMs,
        clock.now() + boundedMs,
      );
      upstream.returnLimit = 1;
      upstream.returningCalls = 0;
      log.info(LogEvent.UpstreamPaused, {
        upstream: upstream.entry.id,
        pauseMs: Math.round(boundedMs),
      });
    },
    canAdmitAfterPause: (upstream) =>
      !isReturning(upstream) ||
      upstream.returningCalls < upstream.returnLimit,
    startReturningCall(upstream) {
      if (!isReturning(upstream)) return () => {};
      const { pausedUntilMs } = upstream;
      let isOpen = true;
      upstream.returningCalls++;
      return (isSuccess) => {
        // Another pause starts the counts anew.
        if (!isOpen || upstream.pausedUntilMs !== pausedUntilMs) return;
        isOpen = false;
        upstream.returningCalls--;
        if (isSuccess) upstream.returnLimit *= 2;
      };
    },
    earliestReturnMs(service, filter = () => true) {
      let earliestMs: number | undefined;
      for (const upstream of listInService(service)) {
        if (!filter(upstream)) continue;
        if (!isReturning(upstream)) return undefined;
        earliestMs = Math.min(earliestMs ?? Infinity, upstream.pausedUntilMs);
      }
      return earliestMs;
    },
    onCallEnd(upstream, failed, weight) {
      const gain = FAILURE_CALL_WEIGHT * weight;
      const share = recentFailureShare(upstream);
      upstream.failureShare = share + gain * ((failed ? 1 : 0) - share);
      upstream.failureAtMs = clock.now();
    },
    onReceived(upstream, openedMs = Infinity) {
      const { assumedWarmUp } = upstream;
      if (assumedWarmUp && openedMs < assumedWarmUp.atMs) {
        upstream.warmUpUntilMs = assumedWarmUp.beforeMs;
      }
      upstream.lastReceivedMs = clock.now();
      upstream.fleetLastReceivedMs = upstream.lastReceivedMs;
      upstream.consecutiveFailures = 0;
      upstream.assumedWarmUp = undefined;
      upstream.silentUntilMs = 0;
    },
    onPeerReceived(upstream) {
      upstream.fleetLastReceivedMs = clock.now();
      upstream.silentUntilMs = 0;
    },
    failureShare: (upstream) =>
      upstream.silentUntilMs > clock.now() ? 1 : recentFailureShare(upstream),
  };
}
