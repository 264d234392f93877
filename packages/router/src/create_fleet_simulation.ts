import {
  createPeerNetwork,
  type PeerListener,
  type PeerNetwork,
} from "@rosemarytiller/peers";
import { CallRank } from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Socket } from "node:dgram";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createBrittleServices } from "./create_brittle_services.ts";
import { createCallLimits } from "./create_call_limits.ts";
import { createLoadEventHandler } from "./create_load_event_handler.ts";
import { createRegistry, type Registry } from "./create_registry.ts";
import { createScheduler, type Scheduler } from "./create_scheduler.ts";
import type { ArrivedRequest } from "./create_upstream_choice.ts";
import { createUpstreamLimits } from "./create_upstream_limits.ts";
import { createWarmUpLimits } from "./create_warm_up_limits.ts";
import { createNoopLog } from "./event_log.ts";
import type { ServiceDefinition, UpstreamEntry } from "./ports.ts";

/** A VM of a simulation: what decides on calls, without connections. */
export interface SimulatedVm {
  host: string;
  dataCentre: string;
  registry: Registry;
  scheduler: Scheduler;
  network: PeerNetwork;
}

/** VMs that exchange their messages in simulated time. */
export interface FleetSimulation {
  now(): number;
  random(): number;
  /** Running VMs. */
  vms(): readonly SimulatedVm[];
  /** Starts the VMs: first those from which the others are discovered. */
  startAll(): void;
  /** Kills the VM; it starts again `downMs` later. */
  restart(host: string, downMs: number): void;
  /** Whether a VM exchanges messages with the others. */
  setCut(host: string, isCut: boolean): void;
  /** Runs an action after a simulated time in milliseconds. */
  after: Clock["after"];
  /** Plays until a time, in steps of a millisecond; `step` ends each step. */
  playUntil(untilMs: number, step?: () => void): Promise<void>;
}

/** What is simulated. */
export interface FleetSimulationOptions {
  vms: number;
  dataCentres: number;
  service: ServiceDefinition;
  /** Entries that a VM knows when it starts. */
  entries(): readonly UpstreamEntry[];
  /** Share of the datagrams that are lost. */
  lossShare: number;
  /** Longest time that a datagram takes, in milliseconds. */
  maxDelayMs: number;
}

/** Port of the simulated VMs. */
const PORT = 7340;
/** Hosts from which each VM discovers the others. */
const SEEDS = 3;
/** Time by which VMs start earlier or later than others, in milliseconds. */
const START_SPREAD_MS = 150;
/** Shortest time that a datagram takes, in milliseconds. */
const MIN_DELAY_MS = 2;

/** A fake socket; datagrams go to `send`. */
interface FakeSocket {
  receive(bytes: Uint8Array, from: string): void;
  socket: Socket;
}

function createFakeSocket(
  send: (bytes: Uint8Array, to: string) => void,
): FakeSocket {
  let onMessage: (bytes: Uint8Array, from: { address: string }) => void =
    () => {};
  const socket = {
    on(event: string, listener: typeof onMessage) {
      if (event === "message") onMessage = listener;
    },
    once() {},
    bind: (_port: number, _host: string, onBound: () => void) => onBound(),
    send: (bytes: Uint8Array, _port: number, to: string) => send(bytes, to),
    close() {},
  };
  return {
    receive: (bytes, address) => onMessage(bytes, { address }),
    socket: socket as unknown as Socket,
  };
}

/** Creates a simulation, in which no VM runs yet. */
export function createFleetSimulation(
  options: FleetSimulationOptions,
): FleetSimulation {
  const { vms, dataCentres, service, entries, lossShare, maxDelayMs } = options;
  const generator = xoroshiro128plus(vms);
  const random = () => uniformFloat64(generator);
  const hosts = Array.from({ length: vms }, (_, vm) => `vm-${1000 + vm}`);
  const dataCentreOf = (host: string) =>
    `dc-${hosts.indexOf(host) % dataCentres}`;
  const running = new Map<string, SimulatedVm & { socket: FakeSocket }>();
  const cut = new Set<string>();
  /** Actions by the millisecond in which they are due. */
  const due = new Map<number, (() => void)[]>();
  let nowMs = 1000;

  function at(ms: number, action: () => void): void {
    const dueMs = Math.max(nowMs + 1, Math.ceil(ms));
    const actions = due.get(dueMs);
    if (actions) actions.push(action);
    else due.set(dueMs, [action]);
  }

  const clock: Clock = {
    now: () => nowMs,
    wall: () => nowMs,
    after(delayMs, action) {
      let isCancelled = false;
      at(nowMs + delayMs, () => {
        if (!isCancelled) action();
      });
      return () => void (isCancelled = true);
    },
  };

  function deliver(bytes: Uint8Array, from: string, to: string): void {
    if (cut.has(from) || cut.has(to) || random() < lossShare) return;
    const delayMs = MIN_DELAY_MS + random() * (maxDelayMs - MIN_DELAY_MS);
    at(nowMs + delayMs, () => running.get(to)?.socket.receive(bytes, from));
  }

  async function start(host: string): Promise<void> {
    const dataCentre = dataCentreOf(host);
    const socket = createFakeSocket((bytes, to) => deliver(bytes, host, to));
    const log = createNoopLog();
    const registry = createRegistry({ clock, log });
    registry.setServices(() => service);
    const network = createPeerNetwork({
      clock,
      host,
      port: PORT,
      dataCentre,
      seeds: () => hosts.slice(0, SEEDS),
      heartbeatState: () => ({
        revision: 0,
        confirmedAgeMs: 0,
        calls: scheduler.ownCalls(),
        era: 0,
        configurationVersion: 1,
        factsDigest: 0,
        callLimits: [],
        lostServices: [],
        brittleServices: [],
        steadyReadAgeMs: 0,
        keepRemovedMs: 0,
        demand: [],
        isStopping: false,
        accountDemand: [],
      }),
      createSocket: () => socket.socket,
    });
    const statements = {
      clock,
      log,
      fleet: () => network.loadFleet(),
      publish() {},
    };
    const upstreamLimits = createUpstreamLimits({
      callLimits: createCallLimits(statements),
      brittleServices: createBrittleServices(statements),
      warmUpLimits: createWarmUpLimits({
        clock,
        network,
        findService: () => service,
      }),
    });
    const scheduler = createScheduler({
      clock,
      registry,
      network,
      upstreamLimits,
      overflow: { onRequest() {}, drawDataCentre: () => undefined },
      leavingCosts: { callMs: 0, kilobyteMs: 0 },
      dataCentre,
    });
    const onLoadEvents = createLoadEventHandler({
      clock,
      registry,
      upstreamLimits,
      facts: { merge() {} },
      origins: { onPeerOrigin() {} },
      dataCentre,
    });
    running.set(host, {
      host,
      dataCentre,
      registry,
      scheduler,
      network,
      socket,
    });
    for (const entry of entries()) registry.set(entry.id, entry);
    const listener: PeerListener = {
      onHeartbeat() {},
      onLoadEvents,
      onItems() {},
      onStreamQuery: () => undefined,
      onProcessLost() {},
      onMembership() {},
    };
    await network.start(listener);
  }

  return {
    now: () => nowMs,
    random,
    after: clock.after,
    vms: () => [...running.values()],
    startAll() {
      for (const [number, host] of hosts.entries()) {
        const delayMs = number < SEEDS ? 0 : START_SPREAD_MS * (1 + random());
        at(nowMs + delayMs, () => void start(host));
      }
    },
    restart(host, downMs) {
      running.get(host)?.network.close();
      running.delete(host);
      at(nowMs + downMs, () => void start(host));
    },
    setCut(host, isCut) {
      if (isCut) cut.add(host);
      else cut.delete(host);
    },
    async playUntil(untilMs, step = () => {}) {
      while (nowMs < untilMs) {
        nowMs++;
        const actions = due.get(nowMs);
        due.delete(nowMs);
        for (const action of actions ?? []) action();
        // The network announces itself to new members in `setImmediate`.
        if (actions) await new Promise(setImmediate);
        step();
      }
    },
  };
}

/** A request of the service that any upstream of it can serve. */
export function requestOf(
  service: ServiceDefinition,
  nowMs: number,
): ArrivedRequest {
  return {
    service,
    urgency: 0,
    rank: CallRank.Tight,
    prompt: undefined,
    maxPauseMs: Infinity,
    targetMs: 1000,
    arrivedMs: nowMs,
    expiresMs: nowMs + 1000,
    bodyBytes: 0,
    avoid: new Set(),
    softwareVersion: undefined,
    overflowTo: undefined,
  };
}
