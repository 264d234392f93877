import type { Clock } from "@rosemarytiller/shared";
import type { ConnectionPool } from "./create_connection_pool.ts";
import type { ContainedRequest, Containment } from "./create_containment.ts";
import type { Reach } from "./create_reach.ts";
import type { Registry, Upstream } from "./create_registry.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** A call without a complete response that may have crashed its upstream. */
export interface SuspectedCrash {
  request: ContainedRequest;
  /** Identifier of the crash, the same on all VMs. */
  crash: string;
  /** Crashes of the request that were known when the call was sent. */
  earlier: readonly string[];
}

/** Distinguishes crashes of upstreams from other broken calls. */
export interface CrashDetector {
  /**
   * Records a broken call. It counts as a crash if the upstream accepts no
   * connection shortly after, which is tried at once.
   */
  onCallBroken(upstream: Upstream, suspect: SuspectedCrash): void;
  /** Records a failure to connect; recent broken calls count as crashes. */
  onUnreachable(upstream: Upstream): void;
  /**
   * Resolves once it is known whether the broken calls of an upstream count as
   * crashes, or after `MAX_DECISION_MS`.
   */
  waitForDecision(upstream: Upstream): Promise<void>;
}

/** Dependencies of the crash detector. */
export interface CrashDetectorOptions {
  clock: Clock;
  log: EventLog;
  containment: Pick<Containment, "onCrash">;
  registry: Pick<Registry, "onConnectFailed">;
  pool: Pick<ConnectionPool, "probe">;
  reach: Pick<Reach, "hasReachedOthers" | "probeOthers" | "onConnectFailed">;
  /** Whether upstreams of a service fall over without a harmful request. */
  isBrittle(service: string): boolean;
}

/** Time from a broken call within which an upstream must be down, in ms. */
const CRASH_WINDOW_MS = 2000;
/**
 * Time from a broken call to the probe, in milliseconds: a process that ends
 * may close its port after its connections.
 */
const PROBE_DELAY_MS = 20;

/** Longest wait for the result of a probe, in milliseconds. */
const MAX_DECISION_MS = 100;

/**
 * Time within which all connections of lost links break off, in milliseconds;
 * bytes that arrive later show that the links work.
 */
const LINK_LOSS_MS = 10;

/**
 * Creates the detector. Confirmed crashes go to the containment and the log.
 */
export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const { clock, log, containment, registry, pool, reach, isBrittle } = options;
  const suspects = new Map<Upstream, (SuspectedCrash & { atMs: number })[]>();
  const probed = new Set<Upstream>();
  /** Called once an upstream's broken calls are decided on. */
  const waiting = new Map<Upstream, Set<() => void>>();

  function recent(upstream: Upstream) {
    const sinceMs = clock.now() - CRASH_WINDOW_MS;
    return (suspects.get(upstream) ?? []).filter(({ atMs }) => atMs >= sinceMs);
  }

  /**
   * Reports the broken calls as crashes, unless something else explains them: a
   * brittle service falls over by the number of its calls, and a VM that reaches
   * no other upstream has lost its links.
   */
  function confirm(upstream: Upstream): void {
    const lastMs = recent(upstream).at(-1)?.atMs;
    if (lastMs === undefined) return;
    if (isBrittle(upstream.entry.service)) {
      settle(upstream);
      return;
    }
    if (reach.hasReachedOthers(upstream, lastMs + LINK_LOSS_MS)) {
      report(upstream);
      return;
    }
    void reach.probeOthers(upstream).then((areReached) => {
      if (areReached) report(upstream);
      else settle(upstream);
    });
  }

  /** Notes that nothing is suspected of an upstream any more. */
  function settle(upstream: Upstream): void {
    suspects.delete(upstream);
    for (const resolve of waiting.get(upstream) ?? []) resolve();
    waiting.delete(upstream);
  }

  function report(upstream: Upstream): void {
    for (const { request, crash, earlier } of recent(upstream)) {
      log.warn(LogEvent.RequestCrashedUpstream, {
        id: request.id,
        fingerprints: request.fingerprints,
        crash,
        earlier,
        upstream: upstream.entry.id,
      });
      containment.onCrash(crash, request, earlier);
    }
    settle(upstream);
  }

  /** Checks whether the upstream is up; one probe at a time for each. */
  function probe(upstream: Upstream): void {
    if (probed.has(upstream)) return;
    probed.add(upstream);
    clock.after(PROBE_DELAY_MS, async () => {
      const startedMs = clock.now();
      const isUp = await pool.probe(upstream.entry);
      probed.delete(upstream);
      if (!isUp) {
        registry.onConnectFailed(upstream, "no connection after a broken call");
        reach.onConnectFailed(upstream);
        confirm(upstream);
        return;
      }
      const later = recent(upstream).filter(({ atMs }) => atMs > startedMs);
      settle(upstream);
      if (later.length === 0) return;
      suspects.set(upstream, later);
      probe(upstream);
    });
  }

  return {
    onCallBroken(upstream, suspect) {
      const nowMs = clock.now();
      log.warn(LogEvent.CrashSuspected, {
        id: suspect.request.id,
        fingerprints: suspect.request.fingerprints,
        crash: suspect.crash,
        upstream: upstream.entry.id,
      });
      suspects.set(upstream, [...recent(upstream), {
        ...suspect,
        atMs: nowMs,
      }]);
      if (upstream.downUntilMs > nowMs) confirm(upstream);
      else probe(upstream);
    },
    onUnreachable: confirm,
    waitForDecision(upstream) {
      if (!suspects.has(upstream)) return Promise.resolve();
      return new Promise((resolve) => {
        const others = waiting.get(upstream);
        if (others) others.add(resolve);
        else waiting.set(upstream, new Set([resolve]));
        clock.after(MAX_DECISION_MS, () => {
          waiting.get(upstream)?.delete(resolve);
          resolve();
        });
      });
    },
  };
}
