import type { OrderedEvent } from "./order_events.ts";

/** Conditions that an event must all meet; absent fields match any event. */
export interface EventFilter {
  /** Identifier of the request, or a prefix of it. */
  request?: string;
  /** Class of the request. */
  className?: string;
  /** Kinds of event; an empty list matches any. */
  kinds?: readonly string[];
  /** Earliest wall time in milliseconds since 1970. */
  sinceMs?: number;
}

/**
 * Returns the events that match, in their order. A cause becomes the index in
 * the result, or -1 if the causing event does not match.
 */
export function filterEvents(
  events: readonly OrderedEvent[],
  filter: EventFilter,
): OrderedEvent[] {
  const newIndexes = new Map<number, number>();
  const kept: OrderedEvent[] = [];
  for (const [index, event] of events.entries()) {
    if (!matchesFilter(event, filter)) continue;
    newIndexes.set(index, kept.length);
    kept.push({ ...event, cause: newIndexes.get(event.cause) ?? -1 });
  }
  return kept;
}

function matchesFilter(event: OrderedEvent, filter: EventFilter): boolean {
  const { request, className, kinds, sinceMs } = filter;
  if (request && !event.request.startsWith(request)) return false;
  if (className && event.className !== className) return false;
  if (kinds && kinds.length > 0 && !kinds.includes(event.kind)) return false;
  return sinceMs === undefined || event.wallMs >= sinceMs;
}
