import {
  createEngineModel,
  createSpeedEstimate,
  type EngineModel,
  type SpeedEstimate,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { ServiceDefinition, UpstreamEntry } from "./ports.ts";

/** An upstream with what is believed of it. */
export interface Upstream {
  entry: UpstreamEntry;
  model: EngineModel;
  /** Time until which it takes only its cold rate. */
  coldUntilMs: number;
  /** Time until which nothing is sent there after it broke. */
  downUntilMs: number;
  /** Consecutive failures to reach it. */
  brokenCount: number;
  /** Share of recent calls that it failed, as of `failureAtMs`. */
  failureShare: number;
  failureAtMs: number;
  /** Time at which bytes last came from it to this VM. */
  heardMs: number;
  /** Time at which a VM, this one or another, last heard from it. */
  seenMs: number;
  /** Time until which it is kept though its entry lapsed. */
  lapsedUntilMs: number | undefined;
  /** Calls sent within the last second, by all VMs. */
  recentSends: number[];
  /** Time from which this VM may send its next call to it while cold. */
  coldTurnMs: number;
  /** Time between two such calls, in milliseconds. */
  coldGapMs: number;
}

/** The upstreams that are known. */
export interface Registry {
  set(id: string, entry: UpstreamEntry): void;
  /** Removes an entry; it is kept for a while when entries may lapse. */
  remove(id: string, keepMs: number): void;
  find(id: string): Upstream | undefined;
  /** Upstreams of a service that may take new calls now. */
  eligible(service: string): Upstream[];
  all(): Iterable<Upstream>;
  setDataCentre(dataCentre: string, isOut: boolean): void;
  /** Takes over services; known upstreams keep what is believed of them. */
  setServices(find: (name: string) => ServiceDefinition | undefined): void;
  speedOf(service: string): SpeedEstimate;
  /** The upstream could not be reached: it may come back cold. */
  onBroken(upstream: Upstream, reason: string): void;
  /** The upstream says nothing, while it may only be slow. */
  onSilent(upstream: Upstream): void;
  /** A call ended; `weight` is 0 to 1. */
  onCallEnd(upstream: Upstream, failed: boolean, weight: number): void;
  onHeard(upstream: Upstream): void;
  /** Another VM heard from it. */
  onSeen(upstream: Upstream): void;
  /** Recent failure share, which fades. */
  failureShare(upstream: Upstream): number;
  onSent(upstream: Upstream, isOwn: boolean): void;
  /** Whether a cold upstream may take one more call from this one of `vms`. */
  admitsCold(upstream: Upstream, vms: number): boolean;
}

/** First time for which a broken upstream is left alone, in ms. */
const DOWN_MS = 250;
/** Longest time for which a broken upstream is left alone, in ms. */
const MAX_DOWN_MS = 1500;
/** Time in which a failure share fades to a half, in ms. */
const FAILURE_HALF_LIFE_MS = 2500;
/** Weight of one call in the failure share. */
const FAILURE_GAIN = 0.15;
/** Span over which the cold rate is counted, in ms. */
const COLD_SPAN_MS = 1000;
/** VMs assumed by one that knows no other yet: a cold share stays small. */
const ASSUMED_VMS = 16;

/** Creates an empty registry. */
export function createRegistry(
  options: { clock: Clock; log: EventLog },
): Registry {
  const { clock, log } = options;
  const upstreams = new Map<string, Upstream>();
  const outDataCentres = new Set<string>();
  const speeds = new Map<string, SpeedEstimate>();
  let findService: (name: string) => ServiceDefinition | undefined = () =>
    undefined;

  function speedOf(service: string): SpeedEstimate {
    let speed = speeds.get(service);
    if (!speed) speeds.set(service, speed = createSpeedEstimate());
    return speed;
  }

  function create(entry: UpstreamEntry): Upstream {
    const engine = findService(entry.service)?.engine;
    const size = {
      slots: entry.slots,
      memoryTokens: engine?.memoryTokens ?? Infinity,
    };
    return {
      entry,
      model: createEngineModel(size, speedOf(entry.service).speed),
      coldUntilMs: clock.now() + entry.coldMs,
      downUntilMs: 0,
      brokenCount: 0,
      failureShare: 0,
      failureAtMs: 0,
      heardMs: 0,
      seenMs: 0,
      lapsedUntilMs: undefined,
      recentSends: [],
      coldTurnMs: 0,
      coldGapMs: COLD_SPAN_MS,
    };
  }

  function failureShare(upstream: Upstream): number {
    const agedMs = clock.now() - upstream.failureAtMs;
    return upstream.failureShare * 2 ** (-agedMs / FAILURE_HALF_LIFE_MS);
  }

  /** Keeps calls away for a while; false if that was so already. */
  function leaveAlone(upstream: Upstream, reason: string): boolean {
    const nowMs = clock.now();
    if (upstream.downUntilMs > nowMs) return false;
    upstream.brokenCount++;
    const downMs = Math.min(
      MAX_DOWN_MS,
      DOWN_MS * 2 ** Math.min(8, upstream.brokenCount - 1),
    );
    upstream.downUntilMs = nowMs + downMs;
    log.warn(LogEvent.UpstreamDown, {
      upstream: upstream.entry.id,
      reason,
      broken: upstream.brokenCount,
      quietMs: Math.round(nowMs - upstream.seenMs),
      downMs,
    });
    return true;
  }

  function countRecent(times: number[]): number {
    const since = clock.now() - COLD_SPAN_MS;
    while (times.length > 0 && times[0]! <= since) times.shift();
    return times.length;
  }

  return {
    set(id, entry) {
      const held = upstreams.get(id);
      const isSameRun = held && held.entry.bornMs === entry.bornMs &&
        held.entry.service === entry.service &&
        held.entry.host === entry.host && held.entry.port === entry.port;
      if (!isSameRun) {
        upstreams.set(id, create(entry));
      } else {
        const turnedCold = entry.coldMs > 0;
        held.entry = entry;
        held.lapsedUntilMs = undefined;
        if (turnedCold) {
          held.coldUntilMs = Math.max(
            held.coldUntilMs,
            clock.now() + entry.coldMs,
          );
        }
      }
      log.info(LogEvent.UpstreamChanged, {
        upstream: id,
        service: entry.service,
        dataCentre: entry.dataCentre,
        draining: entry.isDraining,
        coldMs: entry.coldMs,
        newRun: !isSameRun,
      });
    },
    remove(id, keepMs) {
      const held = upstreams.get(id);
      if (!held) return;
      if (keepMs > 0) held.lapsedUntilMs = clock.now() + keepMs;
      else upstreams.delete(id);
      log.info(LogEvent.UpstreamChanged, {
        upstream: id,
        removed: true,
        keepMs,
      });
    },
    find: (id) => upstreams.get(id),
    eligible(service) {
      const nowMs = clock.now();
      const list: Upstream[] = [];
      for (const [id, upstream] of upstreams) {
        const { entry, lapsedUntilMs } = upstream;
        if (lapsedUntilMs !== undefined && lapsedUntilMs <= nowMs) {
          upstreams.delete(id);
          continue;
        }
        if (entry.service !== service || entry.isDraining) continue;
        if (outDataCentres.has(entry.dataCentre)) continue;
        if (upstream.downUntilMs > nowMs) continue;
        list.push(upstream);
      }
      return list;
    },
    all: () => upstreams.values(),
    setDataCentre(dataCentre, isOut) {
      const wasOut = outDataCentres.has(dataCentre);
      if (isOut) outDataCentres.add(dataCentre);
      else outDataCentres.delete(dataCentre);
      if (wasOut && !isOut) {
        // Upstreams that took nothing for a while may have turned cold.
        for (const upstream of upstreams.values()) {
          if (upstream.entry.dataCentre !== dataCentre) continue;
          const coldMs = findService(upstream.entry.service)?.coldMs ?? 0;
          upstream.coldUntilMs = clock.now() + coldMs;
        }
      }
      log.info(LogEvent.DataCentreChanged, { dataCentre, out: isOut });
    },
    setServices(find) {
      findService = find;
    },
    speedOf,
    onBroken(upstream, reason) {
      if (!leaveAlone(upstream, reason)) return;
      const coldMs = findService(upstream.entry.service)?.coldMs ?? 0;
      // It may be a new run that has not registered yet, and that is cold.
      upstream.coldUntilMs = Math.max(
        upstream.coldUntilMs,
        clock.now() + coldMs,
      );
    },
    onSilent: (upstream) => void leaveAlone(upstream, "silent"),
    onCallEnd(upstream, failed, weight) {
      const gain = FAILURE_GAIN * weight;
      const share = failureShare(upstream);
      upstream.failureShare = share + gain * ((failed ? 1 : 0) - share);
      upstream.failureAtMs = clock.now();
    },
    onHeard(upstream) {
      upstream.heardMs = clock.now();
      upstream.seenMs = upstream.heardMs;
      upstream.brokenCount = 0;
    },
    onSeen(upstream) {
      upstream.seenMs = clock.now();
    },
    failureShare,
    onSent(upstream, isOwn) {
      const nowMs = clock.now();
      if (upstream.coldUntilMs < nowMs) {
        upstream.recentSends.length = 0;
        upstream.coldTurnMs = 0;
        return;
      }
      upstream.recentSends.push(nowMs);
      if (isOwn) upstream.coldTurnMs = nowMs + upstream.coldGapMs;
    },
    admitsCold(upstream, vms) {
      const nowMs = clock.now();
      if (upstream.coldUntilMs <= nowMs) return true;
      const perSecond = findService(upstream.entry.service)?.coldPerSecond ?? 0;
      if (perSecond <= 0) return true;
      if (countRecent(upstream.recentSends) >= perSecond) return false;
      const sharers = vms > 1 ? vms : ASSUMED_VMS;
      upstream.coldGapMs = COLD_SPAN_MS * sharers / perSecond;
      // The first turns of all VMs are spread over the gap.
      upstream.coldTurnMs ||= nowMs + Math.random() * upstream.coldGapMs;
      return nowMs >= upstream.coldTurnMs;
    },
  };
}
