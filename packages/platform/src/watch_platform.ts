import { type Clock } from "@rosemarytiller/shared";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";
import type { FleetView } from "./create_fleet_view.ts";
import type { PlatformPort } from "./platform_port.ts";
import { listEntryVms } from "./rank_leaders.ts";
import { watchReplica } from "./watch_replica.ts";

/** VMs of each data centre that watch the platform all the time. */
export const WATCHERS_PER_DATA_CENTRE = 2;
/**
 * Minimum time without a platform response, here or at a peer, after which any
 * process watches the platform itself; up to doubled at random.
 */
export const PLATFORM_IDLE_TIMEOUT_MS = 15_000;

/** Maximum delay before a watcher retries a failed read. */
export const WATCHER_RETRY_MAX_MS = 2000;
/** Maximum delay before another process does; longer, as there are many. */
export const NON_WATCHER_RETRY_MAX_MS = 8000;

/** Options of `watchPlatform`. */
export interface WatchPlatformOptions {
  platform: PlatformPort;
  clock: Clock;
  /** Name of the VM of this process. */
  vm: string;
  /** Data centre of that VM. */
  dataCentre: string;
  /** Random number from 0 to 1, for jitter. */
  random?: () => number;
}

/**
 * Watches every replica of the platform until stopped. A few VMs of each data
 * centre watch all the time. The others receive changes from their peers; they
 * watch only while they have no data or learn of no platform response for
 * `PLATFORM_IDLE_TIMEOUT_MS`. `isWatching` returns whether this process watches
 * now.
 */
export function watchPlatform(
  view: FleetView,
  options: WatchPlatformOptions,
): { stop(): void; isWatching(): boolean } {
  const { platform, clock, random = Math.random } = options;
  const idleTimeoutMs = PLATFORM_IDLE_TIMEOUT_MS * (1 + random());
  let stopped = false;
  function shouldWatch(): boolean {
    if (!view.hasData() || isWatcher(view, options)) return true;
    return view.platformAgeMs() > idleTimeoutMs;
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
  for (const vm of listEntryVms(view.vms())) {
    if (vm.dataCentre === options.dataCentre) names.push(vm.name);
  }
  return rankByRendezvous("watchers", names)
    .slice(0, WATCHERS_PER_DATA_CENTRE)
    .includes(options.vm);
}
