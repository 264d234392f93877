import type { PublishedVm } from "@rosemarytiller/link";
import { type Fleet, startFleet } from "@rosemarytiller/sessions";
import { build } from "hdr-histogram-js";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { formatBenchDocument } from "./format_bench_document.ts";
import { fitSlope } from "./fit_slope.ts";
import type { BenchFlags } from "./main.ts";
import { runStreams } from "./measure_data_path.ts";
import { readCpuMs, readMemoryBytes } from "./read_process_usage.ts";
import {
  type EngineProcess,
  startEngineProcess,
} from "./start_engine_process.ts";
import { clientVmName, startPermitClients } from "./start_permit_clients.ts";

/** Names of the measured slopes; docs/CAPACITY.md is computed from them. */
export enum SlopeName {
  BrokerCpuPerPermit = "broker-cpu-us-per-permit",
  EntryCpuPerPermit = "entry-cpu-us-per-permit",
  BytesPerPermit = "bytes-per-permit",
  BrokerCpuPerLink = "broker-cpu-us-per-link-second",
  BytesPerLink = "bytes-per-link-second",
  BrokerMemoryPerLink = "broker-memory-bytes-per-link",
  BrokerCpuPerListedVm = "broker-cpu-us-per-vm-of-a-list-change",
  BrokerCpuPerUpstream = "broker-cpu-us-per-upstream-of-a-document-change",
  EntryCpuPerUpstream = "entry-cpu-us-per-upstream-of-a-document-change",
  BrokerMemoryPerUpstream = "broker-memory-bytes-per-upstream",
  EntryCpuPerToken = "entry-cpu-us-per-token",
  EntryMemoryPerStream = "entry-memory-bytes-per-stream",
  EntryMemoryPerConnection = "entry-memory-bytes-per-connection",
}

const MAX_ENGINE_CALLS = 1200;
const TOKEN_MS = 30;
const PERMIT_RATES = [200, 400, 800, 1600];
const LINK_COUNTS = [10, 20, 40, 80];
const LIST_SIZES = [50, 200, 400, 800];
const UPSTREAM_COUNTS = [50, 200, 500, 1500];
const STREAM_COUNTS = [50, 100, 200, 400];
const CONNECTION_COUNTS = [250, 500, 1000, 2000];
const CHANGES_PER_SIZE = 20;
/** Pause after clients connect or disconnect, for the fleet to settle. */
const SETTLE_MS = 2000;

interface Testbed {
  fleet: Fleet;
  engine: EngineProcess;
}

type Measurement = (testbed: Testbed, flags: BenchFlags) => Promise<void>;

const MEASUREMENTS: Record<string, Measurement> = {
  permits: measurePermits,
  links: measureLinks,
  lists: measureLists,
  documents: measureDocuments,
  streams: measureStreams,
  connections: measureConnections,
};

/**
 * Measures how costs grow with load and size. Prints the slopes, and the wait
 * for permits at each rate, as JSON lines. docs/CAPACITY.md is computed from
 * the slopes.
 */
export async function measureCapacity(flags: BenchFlags): Promise<void> {
  for (const [name, measurement] of Object.entries(MEASUREMENTS)) {
    if (flags.only && flags.only !== name) continue;
    const engine = await startEngineProcess({
      capacity: MAX_ENGINE_CALLS,
      tokenMs: TOKEN_MS,
    });
    const fleet = await startFleet({
      dataCentres: ["north"],
      upstreamVms: { "engine-vm": "north" },
      document: formatCapacityDocument(engine, 0),
    });
    await fleet.waitUntilReady();
    try {
      await measurement({ fleet, engine }, flags);
    } finally {
      await fleet.stop();
      engine.child.kill();
    }
  }
}

function formatCapacityDocument(
  engine: EngineProcess,
  idleUpstreams: number,
): string {
  return formatBenchDocument({
    engine: engine.url,
    maxConcurrent: 4096,
    idleUpstreams,
  });
}

async function measurePermits(
  testbed: Testbed,
  flags: BenchFlags,
): Promise<void> {
  const clientCount = 10;
  await publishClientVms(testbed.fleet, clientCount);
  const { broker } = testbed.fleet.vms[0];
  const clients = await startPermitClients(testbed.fleet, clientCount);
  const seconds = Math.min(flags.seconds, 8);
  await pause(SETTLE_MS);
  await runPermitRequests(clients.acquireAndRelease, { rate: 400, seconds: 3 });
  const brokerCpu: Point[] = [];
  const clientCpu: Point[] = [];
  const bytes: Point[] = [];
  for (const rate of PERMIT_RATES) {
    const before = { cpuMs: readCpuMs(broker), bytes: clients.relayedBytes() };
    const usageBefore = process.cpuUsage();
    const { times, count } = await runPermitRequests(
      clients.acquireAndRelease,
      {
        rate,
        seconds,
      },
    );
    const cpuUsage = process.cpuUsage(usageBefore);
    const size = count / seconds;
    const perSecond = (total: number) => total / seconds;
    brokerCpu.push({
      size,
      value: perSecond(readCpuMs(broker) - before.cpuMs) * 1000,
    });
    clientCpu.push({ size, value: perSecond(cpuUsage.user + cpuUsage.system) });
    bytes.push({
      size,
      value: perSecond(clients.relayedBytes() - before.bytes),
    });
    console.log(JSON.stringify({
      permitsPerSecond: Math.round(size),
      waitP50Ms: times.getValueAtPercentile(50) / 1000,
      waitP99Ms: times.getValueAtPercentile(99) / 1000,
    }));
  }
  reportSlope(SlopeName.BrokerCpuPerPermit, brokerCpu);
  reportSlope(SlopeName.EntryCpuPerPermit, clientCpu);
  reportSlope(SlopeName.BytesPerPermit, bytes);
  await clients.close();
}

interface Point {
  size: number;
  value: number;
}

async function runPermitRequests(
  acquireAndRelease: (index: number) => Promise<number>,
  options: { rate: number; seconds: number },
) {
  const times = build({ numberOfSignificantValueDigits: 3 });
  const { rate, seconds } = options;
  const startMs = performance.now();
  const running: Promise<void>[] = [];
  let count = 0;
  while (performance.now() - startMs < seconds * 1000) {
    const due = (performance.now() - startMs) / 1000 * rate;
    for (; count < due; count++) {
      running.push(
        acquireAndRelease(count).then((ms) =>
          times.recordValue(Math.round(ms * 1000))
        ),
      );
    }
    await pause(2);
  }
  await Promise.all(running);
  return { times, count };
}

async function measureLinks(
  testbed: Testbed,
  flags: BenchFlags,
): Promise<void> {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  const memory: Point[] = [];
  const seconds = Math.min(flags.seconds, 8);
  for (const count of LINK_COUNTS) {
    await publishClientVms(testbed.fleet, count);
    const clients = await startPermitClients(testbed.fleet, count);
    for (let index = 0; index < count; index++) {
      await clients.acquireAndRelease(index);
    }
    await pause(SETTLE_MS);
    const { broker } = testbed.fleet.vms[0];
    const before = { cpuMs: readCpuMs(broker), bytes: clients.relayedBytes() };
    await pause(seconds * 1000);
    const perSecond = (total: number) => total / seconds;
    cpu.push({
      size: count,
      value: perSecond(readCpuMs(broker) - before.cpuMs) * 1000,
    });
    bytes.push({
      size: count,
      value: perSecond(clients.relayedBytes() - before.bytes),
    });
    memory.push({ size: count, value: readMemoryBytes(broker) });
    await clients.close();
    await pause(SETTLE_MS);
  }
  reportSlope(SlopeName.BrokerCpuPerLink, cpu);
  reportSlope(SlopeName.BytesPerLink, bytes);
  reportSlope(SlopeName.BrokerMemoryPerLink, memory);
}

/**
 * Publishes a VM list with the clients and restarts the broker, so that it does
 * not treat them as VMs that have just joined.
 */
async function publishClientVms(fleet: Fleet, count: number): Promise<void> {
  const [vm] = fleet.vms;
  const exited = once(vm.broker, "exit");
  vm.broker.kill("SIGKILL");
  await exited;
  fleet.platform.setVms(createVmListWithClients(fleet, count));
  vm.restart("broker");
  await fleet.waitReady(vm.brokerAddress);
}

/** Loopback address on which nothing listens. */
const UNUSED_ADDRESS = "127.0.0.1:9";

function createVmListWithClients(fleet: Fleet, count: number) {
  const [vm] = fleet.vms;
  const list: PublishedVm[] = [
    createEntryVm(vm.name, vm.brokerAddress, "north"),
    createUpstreamVm("engine-vm"),
  ];
  for (let index = 0; index < count; index++) {
    list.push(createEntryVm(clientVmName(index), UNUSED_ADDRESS, "south"));
  }
  return list;
}

function createUpstreamVm(name: string): PublishedVm {
  return { ...createEntryVm(name, "", "north"), kind: "upstream" };
}

function createEntryVm(
  name: string,
  broker: string,
  dataCentre: string,
): PublishedVm {
  return {
    name,
    dataCentre,
    region: "one",
    kind: "entry",
    state: "live",
    broker,
    entryAdmin: UNUSED_ADDRESS,
  };
}

async function measureLists(testbed: Testbed): Promise<void> {
  const { broker } = testbed.fleet.vms[0];
  const cpu: Point[] = [];
  for (const size of LIST_SIZES) {
    const list = createVmListWithClients(testbed.fleet, 0);
    for (let index = 0; index < size; index++) {
      // Upstream VMs change the list without adding links.
      list.push(createUpstreamVm(`upstream-${index}`));
    }
    const before = readCpuMs(broker);
    await publishChanges(() => testbed.fleet.platform.setVms([...list]));
    cpu.push({
      size,
      value: (readCpuMs(broker) - before) * 1000 / CHANGES_PER_SIZE,
    });
  }
  reportSlope(SlopeName.BrokerCpuPerListedVm, cpu);
}

async function measureDocuments(testbed: Testbed): Promise<void> {
  const { broker, entry } = testbed.fleet.vms[0];
  const brokerCpu: Point[] = [];
  const entryCpu: Point[] = [];
  const memory: Point[] = [];
  for (const size of UPSTREAM_COUNTS) {
    const text = formatCapacityDocument(testbed.engine, size);
    const before = { broker: readCpuMs(broker), entry: readCpuMs(entry) };
    await publishChanges((change) =>
      testbed.fleet.platform.publish(
        "services/test",
        `${text}\n// change ${change}`,
      )
    );
    const microsPerChange = (totalMs: number) =>
      totalMs * 1000 / CHANGES_PER_SIZE;
    brokerCpu.push({
      size,
      value: microsPerChange(readCpuMs(broker) - before.broker),
    });
    entryCpu.push({
      size,
      value: microsPerChange(readCpuMs(entry) - before.entry),
    });
    memory.push({ size, value: readMemoryBytes(broker) });
  }
  reportSlope(SlopeName.BrokerCpuPerUpstream, brokerCpu);
  reportSlope(SlopeName.EntryCpuPerUpstream, entryCpu);
  reportSlope(SlopeName.BrokerMemoryPerUpstream, memory);
}

async function publishChanges(
  publish: (change: number) => void,
): Promise<void> {
  for (let change = 0; change < CHANGES_PER_SIZE; change++) {
    publish(change);
    await pause(CHANGE_GAP_MS);
  }
}

/** Pause after each published change. */
const CHANGE_GAP_MS = 250;

async function measureStreams(
  testbed: Testbed,
  flags: BenchFlags,
): Promise<void> {
  const { entry, url } = testbed.fleet.vms[0];
  const cpu: Point[] = [];
  const memory: Point[] = [];
  const seconds = Math.min(flags.seconds, 8);
  const tokens = Math.ceil(seconds * 1000 / TOKEN_MS);
  await runStreams(url, { streams: 50, tokens: 50 });
  for (const streams of STREAM_COUNTS) {
    const before = readCpuMs(entry);
    const running = runStreams(url, { streams, tokens });
    await pause(seconds * 500);
    memory.push({ size: streams, value: readMemoryBytes(entry) });
    await running;
    cpu.push({
      size: streams * tokens,
      value: (readCpuMs(entry) - before) * 1000,
    });
  }
  reportSlope(SlopeName.EntryCpuPerToken, cpu);
  reportSlope(SlopeName.EntryMemoryPerStream, memory);
}

async function measureConnections(testbed: Testbed): Promise<void> {
  const { entry, url } = testbed.fleet.vms[0];
  const { port } = new URL(url);
  const sockets: Socket[] = [];
  const memory: Point[] = [];
  for (const size of CONNECTION_COUNTS) {
    while (sockets.length < size) {
      const socket = connect(Number(port), "127.0.0.1");
      await once(socket, "connect");
      sockets.push(socket);
    }
    await pause(500);
    memory.push({ size, value: readMemoryBytes(entry) });
  }
  for (const socket of sockets) socket.destroy();
  reportSlope(SlopeName.EntryMemoryPerConnection, memory);
}

function reportSlope(name: SlopeName, points: Point[]): void {
  const { perUnit, base, fit } = fitSlope(points);
  console.log(JSON.stringify({
    slope: name,
    perUnit: Number(perUnit.toPrecision(4)),
    base: Number(base.toPrecision(4)),
    fit: Number(fit.toPrecision(4)),
    points: points.map(({ size, value }) => [
      Math.round(size),
      Math.round(value),
    ]),
  }));
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
