import { type Fleet, startFleet } from "@rosemarytiller/sessions";
import { EventKind, LogPart, useLog } from "@rosemarytiller/shared";
import {
  collectTimelines,
  formatEventsAsHtml,
  type OrderedEvent,
  orderEvents,
} from "@rosemarytiller/timeline";
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { type PreparedDocument, prepareDocument } from "./prepare_document.ts";
import {
  isWhole,
  type SampleRequest,
  sampleRequests,
  sendSample,
} from "./sample_requests.ts";

/** What the demo is told on its command line. */
export interface DemoOptions {
  /** Service document to show. */
  documentFile: string;
  /** Where the time line's page is written. */
  pageFile: string;
  /** Whether to end after the samples. */
  exit: boolean;
}

/** VMs of the demo, over the first two data centres of the document. */
const VM_COUNT = 4;
/** How long the demo's VMs keep an idempotency key. */
const DEMO_HORIZON_MS = 1000;
/** Most times that a sample is sent while the fleet asks to come back. */
const MAX_TRIES = 5;

interface SampleResult {
  vm: string;
  sample: SampleRequest;
  request: string;
  status: number;
  whole: boolean;
  firstByteMs: number;
  totalMs: number;
}

/** Runs the demo; returns the exit code. */
export async function runDemo(options: DemoOptions): Promise<number> {
  const { documentFile, pageFile } = options;
  const text = await readFile(documentFile, "utf8");
  const prepared = await prepareDocument(text, documentFile);
  const { document, upstreamVms } = prepared;
  const places = Object.keys(document.dataCentres).slice(0, 2);
  const fleet = await startFleet({
    dataCentres: Array.from(
      { length: VM_COUNT },
      (_, index) => places[index % places.length],
    ),
    document: JSON.stringify(document),
    upstreamVms,
    // A fleet that has just started vouches for no key before this.
    settings: { retryHorizonMs: DEMO_HORIZON_MS },
  });
  const stopped = nextStopSignal();
  try {
    print(`Starting ${VM_COUNT} VMs in ${places.join(" and ")}.`);
    await Promise.race([fleet.ready(), stopped]);
    const results = await sendSamples(fleet, prepared);
    const events = await readTimeline(fleet);
    printResults(results, events);
    await writeFile(pageFile, await formatEventsAsHtml(events));
    print(`The time line is in ${pageFile}.`);
    const failed = results.filter((result) => !result.whole).length;
    print(`${results.length - failed} of ${results.length} answers are whole.`);
    if (options.exit) return failed > 0 ? 1 : 0;
    printCurl(fleet, prepared);
    await stopped;
    return 0;
  } finally {
    await fleet.stop();
    await prepared.close();
  }
}

async function sendSamples(
  fleet: Fleet,
  { document, keys }: PreparedDocument,
): Promise<SampleResult[]> {
  const results: SampleResult[] = [];
  for (const [index, sample] of sampleRequests(document).entries()) {
    const vm = fleet.vms[index % fleet.vms.length];
    const key = keys[sample.client];
    let answer = await sendSample(vm.url, sample, { key });
    for (let tries = 1; tries < MAX_TRIES && answer.status === 503; tries++) {
      const delayMs = Number(answer.headers.get("retry-after")) * 1000;
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      answer = await sendSample(vm.url, sample, { key });
    }
    results.push({
      vm: vm.name,
      sample,
      request: answer.headers.get("x-request-id") ?? "",
      status: answer.status,
      whole: isWhole(sample, answer),
      firstByteMs: answer.firstByteMs,
      totalMs: answer.totalMs,
    });
  }
  return results;
}

async function readTimeline(fleet: Fleet): Promise<OrderedEvent[]> {
  const addresses = fleet.vms
    .flatMap((vm) => [vm.entryAdmin, vm.brokerAddress]);
  const { events, unreachable } = await collectTimelines(addresses);
  for (const { address, reason } of unreachable) {
    useLog(LogPart.Demo).warn(`${address} gave no events: ${reason}`);
  }
  return orderEvents(events);
}

function printResults(
  results: readonly SampleResult[],
  events: readonly OrderedEvent[],
): void {
  const upstreams = new Map<string, string>();
  for (const { kind, request, detail } of events) {
    if (kind !== EventKind.AttemptStarted) continue;
    upstreams.set(request, String(detail.upstream));
  }
  printRow([
    "class",
    "client",
    "target",
    "form",
    "VM",
    "upstream",
    "status",
    "first ms",
    "total ms",
    "whole",
  ]);
  for (const result of results) {
    const { sample } = result;
    printRow([
      sample.className,
      sample.client,
      sample.model ?? sample.service ?? "",
      formOf(sample),
      result.vm,
      upstreams.get(result.request) ?? "none",
      String(result.status),
      result.firstByteMs.toFixed(0),
      result.totalMs.toFixed(0),
      result.whole ? "yes" : "NO",
    ]);
  }
}

function formOf(sample: SampleRequest): string {
  if (sample.service) {
    return sample.headers["idempotency-key"] ? "plain, key" : "plain";
  }
  return sample.stream ? "streamed" : "unstreamed";
}

const COLUMN_WIDTHS = [20, 18, 18, 10, 5, 20, 6, 8, 8, 5];

function printRow(cells: readonly string[]): void {
  print(
    cells.map((cell, index) => cell.padEnd(COLUMN_WIDTHS[index])).join(" ")
      .trimEnd(),
  );
}

function printCurl(fleet: Fleet, { document, keys }: PreparedDocument): void {
  const sample = sampleRequests(document).find(({ model }) => model);
  if (!sample) return;
  const headers = Object.entries(sample.headers)
    .map(([name, value]) => ` -H '${name}: ${value}'`).join("");
  const body = JSON.stringify({
    model: sample.model,
    messages: [{ role: "user", content: "Hello" }],
    stream: true,
  });
  print("Send a request of your own, or press Ctrl-C to end:");
  print(
    `curl -N ${fleet.vms[0].url}/v1/chat/completions ` +
      `-H 'authorization: Bearer ${keys[sample.client]}' ` +
      `-H 'content-type: application/json'${headers} -d '${body}'`,
  );
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function nextStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}
