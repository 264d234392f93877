import type { CancelTimer, Clock } from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { ByteBudget } from "./callers/index.ts";

/** Collects the body of a response within a budget of memory. */
export interface BodyCollector {
  /**
   * Copies a chunk. Returns false if there is no memory for it now: the source
   * pauses until `onRoom`.
   */
  push(chunk: Buffer): boolean;
  /** Bytes collected, a chunk that waits for memory included. */
  byteCount(): number;
  /** The body so far, in order. */
  pieces(): Buffer[];
  /** Drops the body and returns its memory to the budget. */
  release(): void;
}

/** Dependencies of a collector. */
export interface BodyCollectorOptions {
  clock: Clock;
  budget: ByteBudget;
  /** The chunk that waited was copied; the source may go on. */
  onRoom(): void;
  /** No memory was left for `MAX_WAIT_MS`: the body can't be completed. */
  onNoRoom(): void;
}

/** Largest piece that is allocated beyond a chunk's own size, in bytes. */
const PIECE_BYTES = 65_536;
/** Longest time that a chunk waits for memory, in milliseconds. */
const MAX_WAIT_MS = 1000;

/** Creates a collector that has no bytes yet. */
export function createBodyCollector(
  options: BodyCollectorOptions,
): BodyCollector {
  const { clock, budget, onRoom, onNoRoom } = options;
  const full: Buffer[] = [];
  /** Piece that is being filled. */
  let last: Buffer = Buffer.alloc(0);
  let lastBytes = 0;
  let bytes = 0;
  let reservation = budget.reserve(0);
  let waiting: Buffer | undefined;
  let stopWaiting: CancelTimer = () => {};

  /** Copies a chunk into pieces, so that a chunk of a byte takes a byte. */
  function copy(chunk: Buffer): boolean {
    const fits = Math.min(chunk.length, last.length - lastBytes);
    const rest = chunk.length - fits;
    if (rest > 0) {
      const size = Math.max(rest, Math.min(PIECE_BYTES, bytes));
      if (!reservation?.resize(reservation.size() + size)) return false;
      chunk.copy(last, lastBytes, 0, fits);
      if (last.length > 0) full.push(last);
      last = Buffer.allocUnsafeSlow(size);
      lastBytes = chunk.copy(last, 0, fits);
    } else {
      lastBytes += chunk.copy(last, lastBytes);
    }
    bytes += chunk.length;
    return true;
  }

  function wait(chunk: Buffer): void {
    waiting = chunk;
    const cancelTimer = clock.after(MAX_WAIT_MS, () => {
      stopWaiting();
      onNoRoom();
    });
    const cancelRetry = budget.onReleased(() => {
      if (!waiting || !copy(waiting)) return;
      stopWaiting();
      onRoom();
    });
    stopWaiting = () => {
      waiting = undefined;
      cancelTimer();
      cancelRetry();
    };
  }

  return {
    push(chunk) {
      if (copy(chunk)) return true;
      wait(chunk);
      return false;
    },
    byteCount: () => bytes + (waiting?.length ?? 0),
    pieces: () => bytes === 0 ? [] : [...full, last.subarray(0, lastBytes)],
    release() {
      stopWaiting();
      full.length = 0;
      last = Buffer.alloc(0);
      lastBytes = bytes = 0;
      reservation?.release();
      reservation = undefined;
    },
  };
}
