import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Buffer } from "node:buffer";
import { InvalidResponseError } from "./classify_stream_event.ts";

/** Largest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Parses a chunk; returns the server-sent events that it completes. Throws if an
 * event is too long.
 */
export type EventReader = (chunk: Buffer) => readonly EventSourceMessage[];

/**
 * Creates the incremental parser of one stream. Events and characters may be
 * split over chunks.
 */
export function createEventReader(): EventReader {
  let events: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => void events.push(event) });
  const decoder = new TextDecoder();
  let pendingBytes = 0;
  return (chunk) => {
    events = [];
    parser.feed(decoder.decode(chunk, { stream: true }));
    pendingBytes = events.length > 0 ? 0 : pendingBytes + chunk.length;
    if (pendingBytes > MAX_EVENT_BYTES) {
      throw new InvalidResponseError("the stream has too long an event", {
        resumable: false,
      });
    }
    return events;
  };
}
