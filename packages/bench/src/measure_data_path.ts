import { startFleet } from "@rosemarytiller/sessions";
import { build } from "hdr-histogram-js";
import type { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import { BENCH_KEY, formatBenchDocument } from "./format_bench_document.ts";
import type { BenchFlags } from "./main.ts";
import { readCpuMs, readMemoryBytes } from "./read_process_usage.ts";
import { startEngineProcess } from "./start_engine_process.ts";

const STREAM_COUNTS = [1, 100, 1000];
const TOKEN_MS = 30;
const MAX_ENGINE_CALLS = 1200;
const SEQUENTIAL_CALLS = 300;
const WARM_UP_CALLS = 100;

interface StreamFigures {
  firstTokenP50Ms: number;
  firstTokenP95Ms: number;
  gapP50Ms: number;
  gapP95Ms: number;
  tokensPerSecond: number;
  whole: number;
}

/**
 * Compares streams through one entry with streams read directly from the
 * engine. Prints one JSON line for sequential calls, then one per number of
 * streams with latency, throughput, and the entry's CPU time and memory.
 */
export async function measureDataPath(flags: BenchFlags): Promise<void> {
  const engine = await startEngineProcess({
    capacity: MAX_ENGINE_CALLS,
    tokenMs: TOKEN_MS,
  });
  const fleet = await startFleet({
    dataCentres: ["north"],
    upstreamVms: { "engine-vm": "north" },
    document: formatBenchDocument({
      engine: engine.url,
      maxConcurrent: MAX_ENGINE_CALLS,
    }),
  });
  await fleet.waitUntilReady();
  const [vm] = fleet.vms;
  await measureFirstToken(engine.url, vm.url);
  for (const streams of STREAM_COUNTS) {
    const tokens = Math.ceil(flags.seconds * 1000 / TOKEN_MS);
    await runStreams(vm.url, { streams, tokens: 3 });
    const direct = await runStreams(engine.url, { streams, tokens });
    const before = readCpuMs(vm.entry);
    const memoryBefore = readMemoryBytes(vm.entry);
    const routed = await runStreams(vm.url, { streams, tokens });
    const cpuMs = readCpuMs(vm.entry) - before;
    const frames = streams * tokens;
    console.log(JSON.stringify({
      streams,
      direct,
      routed,
      addedFirstTokenP50Ms: round(
        routed.firstTokenP50Ms - direct.firstTokenP50Ms,
      ),
      addedGapP95Ms: round(routed.gapP95Ms - direct.gapP95Ms),
      entryCpuMs: round(cpuMs),
      entryCpuMicrosPerToken: round(cpuMs * 1000 / frames),
      entryMemoryBytes: readMemoryBytes(vm.entry),
      entryMemoryBefore: memoryBefore,
    }));
  }
  await fleet.stop();
  engine.child.kill();
}

/** Sends sequential calls, alternating between direct and routed. */
async function measureFirstToken(
  direct: string,
  routed: string,
): Promise<void> {
  const figures: Record<string, number[]> = { direct: [], routed: [] };
  for (let call = 0; call < SEQUENTIAL_CALLS; call++) {
    for (const [route, url] of Object.entries({ direct, routed })) {
      const options = { streams: 1, tokens: 3 };
      const { firstTokenP50Ms } = await runStreams(url, options);
      if (call >= WARM_UP_CALLS) figures[route].push(firstTokenP50Ms);
    }
  }
  const directMs = median(figures.direct);
  const routedMs = median(figures.routed);
  console.log(JSON.stringify({
    sequentialCalls: SEQUENTIAL_CALLS - WARM_UP_CALLS,
    directP50Ms: directMs,
    routedP50Ms: routedMs,
    addedP50Ms: round(routedMs - directMs),
  }));
}

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[values.length >> 1];
}

/**
 * Reads concurrent streams from the base URL of an engine or an entry. Figures
 * are over all streams; `whole` counts those that ended with `[DONE]`.
 */
export async function runStreams(
  base: string,
  options: { streams: number; tokens: number },
): Promise<StreamFigures> {
  const dispatcher = new Agent({ pipelining: 1, connections: null });
  const firstTokenTimes = build({ numberOfSignificantValueDigits: 3 });
  const gaps = build({ numberOfSignificantValueDigits: 3 });
  const startMs = performance.now();
  let whole = 0;
  let received = 0;
  async function readStream(index: number): Promise<void> {
    // Staggers the starts so that the first tokens do not coincide.
    const spreadMs = Math.min(1000, options.streams) * index / options.streams;
    await new Promise((resolve) => setTimeout(resolve, spreadMs));
    const startedMs = performance.now();
    const { body } = await request(`${base}/v1/chat/completions`, {
      dispatcher,
      method: "POST",
      headers: {
        authorization: `Bearer ${BENCH_KEY}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "small",
        stream: true,
        max_tokens: options.tokens,
        messages: [{ role: "user", content: `stream ${index}` }],
      }),
    });
    let lastMs = 0;
    for await (const chunk of body as AsyncIterable<Buffer>) {
      const nowMs = performance.now();
      if (lastMs === 0) firstTokenTimes.recordValue((nowMs - startedMs) * 1000);
      else gaps.recordValue((nowMs - lastMs) * 1000);
      lastMs = nowMs;
      const text = chunk.toString("latin1");
      received += text.split('"content":').length - 1;
      if (text.includes("[DONE]")) whole++;
    }
  }
  const running: Promise<void>[] = [];
  for (let index = 0; index < options.streams; index++) {
    running.push(readStream(index));
  }
  await Promise.all(running);
  await dispatcher.destroy();
  const elapsedMs = performance.now() - startMs;
  const millis = (micros: number) => round(micros / 1000);
  return {
    firstTokenP50Ms: millis(firstTokenTimes.getValueAtPercentile(50)),
    firstTokenP95Ms: millis(firstTokenTimes.getValueAtPercentile(95)),
    gapP50Ms: millis(gaps.getValueAtPercentile(50)),
    gapP95Ms: millis(gaps.getValueAtPercentile(95)),
    tokensPerSecond: Math.round(received * 1000 / elapsedMs),
    whole,
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
