import { handleAdminRequest } from "@rosemarytiller/admin";
import { createClaimHolder } from "@rosemarytiller/claims";
import {
  handleMessage,
  type Link,
  type LinkIdentity,
  type MessageHandlers,
  MessageKind,
  serveLinks,
} from "@rosemarytiller/link";
import { createMetrics } from "@rosemarytiller/metrics";
import {
  createFleetExchange,
  createFleetView,
  createPeerLinks,
  FleetChangeKind,
  listLiveEntryVms,
  type PlatformPort,
  recordFleetChanges,
  watchPlatform,
} from "@rosemarytiller/platform";
import {
  createQuarantine,
  type FingerprintRecord,
} from "@rosemarytiller/policy";
import type { Settings } from "@rosemarytiller/settings";
import {
  type Clock,
  EventKind,
  LogPart,
  repeat,
  Role,
  sleep,
  useLog,
} from "@rosemarytiller/shared";
import { createTimeline } from "@rosemarytiller/timeline";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createLeadership } from "./create_leadership.ts";
import { createPool, type Pool } from "./create_pool.ts";
import { recordPoolGauges } from "./record_pool_gauges.ts";
import {
  createHeartbeats,
  HEARTBEAT_INTERVAL_MS,
} from "./create_heartbeats.ts";
import { addLeaseStatus } from "./add_lease_status.ts";
import { pollLoad } from "./poll_load.ts";
import { serveClaims } from "./serve_claims.ts";
import { syncClaims } from "./sync_claims.ts";

/** Milliseconds that a stopping broker leaves for its last messages. */
export const RELEASE_FLUSH_MS = 100;

/** A running broker. */
export interface Broker {
  /** `host:port` on which it serves links and the admin API. */
  readonly address: string;
  /** Releases all leases and stops serving; streams at the entries continue. */
  stop(): Promise<void>;
}

/** Settings, platform and clock of a broker. */
export interface BrokerOptions {
  settings: Settings;
  platform: PlatformPort;
  clock: Clock;
}

/** Starts a broker; resolves once it is listening. */
export async function createBroker(options: BrokerOptions): Promise<Broker> {
  const { settings, platform, clock } = options;
  const log = useLog(LogPart.Broker);
  const identity: LinkIdentity = {
    vm: settings.vm,
    role: Role.Broker,
    incarnation: String(clock.wall()),
    key: settings.linkKey,
  };
  const timeline = createTimeline({ process: `${settings.vm}/broker`, clock });
  const metrics = createMetrics(settings.statsd);
  const view = createFleetView({ clock });
  const pools = new Map<string, Pool>();
  const links = new Set<Link>();
  const leadership = createLeadership({
    view,
    clock,
    timeline,
    listLagMs: settings.listLagMs,
    onReleased: (link) => heartbeats.resendLeases(link),
  });
  const heartbeats = createHeartbeats(leadership, { clock, view });
  const exchange = createFleetExchange(view, { clock, role: Role.Broker });
  const peers = createPeerLinks(view, {
    identity,
    dataCentre: settings.dataCentre,
    seeds: settings.seeds,
    linkAddresses: settings.linkAddresses,
    clock,
    serve,
  });
  const quarantine = createQuarantine({
    now: clock.now,
    onChange: publishCrash,
  });
  const claims = createClaimHolder({
    vm: settings.vm,
    clock,
    horizonMs: settings.retryHorizonMs,
    listLagMs: settings.listLagMs,
  });
  const claimSync = syncClaims(claims, {
    identity,
    view,
    clock,
    linkAddresses: settings.linkAddresses,
  });
  let stopping = false;

  /**
   * Applies a changed crash record to the pools and sends it to all linked
   * brokers. Each broker sends a change once, so that all receive it.
   */
  function publishCrash(record: FingerprintRecord): void {
    const { fingerprint, crashes, cleared } = record;
    timeline.record(EventKind.Quarantined, "", {
      fingerprint,
      crashes: crashes.length - cleared.length,
    });
    for (const link of links) {
      if (link.role !== Role.Broker) continue;
      link.send({ kind: MessageKind.Quarantine, ...record });
    }
    for (const pool of pools.values()) pool.applyQuarantine(fingerprint);
  }

  function poolOf(name: string): Pool {
    let pool = pools.get(name);
    if (pool) return pool;
    pool = createPool(name, {
      view,
      clock,
      timeline,
      metrics,
      allowanceOf: (upstream, limit) =>
        leadership.allowanceOf(name, upstream, limit),
      stampOf: leadership.stampOf,
      onGranted: leadership.onGranted,
      quarantine,
    });
    pools.set(name, pool);
    return pool;
  }

  const handlers: MessageHandlers<Link> = {
    ...exchange.handlers,
    [MessageKind.PermitRequest](message, link) {
      leadership.onPermitRequest(message.pool, message.stamp, link);
      resumeRequests(link);
      heartbeats.sendWantedLeases(links);
      poolOf(message.pool).onPermitRequest(message, link);
    },
    [MessageKind.CancelPermitRequest]({ id }) {
      for (const pool of pools.values()) pool.cancel(id);
    },
    [MessageKind.PermitReturn](message) {
      // `message.pool` is empty if the entry has no record of it any more.
      const pool = message.pool || leadership.poolOf(message.permit);
      leadership.onDone(message.permit);
      if (pool) poolOf(pool).onDone(message);
    },
    [MessageKind.Quarantine]: (message) => quarantine.merge(message),
    [MessageKind.Backing](message, link) {
      const { adopted, ended } = leadership.onBacking(message, link);
      dropPermits(ended);
      for (const permit of adopted) poolOf(permit.pool).adopt(permit);
      resumeRequests(link);
      for (const pool of pools.values()) pool.processQueue();
    },
  };

  function dropPermits(permits: readonly string[]): void {
    for (const permit of permits) {
      for (const pool of pools.values()) pool.dropPermit(permit);
    }
  }

  /** Keeps permits from being granted to entries that would not use them. */
  function suspendUnreachable(): void {
    for (const link of links) {
      if (link.role !== Role.Entry || leadership.isReachable(link)) continue;
      for (const pool of pools.values()) pool.suspendLink(link);
    }
  }

  function resumeRequests(link: Link): void {
    for (const pool of pools.values()) pool.resumeLink(link);
  }

  async function serve(link: Link): Promise<void> {
    if (link.role === Role.Claimer) return await serveClaims(link, claims);
    links.add(link);
    if (link.role === Role.Broker) {
      for (const record of quarantine.records()) {
        link.send({ kind: MessageKind.Quarantine, ...record });
      }
    }
    exchange.addLink(link);
    leadership.openLink(link);
    heartbeats.sendTo(link);
    await link.messages.observe((message) => {
      handleMessage(handlers, message, link);
    });
    links.delete(link);
    exchange.removeLink(link);
    leadership.closeLink(link);
    heartbeats.dropLink(link);
    for (const pool of pools.values()) pool.dropLink(link);
  }

  recordFleetChanges(view, { timeline, metrics });
  void view.changes.observe(({ kind }) => {
    if (kind === FleetChangeKind.VmList) {
      peers.update();
      claims.setList(listLiveEntryVms(view.vms()).map((vm) => vm.name));
      exchange.expectPeers(peers.vms());
    }
    for (const pool of pools.values()) pool.onFleetChanged();
  });

  const server = createServer((request, response) =>
    handleAdminRequest(request, response, {
      isReady: () => view.isReady() && !stopping,
      status: () => ({
        process: `${settings.vm}/broker`,
        role: Role.Broker,
        dataCentre: settings.dataCentre,
        ready: view.isReady() && !stopping,
        stopping,
        revisions: view.revisions(),
        digests: view.digests(),
        listRevision: view.listRevision(),
        members: view.vms().map(({ name, state }) => ({ name, state })),
        broker: {
          watching: watch.isWatching(),
          peers: peers.vms(),
          pools: [...pools.values()].map((pool) =>
            addLeaseStatus(pool.status(), leadership)
          ),
        },
      }),
      timeline,
    })
  );
  const accepting = serveLinks(server, identity, { clock, serve });
  server.listen(settings.broker.port, settings.broker.host);
  await once(server, "listening");
  const { address, port } = server.address() as AddressInfo;
  const watch = watchPlatform(view, {
    platform,
    clock,
    vm: settings.vm,
    dataCentre: settings.dataCentre,
  });
  const loadPolling = pollLoad(() => pools.values(), { clock, leadership });
  const cancelHeartbeat = repeat(clock, HEARTBEAT_INTERVAL_MS, () => {
    for (const pool of pools.values()) {
      pool.processQueue();
      pool.recordLimits();
    }
    recordPoolGauges(metrics, pools.values());
    dropPermits(leadership.checkLeases());
    suspendUnreachable();
    heartbeats.sendRegular(
      links,
      () => [...pools.values()].map((one) => one.summary()),
    );
  });
  timeline.record(EventKind.ProcessStarted, "");
  log.info(`Listening on ${address}:${port}.`);

  return {
    address: `${address}:${port}`,
    async stop() {
      stopping = true;
      timeline.record(EventKind.ProcessStopping, "");
      cancelHeartbeat();
      leadership.releaseAll();
      await sleep(clock, RELEASE_FLUSH_MS);
      loadPolling.stop();
      watch.stop();
      exchange.stop();
      claimSync.stop();
      peers.close();
      accepting.close();
      metrics.close();
      server.closeAllConnections();
      server.close();
      await once(server, "close");
      log.info("Stopped.");
    },
  };
}
