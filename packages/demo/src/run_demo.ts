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
  isCompleteAnswer,
  listSampleRequests,
  type SampleRequest,
  sendSample,
} from "./list_sample_requests.ts";

/** Command-line options of the demo. */
export interface DemoOptions {
  /** Path of the service document to run. */
  documentFile: string;
  /** Output path of the timeline page (HTML). */
  pageFile: string;
  /** Whether to exit after the samples instead of waiting for a signal. */
  exit: boolean;
}

/**
 * Number of VMs, each with an entry and a broker, spread over the first two
 * data centres of the document.
 */
const VM_COUNT = 4;
/** How long the VMs remember an idempotency key, in milliseconds. */
const RETRY_HORIZON_MS = 1000;
/**
 * Maximum attempts for a sample that gets status 503; each retry waits for
 * `retry-after`, if given.
 */
const MAX_ATTEMPTS = 5;

interface SampleResult {
  vm: string;
  sample: SampleRequest;
  request: string;
  status: number;
  isComplete: boolean;
  firstByteMs: number;
  totalMs: number;
}

/**
 * Starts a fleet, sends sample requests and prints the results. Without `exit`
 * it then waits for SIGINT or SIGTERM. Returns the exit code: 1 if `exit` is
 * set and an answer was incomplete, else 0. Rejects if the fleet does not
 * start.
 */
export async function runDemo(options: DemoOptions): Promise<number> {
  const { documentFile, pageFile } = options;
  const text = await readFile(documentFile, "utf8");
  const prepared = await prepareDocument(text, documentFile);
  const { document, upstreamVms } = prepared;
  const dataCentres = Object.keys(document.dataCentres).slice(0, 2);
  const fleet = await startFleet({
    dataCentres: Array.from(
      { length: VM_COUNT },
      (_, index) => dataCentres[index % dataCentres.length],
    ),
    document: JSON.stringify(document),
    upstreamVms,
    // A fleet that has just started cannot confirm that an idempotency key is
    // unused until this time has passed, so the demo keeps it short.
    settings: { retryHorizonMs: RETRY_HORIZON_MS },
  });
  const stopped = waitForStopSignal();
  try {
    print(`Starting ${VM_COUNT} VMs in ${dataCentres.join(" and ")}.`);
    await Promise.race([fleet.waitUntilReady(), stopped]);
    const results = await sendSamples(fleet, prepared);
    const events = await readTimeline(fleet);
    printResults(results, events);
    await writeFile(pageFile, await formatEventsAsHtml(events));
    print(`Timeline written to ${pageFile}.`);
    const failed = results.filter((result) => !result.isComplete).length;
    print(
      `${results.length - failed} of ${results.length} answers are complete.`,
    );
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
  for (const [index, sample] of listSampleRequests(document).entries()) {
    const vm = fleet.vms[index % fleet.vms.length];
    const key = keys[sample.client];
    let answer = await sendSample(vm.url, sample, { key });
    for (
      let attempts = 1;
      attempts < MAX_ATTEMPTS && answer.status === 503;
      attempts++
    ) {
      const delayMs = Number(answer.headers.get("retry-after")) * 1000;
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      answer = await sendSample(vm.url, sample, { key });
    }
    results.push({
      vm: vm.name,
      sample,
      request: answer.headers.get("x-request-id") ?? "",
      status: answer.status,
      isComplete: isCompleteAnswer(sample, answer),
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
    useLog(LogPart.Demo).warn(
      `Cannot read the timeline of ${address}: ${reason}`,
    );
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
    "type",
    "VM",
    "upstream",
    "status",
    "first ms",
    "total ms",
    "complete",
  ]);
  for (const result of results) {
    const { sample } = result;
    printRow([
      sample.className,
      sample.client,
      sample.model ?? sample.service ?? "",
      describeType(sample),
      result.vm,
      upstreams.get(result.request) ?? "none",
      String(result.status),
      result.firstByteMs.toFixed(0),
      result.totalMs.toFixed(0),
      result.isComplete ? "yes" : "NO",
    ]);
  }
}

function describeType(sample: SampleRequest): string {
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
  const sample = listSampleRequests(document).find(({ model }) => model);
  if (!sample) return;
  const headers = Object.entries(sample.headers)
    .map(([name, value]) => ` -H '${name}: ${value}'`).join("");
  const body = JSON.stringify({
    model: sample.model,
    messages: [{ role: "user", content: "Hello" }],
    stream: true,
  });
  print("Send your own request, or press Ctrl-C to stop:");
  print(
    `curl -N ${fleet.vms[0].url}/v1/chat/completions ` +
      `-H 'authorization: Bearer ${keys[sample.client]}' ` +
      `-H 'content-type: application/json'${headers} -d '${body}'`,
  );
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}
