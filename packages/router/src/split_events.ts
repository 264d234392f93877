import { Buffer } from "node:buffer";

/** Whole events that a chunk completes, as they came. */
export interface WholeEvents {
  bytes: Buffer;
  /** Identifier of each event in order; empty for one without. */
  ids: string[];
  /** Where each event ends in `bytes`. */
  ends: number[];
}

/** Splits a stream at the ends of its events. */
export interface EventSplitter {
  push(chunk: Buffer): WholeEvents | undefined;
  /** Bytes of an event that is not whole yet. */
  restBytes(): number;
}

const BLANK_LINE = "\n\n";
const ID_LINE = /^id: ?(.*)$/m;

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = rest.length > 0 ? Buffer.concat([rest, chunk]) : chunk;
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
      rest = bytes.subarray(start);
      if (ends.length === 0) return undefined;
      return { bytes: bytes.subarray(0, start), ids, ends };
    },
    restBytes: () => rest.length,
  };
}
