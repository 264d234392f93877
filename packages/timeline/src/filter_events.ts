import type { OrderedEvent } from "./order_events.ts";

/** Which events to show; a missing field lets all pass. */
export interface EventFilter {
  /** Request, or the beginning of its identifier. */
  request?: string;
  /** Class of the request. */
  className?: string;
  /** Kinds to show. */
  kinds?: readonly string[];
  /** Earliest wall time in milliseconds since 1970. */
  sinceMs?: number;
}

/** Keeps the events that pass, and the causes that are kept with them. */
export function filterEvents(
  events: readonly OrderedEvent[],
  filter: EventFilter,
): OrderedEvent[] {
  const places = new Map<number, number>();
  const kept: OrderedEvent[] = [];
  for (const [place, event] of events.entries()) {
    if (!passes(event, filter)) continue;
    places.set(place, kept.length);
    kept.push({ ...event, cause: places.get(event.cause) ?? -1 });
  }
  return kept;
}

function passes(event: OrderedEvent, filter: EventFilter): boolean {
  const { request, className, kinds, sinceMs } = filter;
  if (request && !event.request.startsWith(request)) return false;
  if (className && event.className !== className) return false;
  if (kinds && kinds.length > 0 && !kinds.includes(event.kind)) return false;
  return sinceMs === undefined || event.wallMs >= sinceMs;
}
