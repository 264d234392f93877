import { readFile } from "node:fs/promises";
import type { EventDetail } from "./create_timeline.ts";
import type { OrderedEvent } from "./order_events.ts";

/** Writes one line for each event, for a person. */
export function formatEventsAsText(events: readonly OrderedEvent[]): string {
  const width = Math.max(0, ...events.map((event) => event.process.length));
  return events.map((event) => {
    const parts = [
      formatTime(event.wallMs),
      event.process.padEnd(width),
      event.kind.padEnd(KIND_WIDTH),
      event.request,
      formatDetail(event.detail),
    ];
    return `${parts.filter((part) => part).join("  ")}\n`;
  }).join("");
}

/** Writes one JSON object on each line. */
export function formatEventsAsJsonLines(
  events: readonly OrderedEvent[],
): string {
  return events.map((event) => `${JSON.stringify(event)}\n`).join("");
}

/** Writes one HTML page that needs no other file. */
export async function formatEventsAsHtml(
  events: readonly OrderedEvent[],
): Promise<string> {
  const page = await readFile(new URL("../page/page.html", import.meta.url));
  const data = JSON.stringify(events).replaceAll("<", "\\u003c");
  return page.toString().replace(DATA_PLACE, () => data);
}

/** Writes details as `name=value`, in their order. */
export function formatDetail(detail: EventDetail): string {
  return Object.entries(detail)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}

/** Characters of the longest common kinds of event. */
const KIND_WIDTH = 18;
/** Text of the page that the events replace. */
const DATA_PLACE = "[/* events */]";

function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(11, 23);
}
