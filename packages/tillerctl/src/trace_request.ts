import { text } from "node:stream/consumers";
import process from "node:process";
import { type CommandContext, ExitCode, UsageError } from "./command.ts";
import { readText } from "./read_text.ts";

/** A line of a router's structured log (JSON). */
interface LogLine {
  /** Wall time in milliseconds since 1970. */
  time: number;
  vm: string;
  event: string;
  [field: string]: unknown;
}

/**
 * Fields that are not listed as `name=value`: `level` is left out, and the
 * others are printed before the list.
 */
const OMITTED_FIELDS = new Set(["time", "vm", "event", "level"]);
/**
 * How long before and after a request the lines of its VMs without a request ID
 * are included, in milliseconds; they show what changed meanwhile.
 */
const CONTEXT_WINDOW_MS = 2000;

/**
 * `tillerctl trace`: merges the log lines about one request, its upstreams and
 * its VMs in chronological order, from files or standard input. Returns
 * `ExitCode.Failed` if no line is about the request.
 */
export async function traceRequest(context: CommandContext): Promise<ExitCode> {
  const [id, ...files] = context.input;
  if (!id) throw new UsageError("Name the ID of a request.");
  const texts = files.length > 0
    ? await Promise.all(files.map(readText))
    : [await text(process.stdin)];
  const related = selectRelatedLines(id, texts.flatMap(parseLogLines));
  if (related.length === 0) {
    context.warn(`No log line matches request ${id}.\n`);
    return ExitCode.Failed;
  }
  if (context.flags.json) {
    for (const line of related) context.print(`${JSON.stringify(line)}\n`);
    return ExitCode.Ok;
  }
  const startMs = related[0]!.time;
  for (const line of related) context.print(`${formatLine(line, startMs)}\n`);
  return ExitCode.Ok;
}

/**
 * Parses the JSON objects of a log. Ignores text before an object, and lines
 * without an object or without an `event`.
 */
function parseLogLines(log: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const row of log.split("\n")) {
    const start = row.indexOf("{");
    if (start < 0) continue;
    try {
      const line = JSON.parse(row.slice(start)) as LogLine;
      if (typeof line.event === "string") lines.push(line);
    } catch {
      // Skips a line that was truncated when its process ended.
    }
  }
  return lines;
}

/**
 * Selects the lines of a request, and those without a request ID that its VMs
 * logged within CONTEXT_WINDOW_MS of it, except those about other upstreams.
 * The result is sorted by time.
 */
function selectRelatedLines(id: string, lines: readonly LogLine[]): LogLine[] {
  const requestLines = lines.filter((line) => line.id === id);
  if (requestLines.length === 0) return [];
  const vms = new Set(requestLines.map(({ vm }) => vm));
  const upstreams = new Set(
    requestLines.flatMap(({ upstream, at }) => [upstream, at]).filter(Boolean),
  );
  const fromMs = Math.min(...requestLines.map(({ time }) => time)) -
    CONTEXT_WINDOW_MS;
  const toMs = Math.max(...requestLines.map(({ time }) => time)) +
    CONTEXT_WINDOW_MS;
  const related = lines.filter((line) => {
    if (line.id !== undefined) return line.id === id;
    if (!vms.has(line.vm) || line.time < fromMs || line.time > toMs) {
      return false;
    }
    return line.upstream === undefined || upstreams.has(line.upstream);
  });
  return related.sort((left, right) => left.time - right.time);
}

function formatLine(line: LogLine, startMs: number): string {
  const fields: string[] = [];
  for (const [name, value] of Object.entries(line)) {
    if (OMITTED_FIELDS.has(name) || name === "id" || name === "settings") {
      continue;
    }
    fields.push(`${name}=${formatValue(value)}`);
  }
  const elapsed = `${String(line.time - startMs).padStart(7)} ms`;
  return `${elapsed}  ${line.vm}  ${line.event}  ${fields.join(" ")}`.trimEnd();
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
