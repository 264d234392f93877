import {
  CallEnd,
  comparePositions,
  CONFIGURATION_PATH,
  createConfigurationHandler,
  createFactsHandler,
  createPeerNetwork,
  createPublishedHandler,
  createPublishedItems,
  FACTS_PATH,
  isFailure,
  type LoadEvent,
  LoadEventKind,
  type Member,
  PUBLISHED_PATH,
  type PublishedChanges,
  type PublishedItem,
  type PublishedPosition,
  pullConfiguration,
  pullFacts,
  pullPublished,
  type PushedItems,
} from "@rosemarytiller/peers";
import type { RetryBounds } from "@rosemarytiller/policy";
import { type CancelTimer, type Clock, repeat } from "@rosemarytiller/shared";
import { createServer, type Server } from "node:http";
import { createBrittleServices } from "./create_brittle_services.ts";
import { createCallLimits } from "./create_call_limits.ts";
import {
  createCallerServer,
  HARD_MAX_HEADER_BYTES,
} from "./create_caller_server.ts";
import {
  type ConfigurationIndex,
  createConfigurationIndex,
} from "./create_configuration_index.ts";
import {
  type Connect,
  createConnectionPool,
} from "./create_connection_pool.ts";
import { createContainment } from "./create_containment.ts";
import { createRouterFacts } from "./create_router_facts.ts";
import { createFactsSync } from "./create_facts_sync.ts";
import { createReach } from "./create_reach.ts";
import { createRegistry } from "./create_registry.ts";
import { createRelayHandler } from "./create_relay_handler.ts";
import { createRelays, RELAY_PATH } from "./create_relays.ts";
import { createRequestServer } from "./create_request_server.ts";
import { createRouterMetrics } from "./create_router_metrics.ts";
import { createScheduler } from "./create_scheduler.ts";
import { createStreamOrigins } from "./create_stream_origins.ts";
import { createUpstreamLimits } from "./create_upstream_limits.ts";
import { FactKind, LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import {
  DecodedItemKind,
  type DecodeItem,
  type UpstreamEntry,
  type WireProtocol,
} from "./ports.ts";
import { MIN_CONFIRMED_SILENCE_MS } from "./silence_limits.ts";

/** Host and port to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Settings of a router on one VM. */
export interface RouterSettings {
  vm: string;
  dataCentre: string;
  /** Address for callers. */
  callers: ListenAddress;
  /** Address of the readiness check for the load balancer. */
  ready: ListenAddress;
  /** Address for the other VMs, by UDP and by HTTP. */
  peers: ListenAddress;
  /** Address at which `/metrics` is served. */
  metrics: ListenAddress;
  /** Hosts of VMs from which the others are discovered. */
  seeds: string[];
  retries: RetryBounds;
  /** Time for which a stopping VM still accepts new requests, in ms. */
  leaveMs: number;
  /** Longest wait for requests, from the start of a planned stop, in ms. */
  stopGraceMs: number;
  /** Time within which expired entries are back after an outage, in ms. */
  entriesBackMs: number;
  /**
   * Age beyond which a configuration is stale, in ms. Requests with unknown
   * routes or keys then get the retryable error `NotReady`.
   */
  staleMs: number;
}

/** Port: watches the platform's published items. */
export interface PublishedSource {
  start(sink: PublishedSink): void;
  stop(): void;
}

/** Receives what a source reads from the platform. */
export interface PublishedSink {
  /** Revision up to which all changes of the era have been received. */
  head(): number;
  /** Era of the changes received, 0 at first. */
  era(): number;
  /**
   * The platform responded; `changes` may be empty. The first of a newer era
   * must be the complete state.
   */
  onResponse(changes: PublishedChanges): void;
  /** Reading from the platform failed. */
  onReadError(reason: string): void;
  /** Whether reading can pause, because peers pass the changes on. */
  canPause(): boolean;
}

/** Settings and ports of a router. */
export interface RouterOptions {
  clock: Clock;
  log: EventLog;
  settings: RouterSettings;
  protocol: WireProtocol;
  decode: DecodeItem;
  source: PublishedSource;
  connect?: Connect | undefined;
}

/** A router on one VM. */
export interface Router {
  /** Listens on all addresses and starts watching the platform. */
  start(): Promise<void>;
  /**
   * Applies the settings that can change at run time. Returns the names of the
   * other settings that differ, which need a restart.
   */
  reload(changed: RouterSettings): string[];
  /**
   * Stops gracefully. Resolves when the requests in progress have ended or the
   * grace period is over.
   */
  stop(): Promise<void>;
  /** Stops immediately; requests in progress are cut off. */
  close(): void;
}

/** Time after the start at which the metrics library is loaded, in ms. */
const METRICS_LOAD_DELAY_MS = 3000;
/** Settings that can change at run time. */
const RELOADABLE_SETTINGS: ReadonlySet<keyof RouterSettings> = new Set([
  "seeds",
  "leaveMs",
  "stopGraceMs",
  "entriesBackMs",
  "staleMs",
]);
/** Interval at which expired idle connections and facts are removed, in ms. */
const SWEEP_MS = 500;
/** Interval at which silent or lost services are checked, in ms. */
const REACH_UPDATE_MS = 100;
/** Delay before newer items are pulled from a peer, in milliseconds. */
const PULL_DELAY_MS = 60;
/** Weight of calls reported by VMs of other data centres in failure shares. */
const REMOTE_CALL_WEIGHT = 0.3;
/** Age of the last confirmation after which a paused VM reads again, in ms. */
const MAX_CONFIRMATION_AGE_MS = 3200;
/**
 * Time for which a data centre stays out of service that a restored platform no
 * longer lists as out, in milliseconds, unless it is listed again.
 */
const RESTORED_OUT_MS = 10_000;
/** Poll interval for the end of requests during a stop, in ms. */
const STOP_POLL_MS = 50;

/** Creates a router, which listens on its addresses after `start`. */
export function createRouter(options: RouterOptions): Router {
  const { clock, log, protocol, decode, source } = options;
  let { settings } = options;
  const { vm, dataCentre } = settings;
  const published = createPublishedItems();
  const registry = createRegistry({ clock, log });
  const pool = createConnectionPool({ clock, connect: options.connect });
  let index: ConfigurationIndex | undefined;
  /** The item of `index`; after a restore, `published` may have an older one. */
  let configurationItem: PublishedItem | undefined;
  /** Highest version that this VM has pulled on its own, accepted or not. */
  let pulledVersion = 0;
  /**
   * Time at which the platform last confirmed to this VM or a peer that
   * `published.head()` is the latest revision.
   */
  let confirmedMs = -Infinity;
  let isPlatformLost = false;
  let regainedMs = -Infinity;
  let isStopping = false;
  let isPulling = false;
  let timers: CancelTimer[] = [];
  let servers: Server[] = [];

  const network = createPeerNetwork({
    clock,
    host: settings.peers.host,
    port: settings.peers.port,
    dataCentre,
    seeds: () => settings.seeds,
    heartbeatState: () => ({
      era: published.era(),
      revision: published.head(),
      confirmedAgeMs: Math.round(clock.now() - confirmedMs),
      calls: scheduler.ownCalls(),
      configurationVersion: index?.configuration.version ?? 0,
      factsDigest: facts.digest(),
      callLimits: callLimits.list(),
      brittleServices: brittleServices.list(),
      lostServices: reach.lostServices(),
    }),
  });
  const facts = createRouterFacts({
    clock,
    network,
    handlers: () => ({
      ...containment.factHandlers,
      [FactKind.Leaving]: {
        onAdded: ([upstream = "", run = ""], from = vm) =>
          void registry.onLeaving(upstream, { run, from }),
      },
    }),
  });
  const reach = createReach({
    clock,
    log,
    registry,
    pool,
    publish: () => network.sendHeartbeatNow(),
  });
  const relays = createRelays({
    clock,
    log,
    protocol,
    network,
    vm,
    dataCentre,
    port: settings.peers.port,
  });
  const containment = createContainment({ clock, log, facts });
  const statementOptions = {
    clock,
    log,
    fleet: () => network.loadFleet(),
    publish: () => network.sendHeartbeatNow(),
  };
  const callLimits = createCallLimits(statementOptions);
  const brittleServices = createBrittleServices(statementOptions);
  const upstreamLimits = createUpstreamLimits(callLimits, brittleServices);
  const factsSync = createFactsSync({
    clock,
    log,
    facts,
    pull: (host) => pullFacts({ host, port: settings.peers.port }),
  });
  const scheduler = createScheduler({
    clock,
    registry,
    network,
    upstreamLimits,
    dataCentre,
  });
  const origins = createStreamOrigins({ clock, network, dataCentre });
  const metrics = createRouterMetrics({
    openRequests: () => requestServer.openCount(),
    queuedRequests: () => scheduler.queuedCount(),
    openConnections: () => pool.openCount(),
    presentVms: () => network.reachableVmCount(),
    revision: () => published.head(),
    era: () => published.era(),
    droppedLines: () => log.dropped(),
    sharedFacts: () => facts.size(),
    droppedFacts: () => facts.droppedCount(),
    limitedUpstreams: () => callLimits.limitedCount(),
    openRelays: () => relays.openCount(),
    lostServices: () => reach.lostServices().length,
  }, { loadAfterMs: METRICS_LOAD_DELAY_MS });
  const requestServer = createRequestServer({
    clock,
    log,
    metrics,
    protocol,
    registry,
    scheduler,
    pool,
    network,
    origins,
    containment,
    reach,
    relays,
    callLimits,
    brittleServices,
    upstreamLimits,
    facts,
    retryBounds: settings.retries,
    vm,
    configuration: () => index,
    isCurrent: () => clock.now() - confirmedMs <= settings.staleMs,
  });
  const callerServer = createCallerServer({
    clock,
    protocol,
    serve: (request, response) => void requestServer.serve(request, response),
  });
  const handleRelayed = createRelayHandler({
    clock,
    log,
    protocol,
    limits: () => callerServer.limits(),
    serve: (request, response) => void requestServer.serve(request, response),
  });

  function applyChanges(changes: PublishedChanges, from: string): void {
    const before = published.position();
    const changed = published.apply(changes);
    const isRestored = before.revision > 0 && published.era() > before.era;
    if (isRestored) onRestored(before, from);
    for (const item of changed) {
      let decoded;
      try {
        decoded = decode(item);
      } catch (error) {
        log.warn(LogEvent.ItemRefused, {
          key: item.key,
          revision: item.revision,
          reason: (error as Error).message,
        });
        continue;
      }
      if (!decoded) continue;
      if (decoded.kind === DecodedItemKind.Configuration) {
        if (decoded.value) {
          acceptConfiguration(decoded.value, item, from);
        }
      } else if (decoded.kind === DecodedItemKind.Upstream) {
        if (!decoded.value) registry.remove(decoded.id, keepRemovedMs());
        else if (isRestored) setRestoredUpstream(decoded.value);
        else registry.set(decoded.id, decoded.value);
      } else {
        const { dataCentre, isOut } = decoded;
        registry.setDataCentre(
          dataCentre,
          isOut,
          isRestored ? RESTORED_OUT_MS : 0,
        );
      }
    }
    if (comparePositions(published.position(), before) > 0) {
      scheduler.recheckQueue();
    }
  }

  /** The platform, or a peer that read it, was found in a newer era. */
  function onRestored(before: PublishedPosition, from: string): void {
    // Entries that the restored copy lacks count like those that expired while
    // the platform was unreachable.
    regainedMs = clock.now();
    log.warn(LogEvent.PlatformRestored, {
      fromEra: before.era,
      era: published.era(),
      fromRevision: before.revision,
      revision: published.head(),
      from,
    });
  }

  /** An upstream never stops draining: a restored entry may be from before. */
  function setRestoredUpstream(entry: UpstreamEntry): void {
    const known = registry.find(entry.id)?.entry;
    const isSameRun = known?.startedMs === entry.startedMs &&
      known?.host === entry.host && known?.port === entry.port;
    const isDraining = entry.isDraining ||
      (isSameRun && known?.isDraining === true);
    registry.set(entry.id, { ...entry, isDraining });
  }

  function acceptConfiguration(
    configuration: ConfigurationIndex["configuration"],
    item: PublishedItem,
    from: string,
  ): void {
    if (index && configuration.version < index.configuration.version) return;
    index = createConfigurationIndex(configuration);
    configurationItem = item;
    registry.setServices(index.findService);
    callerServer.setLimits(configuration.limits);
    log.info(LogEvent.ConfigurationAccepted, {
      version: configuration.version,
      revision: item.revision,
      routes: configuration.routes.length,
      from,
    });
  }

  /**
   * Time for which a removed upstream is kept. Entries that expired during an
   * outage of the platform are back within `entriesBackMs` after it.
   */
  function keepRemovedMs(): number {
    if (isPlatformLost) return settings.entriesBackMs;
    return Math.max(0, regainedMs + settings.entriesBackMs - clock.now());
  }

  const sink = {
    head: () => published.head(),
    era: () => published.era(),
    onResponse(changes: PublishedChanges) {
      if (isPlatformLost) {
        isPlatformLost = false;
        regainedMs = clock.now();
        log.info(LogEvent.PlatformRegained, { revision: changes.head });
      }
      const after = published.head();
      applyChanges(changes, "platform");
      confirmedMs = clock.now();
      if (changes.items.length === 0 && !changes.isWhole) return;
      if (!changes.isWhole) network.pushItems({ ...changes, after });
      network.sendHeartbeatNow();
    },
    canPause: () =>
      network.isLargeFleet() && index !== undefined &&
      !network.isStoreReader() &&
      clock.now() - confirmedMs < MAX_CONFIRMATION_AGE_MS,
    onReadError(reason: string) {
      if (isPlatformLost) return;
      isPlatformLost = true;
      log.warn(LogEvent.PlatformLost, { reason, revision: published.head() });
    },
  };

  function onHeartbeat(member: Member): void {
    const { heartbeat, host } = member;
    for (const upstream of registry.all()) {
      const keys = new Set<string>();
      const calls = heartbeat.calls.find(([id]) => id === upstream.entry.id);
      for (const call of calls?.[1] ?? []) keys.add(`${host}:${call}`);
      upstream.model.reconcile(`${host}:`, keys);
    }
    callLimits.merge(heartbeat.callLimits ?? [], host);
    brittleServices.merge(heartbeat.brittleServices ?? [], host);
    factsSync.onHeartbeat(host, heartbeat.factsDigest);
    const order = comparePositions(positionOf(member), published.position());
    if (order === 0 && index) {
      confirmedMs = Math.max(
        confirmedMs,
        clock.now() - heartbeat.confirmedAgeMs,
      );
    }
    if (isPulling) return;
    const version = heartbeat.configurationVersion ?? 0;
    const ownVersion = Math.max(
      index?.configuration.version ?? 0,
      pulledVersion,
    );
    if (order > 0) pull(member);
    else if (version > ownVersion) void pullLostConfiguration(member, version);
  }

  /**
   * Pulls a configuration that a restored platform has lost: a VM that started
   * afterwards knows only the older one in the restored copy.
   */
  async function pullLostConfiguration(
    { host }: Member,
    version: number,
  ): Promise<void> {
    isPulling = true;
    try {
      const port = settings.peers.port;
      const item = await pullConfiguration({ host, port });
      pulledVersion = version;
      const decoded = decode(item);
      if (decoded?.kind !== DecodedItemKind.Configuration) return;
      if (decoded.value) acceptConfiguration(decoded.value, item, host);
    } catch (error) {
      logPullFailure(host, error as Error);
    } finally {
      isPulling = false;
    }
  }

  function logPullFailure(peer: string, { message }: Error): void {
    const what = "pull from a peer";
    log.warn(LogEvent.Failure, { what, peer, reason: message });
  }

  /** Position of published state that a member's last heartbeat reported. */
  function positionOf({ heartbeat }: Member): PublishedPosition {
    return { era: heartbeat.era ?? 0, revision: heartbeat.revision };
  }

  function pull(member: Member): void {
    isPulling = true;
    // The platform's own response usually arrives within the delay.
    const delayMs = index ? PULL_DELAY_MS : 0;
    timers.push(clock.after(delayMs, async () => {
      try {
        const before = published.position();
        if (comparePositions(positionOf(member), before) <= 0) return;
        const changes = await pullPublished(
          { host: member.host, port: settings.peers.port },
          before.revision,
          before.era,
        );
        log.info(LogEvent.PulledFromPeer, {
          peer: member.host,
          after: before.revision,
          era: changes.era ?? 0,
          revision: changes.head,
          items: changes.items.length,
        });
        applyChanges(changes, member.host);
      } catch (error) {
        logPullFailure(member.host, error as Error);
      } finally {
        isPulling = false;
      }
    }));
  }

  function onLoadEvents(member: Member, events: LoadEvent[]): void {
    const nowMs = clock.now();
    for (const event of events) {
      if (event.kind === LoadEventKind.Fact) {
        facts.merge([event], member.host);
        continue;
      }
      if (event.kind === LoadEventKind.StreamStarted) {
        origins.onPeerOrigin(event);
        continue;
      }
      const upstream = registry.find(event.upstream);
      if (!upstream) continue;
      if (event.kind === LoadEventKind.Stalled) {
        const quietMs = nowMs - upstream.fleetLastReceivedMs;
        if (quietMs >= MIN_CONFIRMED_SILENCE_MS) registry.onSilent(upstream);
        continue;
      }
      const key = `${member.host}:${event.call}`;
      if (event.kind === LoadEventKind.Started) {
        upstream.model.start(key, event, nowMs);
        upstream.model.addToCache(
          event.parts.map(([id, tokens]) => ({ id, tokens })),
        );
        registry.onSent(upstream, false);
        upstreamLimits.onSent(upstream, member.host);
      } else if (event.kind === LoadEventKind.FirstEvent) {
        upstream.model.onFirstEvent(key, nowMs);
        registry.onPeerReceived(upstream);
      } else {
        if (event.end === CallEnd.Declined) upstreamLimits.onDeclined(upstream);
        upstream.model.end(key, nowMs);
        upstreamLimits.onEnded(upstream);
        if (event.end === CallEnd.Other) continue;
        if (event.end === CallEnd.Completed) registry.onPeerReceived(upstream);
        const weight = member.dataCentre === dataCentre
          ? 1
          : REMOTE_CALL_WEIGHT;
        registry.onCallEnd(upstream, isFailure(event.end), weight);
      }
    }
    scheduler.recheckQueue();
  }

  function onItems(member: Member, push: PushedItems): void {
    if ((push.era ?? 0) !== published.era()) return;
    // After a gap, everything missing is pulled when a heartbeat announces it.
    if (push.after > published.head() || push.head <= published.head()) return;
    applyChanges(push, member.host);
  }

  function isReady(): boolean {
    return !isStopping && index !== undefined && factsSync.isJoined();
  }

  function listen(
    address: ListenAddress,
    handlers: Record<string, Parameters<typeof createServer>[1]>,
  ): Promise<void> {
    const options = { maxHeaderSize: HARD_MAX_HEADER_BYTES };
    const server = createServer(options, (incoming, response) => {
      const path = (incoming.url ?? "/").split("?")[0]!;
      const isRelayed = path.startsWith(`${RELAY_PATH}/`);
      const handle = handlers[isRelayed ? RELAY_PATH : path] ?? handlers["*"];
      if (handle) handle(incoming, response as never);
      else response.writeHead(404).end();
    });
    servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen({ ...address, backlog: 128 }, () => resolve());
    });
  }

  return {
    async start() {
      await network.start({
        onHeartbeat,
        onLoadEvents,
        onItems,
        onStreamQuery: (id) => origins.replyTo(id),
        onRestart(host) {
          for (const upstream of registry.all()) {
            upstream.model.reconcile(`${host}:`, new Set());
          }
        },
        onMembership: (change) =>
          log.info(LogEvent.MemberChanged, { ...change }),
      });
      await Promise.all([
        listen(settings.peers, {
          [PUBLISHED_PATH]: createPublishedHandler(published),
          [FACTS_PATH]: createFactsHandler(facts),
          [RELAY_PATH]: handleRelayed,
          [CONFIGURATION_PATH]: createConfigurationHandler(() =>
            configurationItem
          ),
        }),
        listen(settings.ready, {
          "*": (_incoming, response) =>
            void response.writeHead(isReady() ? 200 : 503).end(),
        }),
        listen(settings.metrics, {
          "/metrics": async (_incoming, response) =>
            void response.end(await metrics.text()),
        }),
        callerServer.listen(settings.callers),
      ]);
      source.start(sink);
      timers.push(repeat(clock, SWEEP_MS, () => {
        pool.sweep();
        relays.sweep();
        facts.expire();
        containment.update();
      }));
      timers.push(repeat(clock, REACH_UPDATE_MS, () => reach.update()));
      log.info(LogEvent.Started, {
        startupMs: Math.round(performance.now()),
        settings,
      });
    },
    reload(changed) {
      const names = Object.keys(changed) as (keyof RouterSettings)[];
      const restartNames = names.filter((name) =>
        !RELOADABLE_SETTINGS.has(name) &&
        JSON.stringify(changed[name]) !== JSON.stringify(settings[name])
      );
      const { seeds, leaveMs, stopGraceMs, entriesBackMs, staleMs } = changed;
      settings = {
        ...settings,
        seeds,
        leaveMs,
        stopGraceMs,
        entriesBackMs,
        staleMs,
      };
      return restartNames;
    },
    async stop() {
      if (isStopping) return;
      isStopping = true;
      const startedMs = clock.now();
      log.info(LogEvent.Stopping, { open: requestServer.openCount() });
      callerServer.startDraining();
      await new Promise<void>((resolve) => {
        clock.after(settings.leaveMs, () => {
          callerServer.stopListening();
          requestServer.startRefusing();
          const cancel = repeat(clock, STOP_POLL_MS, () => {
            const waitedMs = clock.now() - startedMs;
            const isIdle = requestServer.openCount() === 0;
            if (!isIdle && waitedMs < settings.stopGraceMs) return;
            cancel();
            resolve();
          });
        });
      });
      log.info(LogEvent.Stopped, { open: requestServer.openCount() });
      this.close();
    },
    close() {
      for (const cancel of timers) cancel();
      timers = [];
      source.stop();
      callerServer.stopListening();
      callerServer.close();
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
      servers = [];
      network.close();
      relays.close();
      pool.close();
      log.flush();
    },
  };
}
