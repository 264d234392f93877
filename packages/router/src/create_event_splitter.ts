import { Buffer } from "node:buffer";

/** Events that a chunk completes. */
export interface CompleteEvents {
  /** The events' unmodified bytes. */
  bytes: Buffer;
  /** Identifier of each event in order; empty for an event without one. */
  ids: string[];
  /** Offset in `bytes` at which each event ends. */
  ends: number[];
}

/** Splits a server-sent event stream into events. */
export interface EventSplitter {
  /** Adds a chunk; returns undefined if it completes no event. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Number of bytes received of an incomplete event. */
  pendingBytes(): number;
}

const BLANK_LINE = "\n\n";
const ID_FIELD = "id:";
const LINE_END = 0x0a;

/** Creates a splitter for one stream, whose lines must end with `\n`. */
export function createEventSplitter(): EventSplitter {
  /** Begins with the incomplete event; grows so that a byte is copied once. */
  let buffer: Buffer = Buffer.alloc(0);
  let pending = 0;

  /** Appends a chunk to the incomplete event; returns both. */
  function append(chunk: Buffer): Buffer {
    const length = pending + chunk.length;
    if (length > buffer.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(length, 2 * buffer.length));
      buffer.copy(grown, 0, 0, pending);
      buffer = grown;
    }
    chunk.copy(buffer, pending);
    return buffer.subarray(0, length);
  }

  /** Keeps the bytes after the last complete event. */
  function keep(rest: Buffer): void {
    // The bytes before them are still in use by the caller.
    buffer = Buffer.from(rest);
    pending = rest.length;
  }

  return {
    push(chunk) {
      const searchFrom = Math.max(0, pending - 1);
      const bytes = pending > 0 ? append(chunk) : chunk;
      let blank = bytes.indexOf(BLANK_LINE, searchFrom);
      if (blank < 0) {
        if (pending === 0) keep(chunk);
        else pending = bytes.length;
        return undefined;
      }
      const ids: string[] = [];
      const ends: number[] = [];
      let start = 0;
      for (; blank >= 0; blank = bytes.indexOf(BLANK_LINE, start)) {
        const end = blank + BLANK_LINE.length;
        ids.push(readId(bytes.subarray(start, blank)));
        ends.push(end);
        start = end;
      }
      keep(bytes.subarray(start));
      return { bytes: bytes.subarray(0, start), ids, ends };
    },
    pendingBytes: () => pending,
  };
}

/** Value of an event's first `id` field; empty without one. */
function readId(event: Buffer): string {
  let at = event.indexOf(ID_FIELD);
  while (at > 0 && event[at - 1] !== LINE_END) {
    at = event.indexOf(ID_FIELD, at + 1);
  }
  if (at < 0) return "";
  const lineEnd = event.indexOf(LINE_END, at);
  return event.toString(
    "latin1",
    at + ID_FIELD.length,
    lineEnd < 0 ? event.length : lineEnd,
  ).trim();
}
