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
const ID_LINE = /^id: ?(.*)$/m;

/** Creates a splitter for one stream, whose lines must end with `\n`. */
export function createEventSplitter(): EventSplitter {
  let incomplete: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = incomplete.length > 0
        ? Buffer.concat([incomplete, chunk])
        : chunk;
      const ids: string[] = [];
      const ends: number[] = [];
      let start = 0;
      for (;;) {
        const blank = bytes.indexOf(BLANK_LINE, start);
        if (blank < 0) break;
        const end = blank + BLANK_LINE.length;
        const text = bytes.toString("latin1", start, end);
        ids.push(ID_LINE.exec(text)?.[1]?.trim() ?? "");
        ends.push(end);
        start = end;
      }
      incomplete = bytes.subarray(start);
      if (ends.length === 0) return undefined;
      return { bytes: bytes.subarray(0, start), ids, ends };
    },
    pendingBytes: () => incomplete.length,
  };
}
