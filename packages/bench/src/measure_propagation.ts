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

/** Brokers of one process for each run; the last is the target size. */
const SIZES = [8, 32, 102, 410];
const DATA_CENTRES = 8;
const REPLICAS = 2;
const CHANGES = 5;
const UPSTREAMS = 40;
/** Time in which the watches of the start come to their end. */
const SETTLE_MS = 6000;
/** Time over which an idle fleet is watched, in milliseconds. */
const IDLE_MS = 5000;
/** Length of the outage, beyond the age at which all watch, and after it. */
const OUTAGE_MS = 32_000;
const RETURN_MS = 20_000;
const KEY = "services/bench";

const clock = createSystemClock();

/** The part of a broker that hands configuration on. */
interface Node {
  address: string;
  revision(): number;
  watching(): boolean;
  sentBytes(): number;
  linkCount(): number;
  /** Monotonic time at which the revision in force came in force. */
  changedAtMs(): number;
  close(): void;
}

/** What a run gave; times in milliseconds. */
export interface PropagationFigures {
  brokers: number;
  meanLinks: number;
  watchers: number;
  /** Time until all brokers had everything after the start of all at once. */
  startMs: number;
  /** Reads at the platform in that time. */
  startReads: number;
  /** Time until the last broker had a change, for each change, sorted. */
  changeMs: number[];
  /** Bytes sent by a broker for one change, idle bytes taken off. */
  changeBytes: number;
  /** Bytes a second sent by an idle broker. */
  idleBytesPerSecond: number;
  /** Reads a second at the platform by an idle fleet. */
  idleReadsPerSecond: number;
}

/**
 * Measures the gossip of brokers in one process over real links: propagation
 * time, bytes and reads at the platform by number of brokers. With
 * `only: "outage"`, the reads around an outage at the largest size.
 */
export async function measurePropagation(flags: BenchFlags): Promise<void> {
  if (flags.only === "outage") {
    await measureOutage(SIZES.at(-1)!);
    return;
  }
  for (const size of SIZES) {
    if (flags.only && String(size) !== flags.only) continue;
    console.log(JSON.stringify(await measureSize(size)));
  }
}

async function measureSize(size: number): Promise<PropagationFigures> {
  const fleet = await startNodes(size);
  const { platform, nodes, startMs, startReads } = fleet;
  await sleep(clock, SETTLE_MS);
  const idleReads = platform.reads();
  const idleBytes = totalBytes(nodes);
  await sleep(clock, IDLE_MS);
  const idleReadsPerSecond = (platform.reads() - idleReads) * 1000 / IDLE_MS;
  const idleBytesPerSecond = (totalBytes(nodes) - idleBytes) * 1000 / IDLE_MS /
    size;
  const changeMs: number[] = [];
  let bytes = 0;
  for (let change = 0; change < CHANGES; change++) {
    const before = totalBytes(nodes);
    const startedMs = clock.now();
    await publishAndWait(platform, nodes, change);
    const times = nodes.map((node) => node.changedAtMs() - startedMs);
    changeMs.push(Math.round(Math.max(...times)));
    const spentMs = clock.now() - startedMs;
    bytes += totalBytes(nodes) - before -
      idleBytesPerSecond * size * spentMs / 1000;
  }
  const links = nodes.reduce((sum, node) => sum + node.linkCount(), 0);
  const watchers = nodes.filter((node) => node.watching()).length;
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

/** Reads a second at the platform before, in and after an outage. */
async function measureOutage(size: number): Promise<void> {
  const { platform, nodes, close } = await startNodes(size);
  await sleep(clock, SETTLE_MS);
  async function report(phase: string, lengthMs: number): Promise<void> {
    const perSecond: number[] = [];
    for (let spentMs = 0; spentMs < lengthMs; spentMs += 1000) {
      const before = platform.reads();
      await sleep(clock, 1000);
      perSecond.push(platform.reads() - before);
    }
    const watching = nodes.filter((node) => node.watching()).length;
    const most = Math.max(...perSecond);
    console.log(
      JSON.stringify({ phase, brokers: size, watching, most, perSecond }),
    );
  }
  await report("before", 5000);
  platform.setFaults({ down: true });
  await report("outage", OUTAGE_MS);
  platform.setFaults({ down: false });
  await report("return", RETURN_MS);
  await close();
}

async function startNodes(size: number) {
  const platform = await createStandInPlatform({ replicas: REPLICAS });
  platform.publish(KEY, textOf(-1));
  const startedMs = clock.now();
  const nodes: Node[] = [];
  for (let index = 0; index < size; index++) {
    nodes.push(await startNode(index, platform.urls));
  }
  platform.setVms(nodes.map(({ address }, index) => listVm(index, address)));
  await waitFor(() => nodes.every((node) => node.revision() === 1));
  const startMs = clock.now() - startedMs;
  const startReads = platform.reads();
  async function close(): Promise<void> {
    for (const node of nodes) node.close();
    await platform.close();
  }
  return { platform, nodes, startMs, startReads, close };
}

async function startNode(
  index: number,
  urls: readonly string[],
): Promise<Node> {
  const { name: vm, dataCentre } = listVm(index, "");
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
    exchange.open(link);
    await link.messages.observe((message) =>
      handleMessage(exchange.handlers, message, link)
    );
    links.delete(link);
    endedBytes += link.traffic().sentBytes;
    exchange.close(link);
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
    watching: watch.isWatching,
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

function listVm(index: number, broker: string): PublishedVm {
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

/** A document of the given change. */
function textOf(change: number): string {
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
  nodes: readonly Node[],
  change: number,
): Promise<void> {
  const revision = platform.publish(KEY, textOf(change));
  await waitFor(() => nodes.every((node) => node.revision() === revision));
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(clock, 5);
}

function totalBytes(nodes: readonly Node[]): number {
  return nodes.reduce((sum, node) => sum + node.sentBytes(), 0);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
