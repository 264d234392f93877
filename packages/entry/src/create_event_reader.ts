import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Buffer } from "node:buffer";

/** Parses a chunk; returns the server-sent events that it completes. */
export type EventReader = (chunk: Buffer) => readonly EventSourceMessage[];

/**
 * Creates the incremental parser of one stream. Events and characters may be
 * split over chunks.
 */
export function createEventReader(): EventReader {
  let events: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => void events.push(event) });
  const decoder = new TextDecoder();
  return (chunk) => {
    events = [];
    parser.feed(decoder.decode(chunk, { stream: true }));
    return events;
  };
}
