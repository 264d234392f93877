import { type Clock } from "@rosemarytiller/shared";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";
import type { FleetView } from "./create_fleet_view.ts";
import type { PlatformPort } from "./platform_port.ts";
import { listEntryVms } from "./resolve_leader.ts";
import { watchReplica } from "./watch_replica.ts";

/** VMs of each data centre that hold watches. */
export const WATCHERS_PER_DATA_CENTRE = 2;
/** Age of the fleet's news after which any process watches for itself. */
export const PLATFORM_SILENCE_MS = 15_000;

/** Longest delay before one of the watchers tries a failed watch again. */
export const WATCHER_RETRY_MAX_MS = 2000;
/** The same for all other processes, which are many. */
export const OTHER_RETRY_MAX_MS = 8000;

/** What a watch of the platform needs. */
export interface WatchPlatformOptions {
  platform: PlatformPort;
  clock: Clock;
  /** Name and data centre of the own VM. */
  vm: string;
  dataCentre: string;
  /** Random number from 0 to 1, for jitter. */
  random?: () => number;
}

/**
 * Watches every replica until stopped. A few VMs of each data centre hold
 * watches; the others live on what peers hand on, and watch for themselves
 * when no news has come for a time.
 */
export function watchPlatform(
  view: FleetView,
  options: WatchPlatformOptions,
): { stop(): void; isWatching(): boolean } {
  const { platform, clock, random = Math.random } = options;
  const silenceMs = PLATFORM_SILENCE_MS * (1 + random());
  let stopped = false;
  function isWanted(): boolean {
    if (!view.hasData() || isWatcher(view, options)) return true;
    return view.platformAgeMs() > silenceMs;
  }
  for (const replica of platform.replicas) {
    watchReplica(view, replica, {
      clock,
      isWanted,
      isStopped: () => stopped,
      retryMaxMs: () =>
        isWatcher(view, options) ? WATCHER_RETRY_MAX_MS : OTHER_RETRY_MAX_MS,
      random,
    });
  }
  return { stop: () => void (stopped = true), isWatching: isWanted };
}

/** Whether a VM is one of the watchers of its data centre. */
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
