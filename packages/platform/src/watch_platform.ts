import { type Clock } from "@rosemarytiller/shared";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";
import type { FleetView } from "./create_fleet_view.ts";
import type { PlatformPort } from "./platform_port.ts";
import { listLiveEntryVms } from "./rank_leader_candidates.ts";
import { watchReplica } from "./watch_replica.ts";

/** VMs of each data centre that watch the platform all the time. */
export const WATCHERS_PER_DATA_CENTRE = 2;
/**
 * Time without a platform response, here or at a peer, after which a process
 * that is not a watcher reads the platform itself. Each process multiplies it
 * by a random factor from 1 to 2, so that they do not start together.
 */
export const PLATFORM_IDLE_TIMEOUT_MS = 15_000;

/** Maximum retry delay of a watcher before jitter, a factor of 0.5 to 1.5. */
export const WATCHER_RETRY_MAX_MS = 2000;
/** The same for processes that are not watchers; longer, as they are many. */
export const NON_WATCHER_RETRY_MAX_MS = 8000;

/** Options of `watchPlatform`. */
export interface WatchPlatformOptions {
  platform: PlatformPort;
  clock: Clock;
  /** Name of the VM of this process. */
  vm: string;
  /** Data centre of that VM. */
  dataCentre: string;
  /** Returns a random number, 0 inclusive to 1 exclusive, for jitter. */
  random?: () => number;
}

/**
 * Watches every replica of the platform until stopped. A few VMs of each data
 * centre watch all the time. The others receive changes from their peers; they
 * watch only while they have no data or learn of no platform response for
 * `PLATFORM_IDLE_TIMEOUT_MS`. `isWatching` returns whether this process should
 * watch now, whether or not it was stopped. `stop` lets a running read end.
 */
export function watchPlatform(
  view: FleetView,
  options: WatchPlatformOptions,
): { stop(): void; isWatching(): boolean } {
  const { platform, clock, random = Math.random } = options;
  const idleTimeoutMs = PLATFORM_IDLE_TIMEOUT_MS * (1 + random());
  const startedMs = clock.now();
  let stopped = false;
  function shouldWatch(): boolean {
    if (!view.hasData() || isWatcher(view, options)) return true;
    // A process that has just started gives its peers time to report a response.
    const idleMs = Math.min(view.platformAgeMs(), clock.now() - startedMs);
    return idleMs > idleTimeoutMs;
  }
  for (const replica of platform.replicas) {
    watchReplica(view, replica, {
      clock,
      shouldWatch,
      isStopped: () => stopped,
      retryMaxMs: () =>
        isWatcher(view, options)
          ? WATCHER_RETRY_MAX_MS
          : NON_WATCHER_RETRY_MAX_MS,
      random,
    });
  }
  return { stop: () => void (stopped = true), isWatching: shouldWatch };
}

/** Whether a VM is one of the watchers of its data centre by the VM list. */
export function isWatcher(
  view: FleetView,
  options: { vm: string; dataCentre: string },
): boolean {
  const names: string[] = [];
  for (const vm of listLiveEntryVms(view.vms())) {
    if (vm.dataCentre === options.dataCentre) names.push(vm.name);
  }
  return rankByRendezvous("watchers", names)
    .slice(0, WATCHERS_PER_DATA_CENTRE)
    .includes(options.vm);
}
