import type { Clock } from "@rosemarytiller/shared";
import type { ConnectionPool } from "./create_connection_pool.ts";
import type { Registry, Upstream } from "./create_registry.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/**
 * Which services this VM can reach. A VM that has lost its links to the
 * upstreams of a service must not take them for crashed, and can have other VMs
 * call them.
 */
export interface Reach {
  /** A call was written to the upstream. */
  onSent(upstream: Upstream): void;
  /** Bytes arrived from the upstream. */
  onReceived(upstream: Upstream): void;
  /** No connection to the upstream could be established. */
  onConnectFailed(upstream: Upstream): void;
  /**
   * Whether this VM has lost its links to half of the service's upstreams or
   * more, while these respond to other VMs, or reaches none of the service while
   * any of them does.
   */
  isLost(service: string): boolean;
  /**
   * Whether this VM failed to connect to the upstream and has received nothing
   * from it since, while other VMs have.
   */
  isLostUpstream(upstream: Upstream): boolean;
  /**
   * Whether a call that was sent to the upstream at `sentMs`, a monotonic time in
   * ms, probably did not arrive: this VM has received nothing from the upstream
   * since and has lost its links to it.
   */
  isCallLost(upstream: Upstream, sentMs: number): boolean;
  /** Whether this VM has lost its links to the service, or its upstreams are down. */
  mayBeLost(service: string): boolean;
  /** Whether this VM has failed to connect to half of the upstreams or more. */
  mayBeMostlyLost(service: string): boolean;
  lostServices(): string[];
  /** Whether another upstream than this one was reached since `sinceMs`. */
  hasReachedOthers(upstream: Upstream, sinceMs: number): boolean;
  /**
   * Resolves with whether another upstream accepts a connection now, and with
   * true if there is no other one.
   */
  probeOthers(upstream: Upstream): Promise<boolean>;
  /** Probes upstreams of services that are silent or lost; call it regularly. */
  update(): void;
}

/** Dependencies of the reach. */
export interface ReachOptions {
  clock: Clock;
  log: EventLog;
  registry: Pick<Registry, "inService" | "all" | "onLinkRegained">;
  pool: Pick<ConnectionPool, "probe">;
  /** Resolves with whether an upstream responds to a health request. */
  isAnswering(upstream: Upstream): Promise<boolean>;
  /** Sends the lost services to the other VMs. */
  publish(): void;
}

/**
 * Upstreams that must refuse connections, without bytes from any other one of
 * the service, until it counts as lost; all of them if there are fewer.
 */
const MIN_FAILED_UPSTREAMS = 3;
/**
 * Time without bytes from a service with calls in progress after which its
 * upstreams are probed, in milliseconds.
 */
const MAX_SILENCE_MS = 400;
/**
 * Time without bytes from a service after which upstreams that accept
 * connections and do not answer count as lost, in milliseconds.
 */
const SILENT_LOSS_MS = 1000;
/**
 * Time after a failure to connect from which other VMs' reports of responses
 * count, in milliseconds: what arrives earlier may be from before a crash.
 */
const REPORT_DELAY_MS = 50;
/** Time between the probes of a silent or lost service, in milliseconds. */
const PROBE_INTERVAL_MS = 200;
/**
 * The same after an upstream has accepted a connection and said nothing, in
 * milliseconds: each further probe costs a connection and a health request.
 */
const SILENT_PROBE_INTERVAL_MS = 1000;

interface ServiceReach {
  /** Upstreams that failed to connect since one of the service was reached. */
  failed: Set<string>;
  /** Whether none of its upstreams is reached. */
  isAllLost: boolean;
  /** Time since which `isAllLost` has its value. */
  changedMs: number;
  /** Start of the first call since one of the service was reached. */
  silentSinceMs: number | undefined;
  /** Time before which no upstream is probed again. */
  nextProbeMs: number;
}

/** Creates the reach; every service counts as reachable at first. */
export function createReach(options: ReachOptions): Reach {
  const { clock, log, registry, pool, isAnswering, publish } = options;
  const services = new Map<string, ServiceReach>();
  const reachedMs = new WeakMap<Upstream, number>();
  /** First failure to connect since the upstream was reached. */
  const unreachedMs = new WeakMap<Upstream, number>();

  function reachOf(service: string): ServiceReach {
    let reach = services.get(service);
    if (!reach) {
      reach = {
        failed: new Set(),
        isAllLost: false,
        changedMs: -Infinity,
        silentSinceMs: undefined,
        nextProbeMs: -Infinity,
      };
      services.set(service, reach);
    }
    return reach;
  }

  function isLostUpstream(upstream: Upstream): boolean {
    const sinceMs = unreachedMs.get(upstream) ?? Infinity;
    return upstream.fleetLastReceivedMs > sinceMs + REPORT_DELAY_MS;
  }

  function isLost(service: string): boolean {
    const list = registry.inService(service);
    const lost = list.filter(isLostUpstream).length;
    const reach = services.get(service);
    if (reach?.isAllLost !== true) return lost > 0 && lost * 2 >= list.length;
    // The upstreams that failed here need not be those that other VMs use.
    return lost > 0 ||
      isSilentHereOnly(service, reach.changedMs + REPORT_DELAY_MS);
  }

  function isCallLost(upstream: Upstream, sentMs: number): boolean {
    if ((reachedMs.get(upstream) ?? -Infinity) >= sentMs) return false;
    if (isLostUpstream(upstream)) return true;
    // `isLost` would be too strict: lost calls may take all places, so that the
    // other VMs receive nothing from now on.
    const { service } = upstream.entry;
    return services.get(service)?.isAllLost === true &&
      isSilentHereOnly(service, sentMs);
  }

  function setAllLost(service: string, isAllLost: boolean): void {
    const reach = reachOf(service);
    if (reach.isAllLost === isAllLost) return;
    reach.isAllLost = isAllLost;
    reach.changedMs = clock.now();
    const failed = [...reach.failed];
    log.warn(LogEvent.ServiceReach, { service, lost: isAllLost, failed });
    publish();
  }

  function onReceived(upstream: Upstream): void {
    const reach = reachOf(upstream.entry.service);
    reachedMs.set(upstream, clock.now());
    unreachedMs.delete(upstream);
    reach.silentSinceMs = undefined;
    if (reach.isAllLost) setAllLost(upstream.entry.service, false);
    reach.failed.clear();
  }

  function onConnectFailed(upstream: Upstream): void {
    const { entry } = upstream;
    if (!unreachedMs.has(upstream)) unreachedMs.set(upstream, clock.now());
    const reach = reachOf(entry.service);
    reach.failed.add(entry.id);
    const known = registry.inService(entry.service).length;
    if (reach.failed.size < Math.min(MIN_FAILED_UPSTREAMS, known)) return;
    setAllLost(entry.service, true);
  }

  /** An upstream that is busy may not answer for a while; a service does. */
  function onUnanswered(upstream: Upstream): void {
    const reach = reachOf(upstream.entry.service);
    const { silentSinceMs = Infinity } = reach;
    const isSilent = clock.now() - silentSinceMs >= SILENT_LOSS_MS;
    if (!reach.isAllLost && !isSilent) return;
    reach.nextProbeMs = clock.now() + SILENT_PROBE_INTERVAL_MS;
    onConnectFailed(upstream);
  }

  /**
   * Connects and sends a health request: a connection may be accepted although
   * nothing arrives, as by a middlebox or the kernel of a stopped host.
   */
  async function probe(upstream: Upstream): Promise<boolean> {
    log.info(LogEvent.UpstreamProbed, { upstream: upstream.entry.id });
    if (!await pool.probe(upstream.entry)) {
      onConnectFailed(upstream);
      return false;
    }
    if (!await isAnswering(upstream)) {
      onUnanswered(upstream);
      return false;
    }
    const { service } = upstream.entry;
    const wasLost = reachOf(service).isAllLost || isLostUpstream(upstream);
    if (wasLost) onLinksRegained(service);
    onReceived(upstream);
    return true;
  }

  /** One lost upstream is reached again: the others are taken for reachable. */
  function onLinksRegained(service: string): void {
    for (const upstream of registry.inService(service)) {
      if (!isLostUpstream(upstream)) continue;
      registry.onLinkRegained(upstream);
      unreachedMs.delete(upstream);
    }
  }

  /** Whether other VMs get responses while this one gets none. */
  function isSilentHereOnly(service: string, sinceMs: number): boolean {
    return registry.inService(service).some(({ fleetLastReceivedMs }) =>
      fleetLastReceivedMs > sinceMs
    );
  }

  /** Upstreams to probe: those without a connection, or some of a silent service. */
  function listProbes(service: string, reach: ServiceReach): Upstream[] {
    const list = registry.inService(service);
    if (reach.isAllLost) return pickRandom(list, 1);
    if (isLost(service)) return pickRandom(list.filter(isLostUpstream), 1);
    const { silentSinceMs = Infinity } = reach;
    const isSilent = clock.now() - silentSinceMs >= MAX_SILENCE_MS &&
      isSilentHereOnly(service, silentSinceMs);
    return isSilent ? pickRandom(list, MIN_FAILED_UPSTREAMS) : [];
  }

  function updateService(service: string, reach: ServiceReach): void {
    const nowMs = clock.now();
    if (nowMs < reach.nextProbeMs) return;
    const upstreams = listProbes(service, reach);
    if (upstreams.length === 0) return;
    reach.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    for (const upstream of upstreams) void probe(upstream);
  }

  return {
    onSent({ entry }) {
      reachOf(entry.service).silentSinceMs ??= clock.now();
    },
    onReceived,
    onConnectFailed,
    isLost,
    isLostUpstream,
    isCallLost,
    mayBeLost: (service) =>
      registry.inService(service).some((upstream) => unreachedMs.has(upstream)),
    mayBeMostlyLost(service) {
      const list = registry.inService(service);
      const unreached = list.filter((upstream) => unreachedMs.has(upstream));
      return unreached.length > 0 && unreached.length * 2 >= list.length;
    },
    lostServices: () => [...services.keys()].filter(isLost),
    hasReachedOthers(upstream, sinceMs) {
      for (const other of registry.all()) {
        if (other === upstream) continue;
        if ((reachedMs.get(other) ?? -Infinity) >= sinceMs) return true;
      }
      return false;
    },
    async probeOthers(upstream) {
      const others = [...registry.all()].filter((other) => other !== upstream);
      if (others.length === 0) return true;
      const probes = pickRandom(others, MIN_FAILED_UPSTREAMS).map(probe);
      return (await Promise.all(probes)).includes(true);
    },
    update() {
      for (const [service, reach] of services) updateService(service, reach);
    },
  };
}

/** Picks up to `count` different items. */
function pickRandom<T>(items: readonly T[], count: number): T[] {
  const rest = [...items];
  const picked: T[] = [];
  while (picked.length < count && rest.length > 0) {
    const at = Math.floor(Math.random() * rest.length);
    picked.push(...rest.splice(at, 1));
  }
  return picked;
}
