import { readFile } from "node:fs/promises";
import type { EventDetail } from "./create_timeline.ts";
import type { OrderedEvent } from "./order_events.ts";

/** Formats events for reading, one line each, in aligned columns. */
export function formatEventsAsText(events: readonly OrderedEvent[]): string {
  const width = Math.max(0, ...events.map((event) => event.process.length));
  return events.map((event) => {
    const parts = [
      formatTime(event.wallMs),
      event.process.padEnd(width),
      event.kind.padEnd(KIND_COLUMN_WIDTH),
      event.request,
      formatDetail(event.detail),
    ];
    return `${parts.filter((part) => part).join("  ")}\n`;
  }).join("");
}

/** Formats events as JSON Lines, one object each. */
export function formatEventsAsJsonLines(
  events: readonly OrderedEvent[],
): string {
  return events.map((event) => `${JSON.stringify(event)}\n`).join("");
}

/** Formats events as an HTML page without references to other files. */
export async function formatEventsAsHtml(
  events: readonly OrderedEvent[],
): Promise<string> {
  const page = await readFile(new URL("../page/page.html", import.meta.url));
  const data = JSON.stringify(events).replaceAll("<", "\\u003c");
  return page.toString().replace(DATA_PLACEHOLDER, () => data);
}

/** Formats details as `name=value`, in order, separated by spaces. */
export function formatDetail(detail: EventDetail): string {
  return Object.entries(detail)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}

/** Width of the event kind column in characters; fits the longest kind. */
const KIND_COLUMN_WIDTH = 18;
/** Text in `page.html` that the events replace. */
const DATA_PLACEHOLDER = "[/* events */]";

function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(11, 23);
}
