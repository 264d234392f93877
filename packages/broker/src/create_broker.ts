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
  listEntryVms,
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
import { gaugePools } from "./gauge_pools.ts";
import { BEAT_MS, createBeats } from "./create_beats.ts";
import { addLease } from "./add_lease.ts";
import { pollLoad } from "./poll_load.ts";
import { serveClaims } from "./serve_claims.ts";
import { syncClaims } from "./sync_claims.ts";

/** Time for the last messages of a stopping broker to leave. */
export const RELEASE_FLUSH_MS = 100;

/** A running broker. */
export interface Broker {
  /** `host:port` of links and admin. */
  readonly address: string;
  /** Ends the process's work; streams of entries go on. */
  stop(): Promise<void>;
}

/** Ports and settings of a broker. */
export interface BrokerOptions {
  settings: Settings;
  platform: PlatformPort;
  clock: Clock;
}

/** Starts a broker. */
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
  });
  const beats = createBeats(leadership, { clock, view });
  const exchange = createFleetExchange(view, { clock, role: Role.Broker });
  const peers = createPeerLinks(view, {
    identity,
    dataCentre: settings.dataCentre,
    seeds: settings.seeds,
    linkAddresses: settings.linkAddresses,
    clock,
    serve,
  });
  const quarantine = createQuarantine({ now: clock.now, onChange: tellCrash });
  const claims = createClaimHolder({
    vm: settings.vm,
    clock,
    horizonMs: settings.retryHorizonMs,
  });
  const claimSync = syncClaims(claims, {
    identity,
    view,
    clock,
    linkAddresses: settings.linkAddresses,
  });
  let stopping = false;

  /** Hands a crash on; each broker does once, so that all hear of it. */
  function tellCrash(record: FingerprintRecord): void {
    const { fingerprint, crashes, cleared } = record;
    timeline.record(EventKind.Quarantined, "", {
      fingerprint,
      crashes: crashes.length - cleared.length,
    });
    for (const link of links) {
      if (link.role !== Role.Broker) continue;
      link.send({ kind: MessageKind.Quarantine, ...record });
    }
    for (const pool of pools.values()) pool.recheck(fingerprint);
  }

  function poolOf(name: string): Pool {
    let pool = pools.get(name);
    if (pool) return pool;
    pool = createPool(name, {
      view,
      clock,
      timeline,
      metrics,
      shareOf: (upstream, limit) => leadership.shareOf(name, upstream, limit),
      stampOf: leadership.stampOf,
      onGranted: leadership.onGranted,
      quarantine,
    });
    pools.set(name, pool);
    return pool;
  }

  const handlers: MessageHandlers<Link> = {
    ...exchange.handlers,
    [MessageKind.Ask](ask, link) {
      leadership.onAsk(ask.pool, ask.stamp, link);
      beats.tellChanges(links);
      poolOf(ask.pool).ask(ask, link);
    },
    [MessageKind.CancelAsk]({ id }) {
      for (const pool of pools.values()) pool.cancel(id);
    },
    [MessageKind.Done](done) {
      const pool = done.pool || leadership.poolOf(done.permit);
      leadership.onDone(done.permit);
      if (pool) poolOf(pool).done(done);
    },
    [MessageKind.Quarantine]: (message) => quarantine.merge(message),
    [MessageKind.Back](back, link) {
      const { adopted, ended } = leadership.onBack(back, link);
      forget(ended);
      for (const permit of adopted) poolOf(permit.pool).adopt(permit);
      for (const pool of pools.values()) pool.pump();
    },
  };

  function forget(permits: readonly string[]): void {
    for (const permit of permits) {
      for (const pool of pools.values()) pool.forget(permit);
    }
  }

  async function serve(link: Link): Promise<void> {
    if (link.role === Role.Claimer) return await serveClaims(link, claims);
    links.add(link);
    if (link.role === Role.Broker) {
      for (const record of quarantine.records()) {
        link.send({ kind: MessageKind.Quarantine, ...record });
      }
    }
    exchange.open(link);
    leadership.openLink(link);
    beats.tell(link);
    await link.messages.observe((message) => {
      handleMessage(handlers, message, link);
    });
    links.delete(link);
    exchange.close(link);
    leadership.closeLink(link);
    beats.forget(link);
    for (const pool of pools.values()) pool.dropLink(link);
  }

  recordFleetChanges(view, { timeline, metrics });
  void view.changes.observe(({ kind }) => {
    if (kind === FleetChangeKind.VmList) {
      peers.update();
      claims.setList(listEntryVms(view.vms()).map((vm) => vm.name));
      exchange.expectPeers(peers.vms());
    }
    for (const pool of pools.values()) pool.pump();
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
            addLease(pool.status(), leadership)
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
  const polling = pollLoad(() => pools.values(), { clock, leadership });
  const cancelBeat = repeat(clock, BEAT_MS, () => {
    for (const pool of pools.values()) pool.pump();
    gaugePools(metrics, pools.values());
    forget(leadership.check());
    beats.tellAll(links, () => [...pools.values()].map((one) => one.summary()));
  });
  timeline.record(EventKind.ProcessStarted, "");
  log.info(`Listening on ${address}:${port}.`);

  return {
    address: `${address}:${port}`,
    async stop() {
      stopping = true;
      timeline.record(EventKind.ProcessStopping, "");
      cancelBeat();
      leadership.releaseAll();
      await sleep(clock, RELEASE_FLUSH_MS);
      polling.stop();
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
