import { LoadEventKind, type PeerNetwork } from "@rosemarytiller/peers";
import type { Quarantine } from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Upstream } from "./create_registry.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** A broken call of which it is not known yet whether it broke the upstream. */
export interface SuspectedCrash {
  fingerprint: string;
  /** Identifier of the crash, unique in the fleet. */
  crash: string;
}

/** Tells broken calls from crashes of their upstreams. */
export interface CrashWatch {
  /** A call broke; it counts as a crash once the upstream proves to be down. */
  onBroken(upstream: Upstream, suspect: SuspectedCrash): void;
  /** The upstream could not be reached. */
  onUnreachable(upstream: Upstream): void;
}

/** What the watch needs. */
export interface CrashWatchOptions {
  clock: Clock;
  log: EventLog;
  quarantine: Quarantine;
  network: Pick<PeerNetwork, "tell">;
}

/** Time within which an upstream that broke proves to be down, in ms. */
const CRASH_SPAN_MS = 2000;

/** Creates a watch that suspects nothing. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { clock, log, quarantine, network } = options;
  const suspects = new Map<Upstream, (SuspectedCrash & { atMs: number })[]>();

  function recent(upstream: Upstream) {
    const sinceMs = clock.now() - CRASH_SPAN_MS;
    return (suspects.get(upstream) ?? []).filter(({ atMs }) => atMs >= sinceMs);
  }

  function confirm(upstream: Upstream): void {
    for (const { fingerprint, crash } of recent(upstream)) {
      quarantine.onCrash(crash, [fingerprint]);
      network.tell({ kind: LoadEventKind.Crashed, fingerprint, crash });
      log.warn(LogEvent.RequestCrashedUpstream, {
        fingerprint,
        crash,
        upstream: upstream.entry.id,
        state: quarantine.stateOf(fingerprint),
      });
    }
    suspects.delete(upstream);
  }

  return {
    onBroken(upstream, suspect) {
      const nowMs = clock.now();
      suspects.set(upstream, [...recent(upstream), {
        ...suspect,
        atMs: nowMs,
      }]);
      if (upstream.downUntilMs > nowMs) confirm(upstream);
    },
    onUnreachable: confirm,
  };
}
