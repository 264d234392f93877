import {
  CONFIGURATION_PATH,
  createConfigurationHandler,
  type CreateDatagramSocket,
  createFactsHandler,
  createPeerNetwork,
  createPublishedHandler,
  FACTS_PATH,
  type Member,
  PUBLISHED_PATH,
  pullFacts,
} from "@rosemarytiller/peers";
import type { RetryBounds } from "@rosemarytiller/policy";
import { type CancelTimer, type Clock, repeat } from "@rosemarytiller/shared";
import { createServer, type Server } from "node:http";
import {
  CONNECTION_SWEEP_MS,
  createIntake,
  declaredBytes,
  MEMORY_CHECK_MS,
} from "./callers/index.ts";
import { createAccountAdmission } from "./create_account_admission.ts";
import { createBrittleServices } from "./create_brittle_services.ts";
import { createCallLimits } from "./create_call_limits.ts";
import {
  type CallerServer,
  createCallerServer,
  HARD_MAX_HEADER_BYTES,
  stopListening,
} from "./create_caller_server.ts";
import {
  type Connect,
  createConnectionPool,
} from "./create_connection_pool.ts";
import { createContainment } from "./create_containment.ts";
import { createRouteHistory } from "./create_route_history.ts";
import { createRouterFacts } from "./create_router_facts.ts";
import { createFactsSync } from "./create_facts_sync.ts";
import { createReach } from "./create_reach.ts";
import { createLoadReports, LOAD_REPORT_MS } from "./create_load_reports.ts";
import { createLoadEventHandler } from "./create_load_event_handler.ts";
import { createConfirmation } from "./create_confirmation.ts";
import { createConfigurationGate } from "./create_configuration_gate.ts";
import { createHealthProbe } from "./create_health_probe.ts";
import { createPlannedStop } from "./create_planned_stop.ts";
import { createPublishedState } from "./create_published_state.ts";
import { createOverflow } from "./create_overflow.ts";
import { createRegistry } from "./create_registry.ts";
import { createRelayHandler } from "./create_relay_handler.ts";
import { createRelays, RELAY_PATH } from "./create_relays.ts";
import { createRequestServer } from "./create_request_server.ts";
import { createRouterMetrics } from "./create_router_metrics.ts";
import { createScheduler } from "./create_scheduler.ts";
import { createStreamOrigins } from "./create_stream_origins.ts";
import { createWhereHandler, WHERE_PATH } from "./create_where_handler.ts";
import { createUpstreamLimits } from "./create_upstream_limits.ts";
import { createWarmUpLimits } from "./create_warm_up_limits.ts";
import type { LeavingCosts } from "./create_upstream_choice.ts";
import { FactKind, LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { DecodeItem, PublishedSource, WireProtocol } from "./ports.ts";

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
  /**
   * Time for which a stopping VM still accepts new requests, in ms; at most a
   * third of `stopGraceMs`.
   */
  leaveMs: number;
  /** Longest wait for requests, from the start of a planned stop, in ms. */
  stopGraceMs: number;
  /** Time within which expired entries are back after an outage, in ms. */
  entriesBackMs: number;
  /** Time after which a leaving upstream must get no more requests, in ms. */
  drainMs: number;
  /** Memory that the process may use, in bytes. */
  memoryBytes: number;
  /** File descriptors that the process may have open. */
  maxDescriptors: number;
  /** Longest time from a request's head to the end of its body, in ms. */
  bodyTimeoutMs: number;
  /** Longest time without progress while a client reads a response, in ms. */
  readerTimeoutMs: number;
  /** What it costs to send a call to another data centre. */
  leavingCosts: LeavingCosts;
  /** Whether VMs report their upstreams' load to the other data centres. */
  reportsLoad: boolean;
  /**
   * Age beyond which a configuration is stale, in ms. Requests with unknown
   * routes or keys then get the retryable error `NotReady`.
   */
  staleMs: number;
  /**
   * Whether all VMs start for the first time; if not, a VM whose peers know of
   * no earlier crash can't rely on that.
   */
  isFirstStart: boolean;
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
  createPeerSocket?: CreateDatagramSocket | undefined;
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
   * grace period is over; further calls wait for the same stop.
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
  // Read at the start only.
  "isFirstStart",
]);
/** Interval at which expired idle connections and facts are removed, in ms. */
const SWEEP_MS = 500;
/** Interval at which silent or lost services are checked, in ms. */
const REACH_UPDATE_MS = 100;
/** Poll interval during a planned stop, in ms. */
const STOP_POLL_MS = 50;
/** Longest time to write the last responses of a stop, in ms. */
const STOP_WRITE_MS = 100;

/** Creates a router, which listens on its addresses after `start`. */
export function createRouter(options: RouterOptions): Router {
  const { clock, log, protocol, decode, source } = options;
  let { settings } = options;
  const { vm, dataCentre } = settings;
  const registry = createRegistry({ clock, log });
  const routeHistory = createRouteHistory(clock);
  const pool = createConnectionPool({
    clock,
    connect: options.connect,
    onPaced: () => intake.onFlood(),
  });
  const plannedStop = createPlannedStop(clock);
  /** Resolves at the end of the planned stop; undefined before its start. */
  let stopped: Promise<void> | undefined;
  let timers: CancelTimer[] = [];
  let servers: Server[] = [];

  const network = createPeerNetwork({
    clock,
    host: settings.peers.host,
    port: settings.peers.port,
    dataCentre,
    seeds: () => settings.seeds,
    createSocket: options.createPeerSocket,
    heartbeatState: () => ({
      era: state.items.era(),
      revision: state.items.head(),
      confirmedAgeMs: Math.round(state.confirmedAgeMs()),
      calls: scheduler.ownCalls(),
      configurationVersion: state.index()?.configuration.version ?? 0,
      factsDigest: facts.digest(),
      callLimits: callLimits.list(),
      brittleServices: brittleServices.list(),
      lostServices: reach.lostServices(),
      ...state.platformReads(),
      demand: overflow.demand(),
      isStopping: plannedStop.hasBegun(),
      accountDemand: accountAdmission.demand(),
    }),
  });
  const gate = createConfigurationGate(clock);
  const state = createPublishedState({
    clock,
    log,
    decode,
    registry,
    network,
    port: settings.peers.port,
    entriesBackMs: () => settings.entriesBackMs,
    drainMs: settings.drainMs,
    onConfiguration({ limits, routes }) {
      routeHistory.onRoutes(routes);
      callerServer.setLimits(limits);
      gate.open();
    },
    onAdvanced: () => scheduler.recheckQueue(),
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
  const healthProbe = createHealthProbe({ clock, pool });
  const reach = createReach({
    clock,
    log,
    registry,
    pool,
    isAnswering: ({ entry }) =>
      healthProbe(
        entry,
        state.index()?.findService(entry.service)?.healthPath ?? "/",
      ),
    publish: () => network.sendHeartbeatNow(),
  });
  const metrics = createRouterMetrics({
    openRequests: () => requestServer.openCount(),
    queuedRequests: () => scheduler.queuedCount(),
    openConnections: () => pool.openCount(),
    presentVms: () => network.reachableVmCount(),
    revision: () => state.items.head(),
    era: () => state.items.era(),
    droppedLines: () => log.dropped(),
    sharedFacts: () => facts.size(),
    droppedFacts: () => facts.droppedCount(),
    limitedUpstreams: () => callLimits.limitedCount(),
    openRelays: () => relays.openCount(),
    lostServices: () => reach.lostServices().length,
    intakeBytes: () => intake.budget.usedBytes(),
    responseBytes: () => intake.responses.usedBytes(),
    contendedPools: () => accountAdmission.contendedCount(),
    callerConnections: () => intake.connections.openCount(),
  }, { loadAfterMs: METRICS_LOAD_DELAY_MS });
  const intake = createIntake({
    clock,
    log,
    memoryBytes: settings.memoryBytes,
    maxDescriptors: settings.maxDescriptors,
    bodyTimeoutMs: settings.bodyTimeoutMs,
    readerTimeoutMs: settings.readerTimeoutMs,
    maxBodyBytes: () => callerServer.limits().maxBodyBytes,
    onRefused: (reason) => metrics.onIntakeBounded(reason),
  });
  const relays = createRelays({
    clock,
    log,
    metrics,
    protocol,
    network,
    vm,
    dataCentre,
    port: settings.peers.port,
    intake,
  });
  const containment = createContainment({
    clock,
    log,
    facts,
    network,
    isFirstStart: settings.isFirstStart,
  });
  const statementOptions = {
    clock,
    log,
    fleet: () => network.loadFleet(),
    publish: () => network.sendHeartbeatNow(),
  };
  const callLimits = createCallLimits(statementOptions);
  const brittleServices = createBrittleServices(statementOptions);
  const upstreamLimits = createUpstreamLimits({
    callLimits,
    brittleServices,
    warmUpLimits: createWarmUpLimits({
      clock,
      network,
      findService: (name) => state.index()?.findService(name),
    }),
  });
  const factsSync = createFactsSync({
    clock,
    log,
    facts,
    pull: (host) => pullFacts({ host, port: settings.peers.port }),
  });
  const accountAdmission = createAccountAdmission({
    clock,
    log,
    registry,
    network,
    dataCentre,
  });
  const overflow = createOverflow({ clock, registry, network, dataCentre });
  const scheduler = createScheduler({
    clock,
    registry,
    network,
    upstreamLimits,
    overflow,
    leavingCosts: settings.leavingCosts,
    dataCentre,
  });
  const loadReports = createLoadReports({
    clock,
    registry,
    network,
    dataCentre,
  });
  const origins = createStreamOrigins({ clock, network, dataCentre });
  const handleLoadEvents = createLoadEventHandler({
    clock,
    registry,
    upstreamLimits,
    facts,
    origins,
    dataCentre,
  });
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
    accountAdmission,
    reach,
    relays,
    callLimits,
    brittleServices,
    upstreamLimits,
    facts,
    plannedStop,
    intake,
    retryBounds: settings.retries,
    vm,
    gate,
    configuration: state.index,
    confirm: createConfirmation(source.readNow),
    routeHistory,
    isCurrent: () => state.confirmedAgeMs() <= settings.staleMs,
  });
  const callerServer: CallerServer = createCallerServer({
    clock,
    protocol,
    intake,
    serve: (request, response) => void requestServer.serve(request, response),
    refuseAtHead: (head) => requestServer.refuseAtHead(head),
  });
  const handleRelayed = createRelayHandler({
    clock,
    log,
    protocol,
    intake,
    limits: () => callerServer.limits(),
    isDraining: plannedStop.hasBegun,
    serve: (request, response) => void requestServer.serve(request, response),
  });

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
    state.onHeartbeat(member);
  }

  const isIdle = () => requestServer.openCount() === 0;

  function waitUntil(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const cancel = repeat(clock, STOP_POLL_MS, () => {
        if (!condition()) return;
        cancel();
        resolve();
      });
    });
  }

  /** Serves requests for the time for leaving, then waits for their end. */
  async function endRequests(): Promise<void> {
    const { leaveMs, stopGraceMs } = settings;
    plannedStop.begin({ leaveMs, graceMs: stopGraceMs });
    log.info(LogEvent.Stopping, { open: requestServer.openCount() });
    callerServer.startDraining();
    await waitUntil(() => !plannedStop.acceptsRequests());
    callerServer.stopListening();
    await waitUntil(() => isIdle() || plannedStop.isOver());
    // What other VMs have just sent is refused rather than reset.
    for (const server of servers) stopListening(server);
    requestServer.endAll();
    const writtenMs = clock.now() + STOP_WRITE_MS;
    await waitUntil(() => isIdle() || clock.now() >= writtenMs);
    log.info(LogEvent.Stopped, { open: requestServer.openCount() });
  }

  function isReady(): boolean {
    return !plannedStop.hasBegun() && state.index() !== undefined &&
      factsSync.isJoined();
  }

  function listen(
    address: ListenAddress,
    handlers: Record<string, Parameters<typeof createServer>[1]>,
  ): Promise<void> {
    const options = { maxHeaderSize: HARD_MAX_HEADER_BYTES };
    const server = createServer(options, (incoming, response) => {
      const path = (incoming.url ?? "/").split("?")[0]!;
      if (path.startsWith(`${RELAY_PATH}/`) && handlers[RELAY_PATH]) {
        handlers[RELAY_PATH](incoming, response as never);
        return;
      }
      const handle = handlers[path] ?? handlers["*"];
      intake.connections.enter({ incoming, response }, (onReceived) => {
        // No path here takes a body.
        if (declaredBytes(incoming) !== 0) {
          response.setHeader("Connection", "close");
        } else onReceived();
        if (handle) handle(incoming, response as never);
        else response.writeHead(404).end();
      });
    });
    intake.connections.track(server);
    servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen({ ...address, backlog: 128 }, () => resolve());
    });
  }

  return {
    async start() {
      containment.update();
      await network.start({
        onHeartbeat,
        onLoadEvents(member, events) {
          handleLoadEvents(member, events);
          scheduler.recheckQueue();
        },
        onItems: state.onItems,
        onStreamQuery: (id) => origins.replyTo(id),
        onProcessLost(host) {
          for (const upstream of registry.all()) {
            upstream.model.reconcile(`${host}:`, new Set());
          }
        },
        onMembership: (change) =>
          log.info(LogEvent.MemberChanged, { ...change }),
        onRefused(peer, reason) {
          const what = "message from a peer";
          log.warn(LogEvent.Failure, { what, peer, reason });
        },
      });
      await Promise.all([
        listen(settings.peers, {
          [PUBLISHED_PATH]: createPublishedHandler(state.items),
          [FACTS_PATH]: createFactsHandler(facts),
          [RELAY_PATH]: handleRelayed,
          [CONFIGURATION_PATH]: createConfigurationHandler(
            state.configurationItem,
          ),
        }),
        listen(settings.ready, {
          "*": (_incoming, response) =>
            void response.writeHead(isReady() ? 200 : 503).end(),
        }),
        listen(settings.metrics, {
          "/metrics": async (_incoming, response) =>
            void response.end(await metrics.text()),
          [WHERE_PATH]: createWhereHandler({
            clock,
            vm,
            dataCentre,
            index: state.index,
            registry,
            choice: scheduler.choice,
            upstreamLimits,
            admission: accountAdmission,
            isLargeFleet: network.isLargeFleet,
          }),
        }),
        callerServer.listen(settings.callers),
      ]);
      source.start(state.sink);
      timers.push(repeat(clock, SWEEP_MS, () => {
        pool.sweep();
        relays.sweep();
        facts.expire();
        containment.update();
      }));
      timers.push(
        repeat(clock, CONNECTION_SWEEP_MS, () => intake.sweep()),
        repeat(clock, MEMORY_CHECK_MS, () => intake.checkMemory()),
      );
      timers.push(repeat(clock, REACH_UPDATE_MS, () => reach.update()));
      if (settings.reportsLoad) {
        timers.push(repeat(clock, LOAD_REPORT_MS, () => loadReports.send()));
      }
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
    stop() {
      if (stopped) return stopped;
      stopped = endRequests().then(() => this.close());
      // The other VMs relay no more requests to this one.
      network.sendHeartbeatNow();
      return stopped;
    },
    close() {
      for (const cancel of timers) cancel();
      timers = [];
      source.stop();
      state.close();
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
