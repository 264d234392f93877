import {
  handleMessage,
  type Link,
  type LinkIdentity,
  type PublishedVm,
  serveLinks,
} from "@rosemarytiller/link";
import {
  createFleetExchange,
  createFleetView,
  createHttpPlatform,
  createPeerLinks,
  FleetChangeKind,
  watchPlatform,
} from "@rosemarytiller/platform";
import { hashKey } from "@rosemarytiller/sessions";
import { createSystemClock, Role, sleep } from "@rosemarytiller/shared";
import {
  createStandInPlatform,
  type StandInPlatform,
} from "@rosemarytiller/standins";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { BenchFlags } from "./main.ts";

/** Number of brokers in each run; the last is the target size. */
const FLEET_SIZES = [8, 32, 102, 410];
const DATA_CENTRES = 8;
const PLATFORM_REPLICAS = 2;
const CHANGES = 5;
const UPSTREAMS = 40;
/** Time until the watches that all brokers open at startup have ended. */
const SETTLE_MS = 6000;
/** Time over which an idle fleet is measured. */
const IDLE_MS = 5000;
/**
 * Length of the outage: longer than 30 s, the age of the platform's data after
 * which every broker watches the platform for itself at the latest.
 */
const OUTAGE_MS = 32_000;
/** Time measured after the outage. */
const RECOVERY_MS = 20_000;
const DOCUMENT_KEY = "services/bench";

const clock = createSystemClock();

/** A broker reduced to the part that propagates configuration by gossip. */
interface GossipBroker {
  address: string;
  revision(): number;
  isWatching(): boolean;
  sentBytes(): number;
  linkCount(): number;
  /** Monotonic time at which the current revision took effect. */
  changedAtMs(): number;
  close(): void;
}

/** Results of a run; times in milliseconds. */
export interface PropagationFigures {
  brokers: number;
  meanLinks: number;
  watchers: number;
  /** Time from the first broker's start until all had the configuration. */
  startMs: number;
  /** Reads from the platform in that time. */
  startReads: number;
  /** Time until the last broker had the change; one per change, ascending. */
  changeMs: number[];
  /** Mean bytes sent by a broker per change, without idle traffic. */
  changeBytes: number;
  /** Bytes per second sent by an idle broker. */
  idleBytesPerSecond: number;
  /** Reads per second from the platform by an idle fleet. */
  idleReadsPerSecond: number;
}

/**
 * Measures gossip between brokers in one process over real links: propagation
 * time, bytes sent and reads from the platform by number of brokers. With
 * `only: "outage"`, measures the reads before, during and after an outage of
 * the platform at the largest size.
 */
export async function measurePropagation(flags: BenchFlags): Promise<void> {
  if (flags.only === "outage") {
    await measureOutage(FLEET_SIZES.at(-1)!);
    return;
  }
  for (const size of FLEET_SIZES) {
    if (flags.only && String(size) !== flags.only) continue;
    console.log(JSON.stringify(await measureSize(size)));
  }
}

async function measureSize(size: number): Promise<PropagationFigures> {
  const fleet = await startGossipFleet(size);
  const { platform, brokers, startMs, startReads } = fleet;
  await sleep(clock, SETTLE_MS);
  const idleReads = platform.requestCount();
  const idleBytes = totalBytes(brokers);
  await sleep(clock, IDLE_MS);
  const idleReadsPerSecond = (platform.requestCount() - idleReads) * 1000 /
    IDLE_MS;
  const idleBytesPerSecond = (totalBytes(brokers) - idleBytes) * 1000 /
    IDLE_MS /
    size;
  const changeMs: number[] = [];
  let bytes = 0;
  for (let change = 0; change < CHANGES; change++) {
    const before = totalBytes(brokers);
    const startedMs = clock.now();
    await publishAndWait(platform, brokers, change);
    const times = brokers.map((broker) => broker.changedAtMs() - startedMs);
    changeMs.push(Math.round(Math.max(...times)));
    const spentMs = clock.now() - startedMs;
    bytes += totalBytes(brokers) - before -
      idleBytesPerSecond * size * spentMs / 1000;
  }
  const links = brokers.reduce((sum, broker) => sum + broker.linkCount(), 0);
  const watchers = brokers.filter((broker) => broker.isWatching()).length;
  await fleet.close();
  return {
    brokers: size,
    meanLinks: round(links / size),
    watchers,
    startMs: Math.round(startMs),
    startReads,
    changeMs: changeMs.sort((left, right) => left - right),
    changeBytes: Math.round(bytes / CHANGES / size),
    idleBytesPerSecond: Math.round(idleBytesPerSecond),
    idleReadsPerSecond: round(idleReadsPerSecond),
  };
}

/** Measures reads per second from the platform around an outage of it. */
async function measureOutage(size: number): Promise<void> {
  const { platform, brokers, close } = await startGossipFleet(size);
  await sleep(clock, SETTLE_MS);
  async function report(phase: string, lengthMs: number): Promise<void> {
    const perSecond: number[] = [];
    for (let spentMs = 0; spentMs < lengthMs; spentMs += 1000) {
      const before = platform.requestCount();
      await sleep(clock, 1000);
      perSecond.push(platform.requestCount() - before);
    }
    const watching = brokers.filter((broker) => broker.isWatching()).length;
    const most = Math.max(...perSecond);
    console.log(
      JSON.stringify({ phase, brokers: size, watching, most, perSecond }),
    );
  }
  await report("before", 5000);
  platform.setFaults({ down: true });
  await report("outage", OUTAGE_MS);
  platform.setFaults({ down: false });
  await report("return", RECOVERY_MS);
  await close();
}

async function startGossipFleet(size: number) {
  const platform = await createStandInPlatform({ replicas: PLATFORM_REPLICAS });
  platform.publish(DOCUMENT_KEY, formatDocument(-1));
  const startedMs = clock.now();
  const brokers: GossipBroker[] = [];
  for (let index = 0; index < size; index++) {
    brokers.push(await startGossipBroker(index, platform.urls));
  }
  platform.setVms(
    brokers.map(({ address }, index) => createPublishedVm(index, address)),
  );
  await waitUntil(() => brokers.every((broker) => broker.revision() === 1));
  const startMs = clock.now() - startedMs;
  const startReads = platform.requestCount();
  async function close(): Promise<void> {
    for (const broker of brokers) broker.close();
    await platform.close();
  }
  return { platform, brokers, startMs, startReads, close };
}

async function startGossipBroker(
  index: number,
  urls: readonly string[],
): Promise<GossipBroker> {
  const { name: vm, dataCentre } = createPublishedVm(index, "");
  const identity: LinkIdentity = {
    vm,
    role: Role.Broker,
    incarnation: "1",
    key: "a link key for measurements",
  };
  const view = createFleetView({ clock });
  const exchange = createFleetExchange(view, { clock, role: Role.Broker });
  const links = new Set<Link>();
  let endedBytes = 0;
  let changedAtMs = 0;
  async function serve(link: Link): Promise<void> {
    links.add(link);
    exchange.addLink(link);
    await link.messages.observe((message) =>
      handleMessage(exchange.handlers, message, link)
    );
    links.delete(link);
    endedBytes += link.traffic().sentBytes;
    exchange.removeLink(link);
  }
  const peers = createPeerLinks(view, {
    identity,
    dataCentre,
    seeds: [],
    linkAddresses: {},
    clock,
    serve,
  });
  void view.changes.observe(({ kind }) => {
    if (kind === FleetChangeKind.Document) changedAtMs = clock.now();
    if (kind !== FleetChangeKind.VmList) return;
    peers.update();
    exchange.expectPeers(peers.vms());
  });
  const server = createServer();
  const accepting = serveLinks(server, identity, { clock, serve });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const platform = createHttpPlatform(urls);
  const watch = watchPlatform(view, { platform, clock, vm, dataCentre });
  return {
    address: `127.0.0.1:${port}`,
    revision: view.revision,
    isWatching: watch.isWatching,
    linkCount: () => links.size,
    changedAtMs: () => changedAtMs,
    sentBytes() {
      let bytes = endedBytes;
      for (const link of links) bytes += link.traffic().sentBytes;
      return bytes;
    },
    close() {
      watch.stop();
      exchange.stop();
      peers.close();
      accepting.close();
      server.closeAllConnections();
      server.close();
    },
  };
}

function createPublishedVm(index: number, broker: string): PublishedVm {
  return {
    name: `vm-${index}`,
    dataCentre: `dc-${index % DATA_CENTRES}`,
    region: `region-${index % 2}`,
    kind: "entry",
    state: "live",
    broker,
    entryAdmin: "",
  };
}

/** Formats a service document that differs for each change number. */
function formatDocument(change: number): string {
  const upstreams = Array.from({ length: UPSTREAMS }, (_, index) => [
    `runner-${index}`,
    {
      kind: "model-runner",
      serves: ["small"],
      dataCentre: "dc-0",
      vm: `runner-vm-${index}`,
      address: "http://127.0.0.1:1",
      maxConcurrent: 8,
    },
  ]);
  return JSON.stringify({
    service: "bench",
    dataCentres: { "dc-0": { region: `change${change}` } },
    clients: { bench: { keys: [hashKey("bench")] } },
    upstreams: Object.fromEntries(upstreams),
    classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 1000 }],
  });
}

async function publishAndWait(
  platform: StandInPlatform,
  brokers: readonly GossipBroker[],
  change: number,
): Promise<void> {
  const revision = platform.publish(DOCUMENT_KEY, formatDocument(change));
  await waitUntil(() =>
    brokers.every((broker) => broker.revision() === revision)
  );
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(clock, 5);
}

function totalBytes(brokers: readonly GossipBroker[]): number {
  return brokers.reduce((sum, broker) => sum + broker.sentBytes(), 0);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
