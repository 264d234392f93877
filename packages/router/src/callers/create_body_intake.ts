import type { Clock } from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import {
  type ByteBudget,
  type ByteReservation,
  SMALL_BYTES,
} from "./create_byte_budget.ts";

/** How reading a body ended. */
export enum BodyEnd {
  Complete = "complete",
  /** It exceeds the limit for bodies. */
  TooLarge = "too large",
  /** It did not arrive in time. */
  TooSlow = "too slow",
  /** There was no memory for it. */
  NoMemory = "no memory",
  /** Its connection closed before its end. */
  Aborted = "aborted",
}

/** A body that was read, or why it was not. */
export interface ReceivedBody {
  end: BodyEnd;
  /** Empty unless it is complete. */
  bytes: Buffer;
  /** Returns its memory to the budget; to be called once it is not needed. */
  release(): void;
}

/** Reads the bodies of callers' requests within a budget of memory. */
export interface BodyIntake {
  /**
   * Reserves memory for a head and the copies that are made of it; undefined if
   * there is none. Only heads with many fields need some.
   */
  reserveHead(incoming: IncomingMessage): ByteReservation | undefined;
  /** Reads a body; never rejects. */
  read(
    incoming: IncomingMessage,
    options: { maxBytes: number },
  ): Promise<ReceivedBody>;
  /** Ends bodies that take too long; to be called at intervals. */
  sweep(): void;
}

/** Dependencies of the intake. */
export interface BodyIntakeOptions {
  clock: Clock;
  budget: ByteBudget;
  /** Longest time from the head of a request to the end of its body, in ms. */
  bodyTimeoutMs: number;
}

/** A body that is being read. */
interface OpenBody {
  startedMs: number;
  receivedBytes: number;
  reservation: ByteReservation;
  finish(end: BodyEnd): void;
}

/** A body that waits for memory. */
interface WaitingBody {
  bytes: number;
  sinceMs: number;
  resolve(reservation: ByteReservation | undefined): void;
}

/** Fields of a head that are not counted. */
const MAX_PLAIN_FIELDS = 100;
/** Memory of a field of a head, with the copies that are made of it, in bytes. */
const FIELD_BYTES = 256;
/** Size reserved for a body of unknown length at first, in bytes. */
const FIRST_CHUNKED_BYTES = 16_384;
/** Longest time that a body waits for memory, in milliseconds. */
const MAX_WAIT_MS = 2000;
/** Bodies that wait for memory at the same time. */
const MAX_WAITING = 128;
/**
 * Age from which a body that is not complete makes room for others, in ms; well
 * above the time that one takes on a choked link.
 */
const MIN_EVICTION_AGE_MS = 3000;

/** Creates an intake that reads no body yet. */
export function createBodyIntake(options: BodyIntakeOptions): BodyIntake {
  const { clock, budget, bodyTimeoutMs } = options;
  const open = new Set<OpenBody>();
  const waiting: WaitingBody[] = [];
  budget.onReleased(serveWaiting);

  /** Gives memory to the bodies that wait, in their order. */
  function serveWaiting(): void {
    while (waiting.length > 0) {
      const reservation = budget.reserve(waiting[0]!.bytes);
      if (!reservation) return;
      waiting.shift()!.resolve(reservation);
    }
  }

  /** Reserves memory for a body; waits for it within `MAX_WAIT_MS`. */
  function reserve(bytes: number): Promise<ByteReservation | undefined> {
    // Small ones do not queue behind large ones: they have a reserve.
    const isFirst = waiting.length === 0 || bytes <= SMALL_BYTES;
    const reservation = isFirst ? budget.reserve(bytes) : undefined;
    if (reservation || waiting.length >= MAX_WAITING) {
      return Promise.resolve(reservation);
    }
    const waits = new Promise<ByteReservation | undefined>((resolve) => {
      waiting.push({ bytes, sinceMs: clock.now(), resolve });
    });
    makeRoom();
    return waits;
  }

  /** Bytes a millisecond at which a body has arrived. */
  function paceOf({ startedMs, receivedBytes }: OpenBody): number {
    return receivedBytes / Math.max(1, clock.now() - startedMs);
  }

  /** Ends the slowest body, of equally slow ones the largest. */
  function makeRoom(): void {
    let slowest: OpenBody | undefined;
    for (const body of open) {
      if (clock.now() - body.startedMs < MIN_EVICTION_AGE_MS) continue;
      const isSlower = !slowest || paceOf(body) < paceOf(slowest) ||
        (paceOf(body) === paceOf(slowest) &&
          body.reservation.size() > slowest.reservation.size());
      if (isSlower) slowest = body;
    }
    slowest?.finish(BodyEnd.TooSlow);
  }

  function receive(
    incoming: IncomingMessage,
    options: { maxBytes: number; reservation: ByteReservation },
  ): Promise<ReceivedBody> {
    const { maxBytes, reservation } = options;
    return new Promise((resolve) => {
      // One buffer for all pieces: a piece of a byte takes a byte.
      let buffer = Buffer.allocUnsafeSlow(reservation.size());
      let isOpen = true;
      const body: OpenBody = {
        startedMs: clock.now(),
        receivedBytes: 0,
        reservation,
        finish(end) {
          if (!isOpen) return;
          isOpen = false;
          open.delete(body);
          incoming.off("data", onData);
          const isComplete = end === BodyEnd.Complete;
          const bytes = isComplete
            ? buffer.subarray(0, body.receivedBytes)
            : Buffer.alloc(0);
          buffer = Buffer.alloc(0);
          if (!isComplete) reservation.release();
          resolve({ end, bytes, release: reservation.release });
        },
      };

      /** Makes room for `bytes`; returns whether the body goes on. */
      function grow(bytes: number): boolean {
        if (bytes <= buffer.length) return true;
        const size = Math.min(maxBytes, Math.max(bytes, buffer.length * 2));
        // The old buffer is still there while the new one is filled.
        if (!reservation.resize(size + buffer.length)) return false;
        const grown = Buffer.allocUnsafeSlow(size);
        buffer.copy(grown, 0, 0, body.receivedBytes);
        buffer = grown;
        reservation.resize(size);
        return true;
      }

      function onData(piece: Buffer): void {
        const bytes = body.receivedBytes + piece.length;
        if (bytes > maxBytes) return body.finish(BodyEnd.TooLarge);
        if (!grow(bytes)) {
          makeRoom();
          if (!isOpen || !grow(bytes)) return body.finish(BodyEnd.NoMemory);
        }
        piece.copy(buffer, body.receivedBytes);
        body.receivedBytes = bytes;
      }

      open.add(body);
      incoming.on("data", onData);
      incoming.once("end", () => body.finish(BodyEnd.Complete));
      incoming.once("error", () => body.finish(BodyEnd.Aborted));
      incoming.once("close", () => body.finish(BodyEnd.Aborted));
    });
  }

  return {
    reserveHead: (incoming) => budget.reserve(heavyHeadBytes(incoming)),
    async read(incoming, { maxBytes }) {
      const declared = declaredBytes(incoming);
      if (declared === 0) return createEmptyBody(BodyEnd.Complete);
      if (declared !== undefined && declared > maxBytes) {
        return createEmptyBody(BodyEnd.TooLarge);
      }
      const bytes = declared ?? Math.min(FIRST_CHUNKED_BYTES, maxBytes);
      const reservation = await reserve(bytes);
      if (!reservation) return createEmptyBody(BodyEnd.NoMemory);
      if (incoming.destroyed && !incoming.complete) {
        reservation.release();
        return createEmptyBody(BodyEnd.Aborted);
      }
      return receive(incoming, { maxBytes, reservation });
    },
    sweep() {
      const nowMs = clock.now();
      for (const body of [...open]) {
        if (nowMs - body.startedMs < bodyTimeoutMs) continue;
        body.finish(BodyEnd.TooSlow);
      }
      for (const entry of [...waiting]) {
        if (nowMs - entry.sinceMs < MAX_WAIT_MS) break;
        waiting.shift();
        entry.resolve(undefined);
      }
      for (let count = waiting.length; count > 0; count--) makeRoom();
    },
  };
}

/** Memory of a head with many fields in bytes, 0 for an ordinary one. */
function heavyHeadBytes({ rawHeaders }: IncomingMessage): number {
  const fields = rawHeaders.length / 2;
  return fields > MAX_PLAIN_FIELDS ? fields * FIELD_BYTES : 0;
}

function createEmptyBody(end: BodyEnd): ReceivedBody {
  return { end, bytes: Buffer.alloc(0), release() {} };
}

/** Size that a request declares; undefined for a chunked body. */
export function declaredBytes(
  { rawHeaders }: IncomingMessage,
): number | undefined {
  if (findHeader(rawHeaders, "transfer-encoding") !== undefined) {
    return undefined;
  }
  return Number(findHeader(rawHeaders, "content-length") ?? 0);
}

/**
 * First value of a header, by its name in lower case; undefined without one.
 * Node.js builds an object of all headers for its own look-up, which takes
 * several times the memory of the head.
 */
export function findHeader(
  rawHeaders: readonly string[],
  name: string,
): string | undefined {
  for (let at = 0; at < rawHeaders.length; at += 2) {
    const header = rawHeaders[at]!;
    if (header.length !== name.length) continue;
    if (header.toLowerCase() === name) return rawHeaders[at + 1];
  }
  return undefined;
}
