import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Buffer } from "node:buffer";

/** Yields the server-sent events of a body, one list for each chunk. */
export async function* readEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<EventSourceMessage[]> {
  let events: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => void events.push(event) });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (events.length === 0) continue;
    yield events;
    events = [];
  }
}
