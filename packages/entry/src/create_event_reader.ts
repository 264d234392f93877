import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Buffer } from "node:buffer";

/** Reads the server-sent events that a chunk completes. */
export type EventReader = (chunk: Buffer) => readonly EventSourceMessage[];

/** Creates the reader of one stream. */
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
