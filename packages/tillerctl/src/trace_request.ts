import { text } from "node:stream/consumers";
import process from "node:process";
import { type CommandCall, ExitCode, UsageError } from "./command.ts";
import { readText } from "./read_text.ts";

/** A line of a router's structured log. */
interface LogLine {
  /** Wall time in milliseconds since 1970. */
  time: number;
  vm: string;
  event: string;
  [field: string]: unknown;
}

/** Fields that stand at the start of a line or say nothing to a person. */
const LEADING_FIELDS = new Set(["time", "vm", "event", "level"]);
/** Time around a request in which changes of what it met are shown, in ms. */
const AROUND_MS = 2000;

/** `tillerctl trace`: joins the log lines about one request into one story. */
export async function traceRequest(call: CommandCall): Promise<ExitCode> {
  const [id, ...files] = call.input;
  if (!id) throw new UsageError("Name the identifier of a request.");
  const texts = files.length > 0
    ? await Promise.all(files.map(readText))
    : [await text(process.stdin)];
  const story = joinStory(id, texts.flatMap(readLines));
  if (story.length === 0) {
    call.warn(`No line is about ${id}.\n`);
    return ExitCode.Failed;
  }
  if (call.flags.json) {
    for (const line of story) call.print(`${JSON.stringify(line)}\n`);
    return ExitCode.Ok;
  }
  const startMs = story[0]!.time;
  for (const line of story) call.print(`${formatLine(line, startMs)}\n`);
  return ExitCode.Ok;
}

/** Reads the JSON lines of a log; what stands before each is left out. */
function readLines(log: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const row of log.split("\n")) {
    const start = row.indexOf("{");
    if (start < 0) continue;
    try {
      const line = JSON.parse(row.slice(start)) as LogLine;
      if (typeof line.event === "string") lines.push(line);
    } catch {
      // A line that was cut off when its process ended.
    }
  }
  return lines;
}

/** Lines about a request, and about the upstreams and VMs that it met. */
function joinStory(id: string, lines: readonly LogLine[]): LogLine[] {
  const own = lines.filter((line) => line.id === id);
  if (own.length === 0) return [];
  const vms = new Set(own.map(({ vm }) => vm));
  const upstreams = new Set(
    own.flatMap(({ upstream, at }) => [upstream, at]).filter(Boolean),
  );
  const fromMs = Math.min(...own.map(({ time }) => time)) - AROUND_MS;
  const toMs = Math.max(...own.map(({ time }) => time)) + AROUND_MS;
  const story = lines.filter((line) => {
    if (line.id !== undefined) return line.id === id;
    if (!vms.has(line.vm) || line.time < fromMs || line.time > toMs) {
      return false;
    }
    return line.upstream === undefined || upstreams.has(line.upstream);
  });
  return story.sort((left, right) => left.time - right.time);
}

function formatLine(line: LogLine, startMs: number): string {
  const fields: string[] = [];
  for (const [name, value] of Object.entries(line)) {
    if (LEADING_FIELDS.has(name) || name === "id" || name === "settings") {
      continue;
    }
    fields.push(`${name}=${formatValue(value)}`);
  }
  const at = `${String(line.time - startMs).padStart(7)} ms`;
  return `${at}  ${line.vm}  ${line.event}  ${fields.join(" ")}`.trimEnd();
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
