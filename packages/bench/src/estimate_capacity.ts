import { readFileSync } from "node:fs";
import type { BenchFlags } from "./main.ts";
import { SlopeName } from "./measure_capacity.ts";

/** File with the slopes that `npm run bench -- capacity` printed. */
export const SLOPES_FILE = "docs/measurements/capacity.jsonl";

const DAEMONS = 410;
const REQUESTS_PER_SECOND = 18_000;
const TOKENS_PER_SECOND = 6_500_000;
const UPSTREAMS = 1500;
const CHANGES_PER_DAY = 4600;
const SECONDS_PER_DAY = 86_400;
const DATA_CENTRES = 8;
/** Links at a broker: the entries of its data centre. */
const LINKS = Math.ceil(DAEMONS / DATA_CENTRES);
/** Time between two tokens of a stream; it gives the streams open at once. */
const TOKEN_GAP_SECONDS = 0.03;

/** A worked-out cost of one daemon at the target size. */
export interface Estimate {
  role: string;
  line: string;
  value: number;
  unit: string;
}

/** Works out the cost of one daemon from measured slopes. */
export function estimateCapacity(slopes: Map<string, number>): Estimate[] {
  const slope = (name: SlopeName) => slopes.get(name) ?? NaN;
  const permits = REQUESTS_PER_SECOND / DAEMONS;
  const tokens = TOKENS_PER_SECOND / DAEMONS;
  const streams = tokens * TOKEN_GAP_SECONDS;
  const changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
  const cpu = (role: string, line: string, micros: number): Estimate => ({
    role,
    line,
    value: micros / 10_000,
    unit: "% of a core",
  });
  return [
    cpu("broker", "permits", permits * slope(SlopeName.BrokerCpuPerPermit)),
    cpu("broker", "links", LINKS * slope(SlopeName.BrokerCpuPerLink)),
    cpu(
      "broker",
      "changes of documents",
      changes * UPSTREAMS * slope(SlopeName.BrokerCpuPerUpstream),
    ),
    cpu("entry", "permits", permits * slope(SlopeName.ClientCpuPerPermit)),
    cpu("entry", "tokens", tokens * slope(SlopeName.EntryCpuPerToken)),
    bytes("both", "permits", permits * slope(SlopeName.BytesPerPermit)),
    bytes("both", "links", LINKS * slope(SlopeName.BytesPerLink)),
    memory("broker", "links", LINKS * slope(SlopeName.BrokerMemoryPerLink)),
    memory(
      "broker",
      "upstreams of the documents",
      UPSTREAMS * slope(SlopeName.BrokerMemoryPerUpstream),
    ),
    memory("entry", "streams", streams * slope(SlopeName.EntryMemoryPerStream)),
  ];
}

function bytes(role: string, line: string, value: number): Estimate {
  return { role, line, value: value / 1000, unit: "KB/s" };
}

function memory(role: string, line: string, value: number): Estimate {
  return { role, line, value: value / 1_000_000, unit: "MB" };
}

/** Prints the costs at the target size as rows of a table. */
export function printEstimate(_flags: BenchFlags): Promise<void> {
  const slopes = new Map<string, number>();
  for (const line of readFileSync(SLOPES_FILE, "utf8").split("\n")) {
    if (!line.startsWith("{")) continue;
    const { slope, perUnit } = JSON.parse(line);
    if (slope) slopes.set(slope, perUnit);
  }
  for (const { role, line, value, unit } of estimateCapacity(slopes)) {
    console.log(`| ${role} | ${line} | ${value.toPrecision(3)} ${unit} |`);
  }
  return Promise.resolve();
}
