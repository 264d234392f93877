import {
  CallEnd,
  createPeerNetwork,
  createPublishedItems,
  type LoadEvent,
  LoadEventKind,
  type Member,
  PUBLISHED_PATH,
  type PublishedChanges,
  pullPublished,
  type PushedItems,
  servePublished,
} from "@rosemarytiller/peers";
import { createQuarantine, type RetryBounds } from "@rosemarytiller/policy";
import { type CancelTimer, type Clock, repeat } from "@rosemarytiller/shared";
import { createServer, type Server } from "node:http";
import { createCallerServer } from "./create_caller_server.ts";
import {
  type ConfigurationIndex,
  createConfigurationIndex,
} from "./create_configuration_index.ts";
import { createConnectionPool } from "./create_connection_pool.ts";
import { createPlacer } from "./create_placer.ts";
import { createRegistry } from "./create_registry.ts";
import { createRequestServer } from "./create_request_server.ts";
import { createRouterMetrics } from "./create_router_metrics.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import { type DecodeItem, FactKind, type WireProtocol } from "./ports.ts";

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Settings of a router. */
export interface RouterSettings {
  vm: string;
  dataCentre: string;
  /** Where callers connect. */
  callers: ListenAddress;
  /** Where the balancer asks whether the VM is ready. */
  ready: ListenAddress;
  /** Where other VMs connect, by datagrams and by HTTP. */
  peers: ListenAddress;
  metrics: ListenAddress;
  /** Hosts of VMs to begin with. */
  seeds: string[];
  retries: RetryBounds;
  /** Time for which a stopping VM still takes new requests, in ms. */
  leaveMs: number;
  /** Longest time for requests in progress at a planned stop, in ms. */
  stopGraceMs: number;
  /** Time within which lapsed entries are back after an outage, in ms. */
  entriesBackMs: number;
  /** Age of knowledge beyond which nothing is denied, in ms. */
  staleMs: number;
}

/** Port: watches what the platform publishes. */
export interface PublishedSource {
  start(sink: PublishedSink): void;
  stop(): void;
}

/** Where a source delivers. */
export interface PublishedSink {
  /** Revision up to which everything is known. */
  head(): number;
  /** The source answered; `changes` may be empty. */
  onAnswer(changes: PublishedChanges): void;
  /** The source could not be read. */
  onLost(reason: string): void;
  /** Whether others read for this VM, so that it need not. */
  mayRest(): boolean;
}

/** What a router is made of. */
export interface RouterOptions {
  clock: Clock;
  log: EventLog;
  settings: RouterSettings;
  protocol: WireProtocol;
  decode: DecodeItem;
  source: PublishedSource;
}

/** A router on one VM. */
export interface Router {
  start(): Promise<void>;
  /**
   * Takes over settings that can change while it runs; returns the names of
   * those that differ but take a restart.
   */
  reload(changed: RouterSettings): string[];
  /** Stops as planned; resolves when requests in progress have ended. */
  stop(): Promise<void>;
  /** Ends at once. */
  close(): void;
}

/** Time after the start at which the metrics' library is loaded, in ms. */
const METRICS_LOAD_MS = 3000;
/** Settings that a running router takes over. */
const RELOADED_SETTINGS: ReadonlySet<keyof RouterSettings> = new Set([
  "seeds",
  "leaveMs",
  "stopGraceMs",
  "entriesBackMs",
  "staleMs",
]);
/** Interval of closing idle connections, in milliseconds. */
const SWEEP_MS = 500;
/** Lag of a peer's knowledge beyond which it is asked, in milliseconds. */
const PULL_DELAY_MS = 60;
/** Weight of a failure that a VM of another data centre saw. */
const REMOTE_FAILURE_WEIGHT = 0.3;
/** Silence here that confirms another VM's word of it, in ms. */
const SILENT_HERE_MS = 250;
/** Age of a peer's word beyond which a resting VM reads itself, in ms. */
const REST_MS = 3200;
/** Interval of looks at whether a stopping router is done, in ms. */
const STOP_LOOK_MS = 50;

/** Creates a router; `start` opens its ports. */
export function createRouter(options: RouterOptions): Router {
  const { clock, log, protocol, decode, source } = options;
  let { settings } = options;
  const { vm, dataCentre } = settings;
  const published = createPublishedItems();
  const registry = createRegistry({ clock, log });
  const pool = createConnectionPool({ clock });
  const quarantine = createQuarantine({ now: clock.now, onChange() {} });
  let index: ConfigurationIndex | undefined;
  /** When the platform, or a peer that heard it, confirmed the head. */
  let confirmedMs = -Infinity;
  let isSourceLost = false;
  let regainedMs = -Infinity;
  let isStopping = false;
  let pulling = false;
  let timers: CancelTimer[] = [];
  let servers: Server[] = [];

  const network = createPeerNetwork({
    clock,
    host: settings.peers.host,
    port: settings.peers.port,
    dataCentre,
    seeds: () => settings.seeds,
    describe: () => ({
      revision: published.head(),
      confirmedAgeMs: Math.round(clock.now() - confirmedMs),
      calls: placer.ownCalls(),
    }),
  });
  const placer = createPlacer({ clock, registry, network, dataCentre });
  const metrics = createRouterMetrics({
    openRequests: () => requests.openCount(),
    heldRequests: () => placer.heldCount(),
    openConnections: () => pool.openCount(),
    presentVms: () => network.presentCount(),
    revision: () => published.head(),
    droppedLines: () => log.dropped(),
  }, { loadAfterMs: METRICS_LOAD_MS });
  const requests = createRequestServer({
    clock,
    log,
    metrics,
    protocol,
    registry,
    placer,
    pool,
    network,
    quarantine,
    retryBounds: settings.retries,
    vm,
    configuration: () => index,
    isCurrent: () => clock.now() - confirmedMs <= settings.staleMs,
  });
  const callers = createCallerServer({
    clock,
    protocol,
    serve: (request, answer) => void requests.serve(request, answer),
  });

  function accept(changes: PublishedChanges, from: string): void {
    const before = published.head();
    for (const item of published.apply(changes)) {
      let fact;
      try {
        fact = decode(item);
      } catch (error) {
        log.warn(LogEvent.ItemRefused, {
          key: item.key,
          revision: item.revision,
          reason: (error as Error).message,
        });
        continue;
      }
      if (!fact) continue;
      if (fact.kind === FactKind.Configuration) {
        if (fact.value) acceptConfiguration(fact.value, item.revision, from);
      } else if (fact.kind === FactKind.Upstream) {
        if (fact.value) registry.set(fact.id, fact.value);
        else registry.remove(fact.id, keepLapsedMs());
      } else registry.setDataCentre(fact.dataCentre, fact.isOut);
    }
    if (published.head() > before) placer.wake();
  }

  function acceptConfiguration(
    configuration: ConfigurationIndex["configuration"],
    revision: number,
    from: string,
  ): void {
    if (index && configuration.version < index.configuration.version) return;
    index = createConfigurationIndex(configuration);
    registry.setServices(index.findService);
    callers.setLimits(configuration.limits);
    log.info(LogEvent.ConfigurationAccepted, {
      version: configuration.version,
      revision,
      routes: configuration.routes.length,
      from,
    });
  }

  /** Entries that lapsed during an outage come back a little after it. */
  function keepLapsedMs(): number {
    if (isSourceLost) return settings.entriesBackMs;
    return Math.max(0, regainedMs + settings.entriesBackMs - clock.now());
  }

  const sink = {
    head: () => published.head(),
    onAnswer(changes: PublishedChanges) {
      if (isSourceLost) {
        isSourceLost = false;
        regainedMs = clock.now();
        log.info(LogEvent.PlatformRegained, { revision: changes.head });
      }
      const after = published.head();
      accept(changes, "platform");
      confirmedMs = clock.now();
      if (changes.items.length === 0) return;
      if (!changes.isWhole) network.pushItems({ ...changes, after });
      network.beatNow();
    },
    mayRest: () =>
      network.isLarge() && index !== undefined && !network.isReader() &&
      clock.now() - confirmedMs < REST_MS,
    onLost(reason: string) {
      if (isSourceLost) return;
      isSourceLost = true;
      log.warn(LogEvent.PlatformLost, { reason, revision: published.head() });
    },
  };

  function onBeat(member: Member): void {
    const { beat, host } = member;
    for (const upstream of registry.all()) {
      const keys = new Set<string>();
      const calls = beat.calls.find(([id]) => id === upstream.entry.id);
      for (const call of calls?.[1] ?? []) keys.add(`${host}:${call}`);
      upstream.model.reconcile(`${host}:`, keys);
    }
    if (beat.revision === published.head() && index) {
      confirmedMs = Math.max(confirmedMs, clock.now() - beat.confirmedAgeMs);
    }
    if (beat.revision > published.head() && !pulling) pull(member);
  }

  function pull(member: Member): void {
    pulling = true;
    // The platform's own answer usually comes first.
    const delayMs = index ? PULL_DELAY_MS : 0;
    timers.push(clock.after(delayMs, async () => {
      try {
        if (member.beat.revision <= published.head()) return;
        const changes = await pullPublished(
          { host: member.host, port: settings.peers.port },
          published.head(),
        );
        log.info(LogEvent.PulledFromPeer, {
          peer: member.host,
          after: published.head(),
          revision: changes.head,
          items: changes.items.length,
        });
        accept(changes, member.host);
      } catch (error) {
        log.warn(LogEvent.Failure, {
          what: "pull from a peer",
          peer: member.host,
          reason: (error as Error).message,
        });
      } finally {
        pulling = false;
      }
    }));
  }

  function onLoad(member: Member, events: LoadEvent[]): void {
    const nowMs = clock.now();
    for (const event of events) {
      if (event.kind === LoadEventKind.Crashed) {
        quarantine.onCrash(event.crash, [event.fingerprint]);
        continue;
      }
      const upstream = registry.find(event.upstream);
      if (!upstream) continue;
      if (event.kind === LoadEventKind.Silent) {
        const quietMs = nowMs - upstream.seenMs;
        if (quietMs >= SILENT_HERE_MS) registry.onSilent(upstream);
        continue;
      }
      const key = `${member.host}:${event.call}`;
      if (event.kind === LoadEventKind.Started) {
        upstream.model.start(key, event, nowMs);
        upstream.model.remember(
          event.parts.map(([id, tokens]) => ({ id, tokens })),
        );
        registry.onSent(upstream, false);
      } else if (event.kind === LoadEventKind.FirstEvent) {
        upstream.model.onFirstEvent(key, nowMs);
        registry.onSeen(upstream);
      } else {
        upstream.model.end(key, nowMs);
        if (event.end === CallEnd.Other) continue;
        if (event.end === CallEnd.Whole) registry.onSeen(upstream);
        const weight = member.dataCentre === dataCentre
          ? 1
          : REMOTE_FAILURE_WEIGHT;
        registry.onCallEnd(upstream, event.end === CallEnd.Failed, weight);
      }
    }
    placer.wake();
  }

  function onItems(member: Member, push: PushedItems): void {
    // Behind a gap the whole is asked for, once a beat tells of it.
    if (push.after > published.head() || push.head <= published.head()) return;
    accept(push, member.host);
  }

  function isReady(): boolean {
    return !isStopping && index !== undefined;
  }

  function listen(
    address: ListenAddress,
    handlers: Record<string, Parameters<typeof createServer>[1]>,
  ): Promise<void> {
    const server = createServer((incoming, response) => {
      const path = (incoming.url ?? "/").split("?")[0]!;
      const handle = handlers[path] ?? handlers["*"];
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
        onBeat,
        onLoad,
        onItems,
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
          [PUBLISHED_PATH]: (incoming, response) =>
            servePublished(incoming, response, published),
        }),
        listen(settings.ready, {
          "*": (_incoming, response) =>
            void response.writeHead(isReady() ? 200 : 503).end(),
        }),
        listen(settings.metrics, {
          "/metrics": async (_incoming, response) =>
            void response.end(await metrics.text()),
        }),
        callers.listen(settings.callers),
      ]);
      source.start(sink);
      timers.push(repeat(clock, SWEEP_MS, () => pool.sweep()));
      log.info(LogEvent.Started, {
        startupMs: Math.round(performance.now()),
        settings,
      });
    },
    reload(changed) {
      const names = Object.keys(changed) as (keyof RouterSettings)[];
      const kept = names.filter((name) =>
        !RELOADED_SETTINGS.has(name) &&
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
      return kept;
    },
    async stop() {
      if (isStopping) return;
      isStopping = true;
      const startedMs = clock.now();
      log.info(LogEvent.Stopping, { open: requests.openCount() });
      callers.startLeaving();
      await new Promise<void>((resolve) => {
        clock.after(settings.leaveMs, () => {
          callers.stopListening();
          requests.startRefusing();
          const cancel = repeat(clock, STOP_LOOK_MS, () => {
            const waitedMs = clock.now() - startedMs;
            const isDone = requests.openCount() === 0;
            if (!isDone && waitedMs < settings.stopGraceMs) return;
            cancel();
            resolve();
          });
        });
      });
      log.info(LogEvent.Stopped, { open: requests.openCount() });
      this.close();
    },
    close() {
      for (const cancel of timers) cancel();
      timers = [];
      source.stop();
      callers.stopListening();
      callers.close();
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
      servers = [];
      network.close();
      pool.close();
      log.flush();
    },
  };
}
