import { readFileSync } from "node:fs";
import type { BenchFlags } from "./main.ts";
import { SlopeName } from "./measure_capacity.ts";

/**
 * File with the output of `npm run bench -- capacity`; lines that are not JSON
 * objects are skipped.
 */
export const SLOPES_FILE = "docs/measurements/capacity.jsonl";

// Target size of the fleet. Each entry VM runs an entry and a broker.
const VMS = 410;
const REQUESTS_PER_SECOND = 18_000;
const TOKENS_PER_SECOND = 6_500_000;
const UPSTREAMS = 1500;
const CHANGES_PER_DAY = 4600;
const SECONDS_PER_DAY = 86_400;
const DATA_CENTRES = 8;
/** A broker has one link to each entry of its data centre. */
const LINKS_PER_BROKER = Math.ceil(VMS / DATA_CENTRES);
/** Time between two tokens of a stream; determines the concurrent streams. */
const TOKEN_GAP_SECONDS = 0.03;

/** Estimated cost of one kind of work to one process at the target size. */
export interface Estimate {
  role: string;
  item: string;
  value: number;
  unit: string;
}

/**
 * Estimates the costs of one entry and one broker at the target size from
 * measured slopes, by `SlopeName`. The value is NaN where a slope is missing.
 */
export function estimateCapacity(slopes: Map<string, number>): Estimate[] {
  const slope = (name: SlopeName) => slopes.get(name) ?? NaN;
  const permits = REQUESTS_PER_SECOND / VMS;
  const tokens = TOKENS_PER_SECOND / VMS;
  const streams = tokens * TOKEN_GAP_SECONDS;
  const changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
  const createCpuEstimate = (
    role: string,
    item: string,
    cpuMicrosPerSecond: number,
  ): Estimate => ({
    role,
    item,
    value: cpuMicrosPerSecond / 10_000,
    unit: "% of a core",
  });
  return [
    createCpuEstimate(
      "broker",
      "permits",
      permits * slope(SlopeName.BrokerCpuPerPermit),
    ),
    createCpuEstimate(
      "broker",
      "links",
      LINKS_PER_BROKER * slope(SlopeName.BrokerCpuPerLink),
    ),
    createCpuEstimate(
      "broker",
      "changes of documents",
      changes * UPSTREAMS * slope(SlopeName.BrokerCpuPerUpstream),
    ),
    createCpuEstimate(
      "entry",
      "permits",
      permits * slope(SlopeName.EntryCpuPerPermit),
    ),
    createCpuEstimate(
      "entry",
      "tokens",
      tokens * slope(SlopeName.EntryCpuPerToken),
    ),
    createTrafficEstimate(
      "both",
      "permits",
      permits * slope(SlopeName.BytesPerPermit),
    ),
    createTrafficEstimate(
      "both",
      "links",
      LINKS_PER_BROKER * slope(SlopeName.BytesPerLink),
    ),
    createMemoryEstimate(
      "broker",
      "links",
      LINKS_PER_BROKER * slope(SlopeName.BrokerMemoryPerLink),
    ),
    createMemoryEstimate(
      "broker",
      "upstreams of the documents",
      UPSTREAMS * slope(SlopeName.BrokerMemoryPerUpstream),
    ),
    createMemoryEstimate(
      "entry",
      "streams",
      streams * slope(SlopeName.EntryMemoryPerStream),
    ),
  ];
}

function createTrafficEstimate(
  role: string,
  item: string,
  value: number,
): Estimate {
  return { role, item, value: value / 1000, unit: "KB/s" };
}

function createMemoryEstimate(
  role: string,
  item: string,
  value: number,
): Estimate {
  return { role, item, value: value / 1_000_000, unit: "MB" };
}

/**
 * Prints the estimated costs at the target size as Markdown table rows. Throws
 * if `SLOPES_FILE` cannot be read.
 */
export function printEstimate(_flags: BenchFlags): Promise<void> {
  const slopes = new Map<string, number>();
  for (const line of readFileSync(SLOPES_FILE, "utf8").split("\n")) {
    if (!line.startsWith("{")) continue;
    const { slope, perUnit } = JSON.parse(line);
    if (slope) slopes.set(slope, perUnit);
  }
  for (const { role, item, value, unit } of estimateCapacity(slopes)) {
    console.log(`| ${role} | ${item} | ${value.toPrecision(3)} ${unit} |`);
  }
  return Promise.resolve();
}
