import { EventKind } from "@rosemarytiller/shared";
import {
  collectTimelines,
  type EventFilter,
  filterEvents,
  formatEventsAsHtml,
  formatEventsAsJsonLines,
  formatEventsAsText,
  type OrderedEvent,
  orderEvents,
} from "@rosemarytiller/timeline";
import { writeFile } from "node:fs/promises";
import {
  type CommandContext,
  type CommandFlags,
  ExitCode,
  UsageError,
} from "./command.ts";
import { findProcesses } from "./find_processes.ts";

type Formatter = (events: readonly OrderedEvent[]) => string | Promise<string>;

const FORMATTERS: Record<string, Formatter> = {
  text: formatEventsAsText,
  jsonl: formatEventsAsJsonLines,
  html: formatEventsAsHtml,
};

/**
 * `tillerctl timeline`: merges the events of all processes into one ordered
 * timeline. Returns `ExitCode.Failed` if a process did not answer or the
 * platform gave no VM list.
 */
export async function showTimeline(context: CommandContext): Promise<ExitCode> {
  const { flags, print, warn } = context;
  const format = flags.format ?? (flags.json ? "jsonl" : "text");
  const formatter = FORMATTERS[format];
  if (!formatter) {
    const known = Object.keys(FORMATTERS).join(", ");
    throw new UsageError(`Unknown format "${format}"; known: ${known}.`);
  }
  const filter = parseFilter(flags, Date.now());
  const found = await findProcesses(context);
  const { events, unreachable } = await collectTimelines(found.addresses);
  const shown = filterEvents(orderEvents(events), filter);
  const text = await formatter(shown);
  if (flags.out) await writeFile(flags.out, text);
  else print(text);
  if (found.remark) warn(`${found.remark}\n`);
  for (const { address, reason } of unreachable) {
    warn(`${address} did not answer: ${reason}. Its events are missing.\n`);
  }
  const partial = unreachable.length > 0 || found.remark !== "";
  return partial ? ExitCode.Failed : ExitCode.Ok;
}

function parseFilter(flags: CommandFlags, nowMs: number): EventFilter {
  const kinds = (flags.kind ?? []).flatMap((text) => text.split(","));
  const known: string[] = Object.values(EventKind);
  for (const kind of kinds) {
    if (known.includes(kind)) continue;
    throw new UsageError(`There is no kind "${kind}"; known: ${known}`);
  }
  return {
    request: flags.request,
    className: flags.class,
    kinds,
    sinceMs: flags.since ? parseSince(flags.since, nowMs) : undefined,
  };
}

const UNIT_MS: Record<string, number> = { s: 1000, m: 60_000, h: 3_600_000 };

/**
 * Parses an age such as `30s`, `5m` or `1h`, or a date and time, into
 * milliseconds since 1970.
 */
function parseSince(text: string, nowMs: number): number {
  const [, amount, unit] = /^(\d+)([smh])$/.exec(text) ?? [];
  if (amount) return nowMs - Number(amount) * UNIT_MS[unit];
  const sinceMs = Date.parse(text);
  if (!Number.isNaN(sinceMs)) return sinceMs;
  throw new UsageError(
    `Invalid --since "${text}"; use 30s, 5m, 1h or a date.`,
  );
}
