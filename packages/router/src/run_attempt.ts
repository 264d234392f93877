import type { Clock } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";
import type { ByteBudget } from "./callers/index.ts";
import type { CallerResponse } from "./caller_exchange.ts";
import { createBodyCollector } from "./create_body_collector.ts";
import type { Connection } from "./create_connection_pool.ts";
import { createEventSplitter } from "./create_event_splitter.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { AttemptResult } from "./enums.ts";
import type { ResponseMetadata, WireProtocol } from "./ports.ts";
import { isRelayHeader } from "./relay_headers.ts";
import {
  readIdleLimit,
  type ResponseHead,
  sendAttempt,
} from "./send_attempt.ts";

/** Progress of the stream to the caller, over all attempts. */
export interface StreamState {
  /** Whether the route is of the stream kind. */
  isStream: boolean;
  /** Identifier of the last event that the caller has received. */
  lastEventId: string | undefined;
  /** Whether the response's headers have been sent to the caller. */
  isStarted: boolean;
  /**
   * Software version that wrote the caller's events, undefined before the first
   * one. Events of two versions do not fit together.
   */
  softwareVersion: string | undefined;
  eventCount: number;
}

/** Inputs and callbacks of one attempt at an upstream. */
export interface AttemptOptions {
  clock: Clock;
  protocol: WireProtocol;
  connection: Connection;
  requestId: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
  /** Software version of the upstream; undefined if it is not known. */
  softwareVersion: string | undefined;
  stream: StreamState;
  response: CallerResponse;
  /** Whether the upstream can still get the request, as of now. */
  maySend?(): boolean;
  /** The request is about to be written; it may be executed from now on. */
  onSent(): void;
  /** Headers or data were received from the upstream. */
  onReceived(): void;
  /** The status and headers of a response were received. */
  onHead(metadata: ResponseMetadata): void;
  /** The headers of an accepted response were received. */
  onAccepted?: (() => void) | undefined;
  /** At least one complete event was received. */
  onEvent(): void;
  /**
   * Called before events are forwarded to the caller. Returns false if another
   * attempt of the request forwards its events; this one then ends.
   */
  claimResponse(): boolean;
  /** Memory for the response, until the caller has taken it. */
  budget: ByteBudget;
  /** The response has to wait for memory, or is broken off without any. */
  onNoMemory(): void;
  /** The caller is about to get the response's headers and first event. */
  onStreamStarted(): void;
}

/** How an attempt ended. */
export interface AttemptEnd {
  result: AttemptResult;
  /** HTTP status; 0 if no headers were received. */
  status: number;
  /** Names and values alternate; empty once a stream has started. */
  headers: string[];
  /** Body of a response that is not an event stream, in pieces. */
  body: Buffer[];
  /** Why the attempt failed; empty for a complete, accepted response. */
  reason: string;
  /** Whether the connection can carry another call. */
  isReusable: boolean;
  /** Idle limit that the upstream announced for the connection, in ms. */
  idleLimitMs: number | undefined;
  /** Remaining warm-up time that the upstream announced, in ms. */
  warmUpMs: number | undefined;
  /** Monotonic time of the first event or of the complete response, in ms. */
  firstMs: number | undefined;
}

/** Whether an attempt has ended before its request was written. */
export function isUnsent({ result }: Pick<AttemptEnd, "result">): boolean {
  return result === AttemptResult.Unsent || result === AttemptResult.Withdrawn;
}

/** Controls an attempt in progress. */
export interface AttemptRun {
  /** Resolves when the attempt has ended; never rejects. */
  ended: Promise<AttemptEnd>;
  /**
   * Monotonic time of the last bytes, or of the attempt's start, in ms; the
   * current time while the caller does not read.
   */
  lastReceivedMs(): number;
  /** Whether at least one complete event was received. */
  hasEvents(): boolean;
  /** Ends the attempt with the given result. */
  abort(result: AttemptResult): void;
}

/**
 * Reason if identifiers skip numbers: events are missing or belong to another
 * stream.
 */
const GAP_REASON = "the upstream skipped an event of the stream";

/** Highest status of a response (RFC 9110, 15). */
const MAX_STATUS = 599;
/** Size up to which an incomplete event takes no memory from the budget. */
const SMALL_EVENT_BYTES = 16_384;
/** Largest body of a response that is not an event stream, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** Largest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Sends a request to an upstream once and forwards a stream's complete events
 * to the caller. Other responses are returned when they have ended.
 */
export function runAttempt(options: AttemptOptions): AttemptRun {
  const { clock, protocol, stream, response, budget } = options;
  const splitter = createEventSplitter();
  const eventMemory = budget.reserve(0);
  const body = createBodyCollector({
    clock,
    budget,
    onRoom: resume,
    onNoRoom: () => breakOff("no memory is left for the body"),
  });
  let head: ResponseHead | undefined;
  let isEventStream = false;
  let isNotRun = false;
  let isRefusalStatus = false;
  let reason = "";
  /** Bytes of a refusal's body, which is not kept. */
  let refusalBytes = 0;
  let warmUpMs: number | undefined;
  let firstMs: number | undefined;
  let lastReceivedMs = clock.now();
  /** Whether nothing is read, as the caller does not read or memory is short. */
  let isPaused = false;
  let aborted: AttemptResult | undefined;
  let resolveEnd: (end: AttemptEnd) => void;
  const ended = new Promise<AttemptEnd>((resolve) => {
    resolveEnd = resolve;
  });

  function readHead(received: ResponseHead): boolean {
    head = received;
    recordReceived();
    if (received.status < 200 || received.status > MAX_STATUS) {
      return reject(`the upstream sent the invalid status ${received.status}`);
    }
    const metadata = protocol.readResponse(received.status, received.headers);
    if (!answersThisRequest(metadata)) {
      return reject("the upstream sent the response to another request");
    }
    warmUpMs = metadata.warmUpMs;
    options.onHead(metadata);
    isRefusalStatus = metadata.isRefusalStatus;
    if (metadata.isNotRun) {
      isNotRun = true;
      return true;
    }
    const isSuccess = received.status >= 200 && received.status < 300;
    if (!isSuccess) return true;
    if (!metadata.isSealed) {
      return reject("the answer is not the upstream's own");
    }
    if (received.headers["content-encoding"] !== undefined) {
      return reject("the answer's body is encoded");
    }
    isEventStream = stream.isStream;
    options.onAccepted?.();
    return true;
  }

  /**
   * Whether a response, also a refusal, is to this request: upstreams may write
   * that to an earlier one again. Without an identifier, only the first response
   * on a connection is certain to be.
   */
  function answersThisRequest({ id }: ResponseMetadata): boolean {
    if (id !== undefined) return id === options.requestId;
    return options.requestId === "" || !options.connection.hasCarriedCall;
  }

  function reject(message: string): boolean {
    reason = message;
    return false;
  }

  function recordReceived(): void {
    lastReceivedMs = clock.now();
    options.onReceived();
  }

  function readData(chunk: Buffer): void {
    recordReceived();
    if (!isEventStream) {
      readBody(chunk);
      return;
    }
    const events = splitter.push(chunk);
    if (splitter.pendingBytes() > MAX_EVENT_BYTES) {
      breakOff("the stream has too long an event");
      return;
    }
    if (!reserveEvent()) {
      options.onNoMemory();
      breakOff("no memory is left for the event");
      return;
    }
    if (!events) return;
    if (!options.claimResponse()) {
      aborted = AttemptResult.Superseded;
      running.abort();
      return;
    }
    firstMs ??= clock.now();
    options.onEvent();
    let start = 0;
    for (const [index, id] of events.ids.entries()) {
      const position = positionOf(id);
      if (position === EventPosition.Repeated) start = events.ends[index]!;
      if (position === EventPosition.Gap) {
        forward(events.bytes.subarray(start, events.ends[index - 1] ?? 0));
        reason = GAP_REASON;
        running.abort();
        return;
      }
      if (position !== EventPosition.Next) continue;
      stream.eventCount++;
      if (id !== "") stream.lastEventId = id;
    }
    forward(events.bytes.subarray(start));
  }

  /** Takes memory for an incomplete event; false if there is none. */
  function reserveEvent(): boolean {
    const bytes = splitter.pendingBytes();
    // The buffer of a growing event is up to twice as large.
    const size = bytes > SMALL_EVENT_BYTES ? 2 * bytes : 0;
    return size === eventMemory?.size() || eventMemory?.resize(size) === true;
  }

  function readBody(chunk: Buffer): void {
    if (isNotRun) {
      refusalBytes += chunk.length;
      if (refusalBytes > MAX_BODY_BYTES) breakOff("the body is too long");
      return;
    }
    if (body.byteCount() + chunk.length > MAX_BODY_BYTES) {
      breakOff("the body is too long");
      return;
    }
    if (body.push(chunk)) return;
    options.onNoMemory();
    pause();
  }

  function breakOff(message: string): void {
    body.release();
    reason = message;
    running.abort();
  }

  function pause(): void {
    isPaused = true;
    running.pause();
  }

  function resume(): void {
    isPaused = false;
    lastReceivedMs = clock.now();
    running.resume();
  }

  /** Only numeric identifiers are compared; any other event counts as next. */
  function positionOf(id: string): EventPosition {
    const last = stream.lastEventId;
    if (id === "" || last === undefined) return EventPosition.Next;
    const difference = Number(id) - Number(last);
    if (Number.isNaN(difference) || difference === 1) return EventPosition.Next;
    return difference <= 0 ? EventPosition.Repeated : EventPosition.Gap;
  }

  function forward(bytes: Buffer): void {
    if (bytes.length === 0) return;
    if (!stream.isStarted) {
      stream.isStarted = true;
      stream.softwareVersion = options.softwareVersion;
      options.onStreamStarted();
      response.startStream(
        head!.status,
        endToEndHeaders(head!.rawHeaders, isRelayHeader),
      );
    }
    if (response.write(bytes)) return;
    pause();
    response.onDrain(resume);
  }

  function resultOf(isComplete: boolean, wasSent: boolean): AttemptResult {
    if (aborted) return aborted;
    if (!wasSent) return AttemptResult.Unsent;
    if (isNotRun) return AttemptResult.NotRun;
    if (!isComplete || reason !== "") return AttemptResult.Broken;
    if (isRefusalStatus) return AttemptResult.UnstatedRefusal;
    if (isEventStream && splitter.pendingBytes() > 0) {
      reason = "the stream ended inside an event";
      return AttemptResult.Broken;
    }
    if (isEventStream && firstMs === undefined && !isEmptyRemainder()) {
      reason = "the stream has no event";
      return AttemptResult.Broken;
    }
    if (stream.isStarted && !isEventStream) {
      reason = `the stream was not resumed: status ${head?.status}`;
      return AttemptResult.Broken;
    }
    return AttemptResult.Complete;
  }

  /**
   * Whether the response says that a resumed stream has no event left. Without
   * a length, it may as well have ended early.
   */
  function isEmptyRemainder(): boolean {
    const { headers } = head!;
    const hasLength = headers["transfer-encoding"] !== undefined ||
      headers["content-length"] !== undefined;
    return stream.lastEventId !== undefined && hasLength;
  }

  const running = sendAttempt(options, {
    maySend() {
      if (!options.maySend || options.maySend()) return true;
      aborted ??= AttemptResult.Withdrawn;
      return false;
    },
    onSent: options.onSent,
    onHead: readHead,
    onData: readData,
    onEnd(end) {
      const result = resultOf(end.isComplete, end.wasSent);
      const isComplete = result === AttemptResult.Complete;
      if (isComplete) firstMs ??= clock.now();
      eventMemory?.release();
      resolveEnd({
        result,
        status: head?.status ?? 0,
        headers: head && !stream.isStarted
          ? endToEndHeaders(head.rawHeaders, isRelayHeader)
          : [],
        body: isComplete ? body.pieces() : [],
        reason: reason || end.reason ||
          (result === AttemptResult.UnstatedRefusal
            ? `the upstream responded with status ${head?.status} and does ` +
              "not state that it did not run the request"
            : ""),
        isReusable: end.isComplete && reason === "",
        idleLimitMs: head && readIdleLimit(head.headers),
        warmUpMs,
        firstMs,
      });
      // A body that is not passed on is dropped with its request at the latest.
      if (isComplete) response.onClosed(body.release);
      else body.release();
    },
  });

  return {
    ended,
    lastReceivedMs: () => isPaused ? clock.now() : lastReceivedMs,
    hasEvents: () => firstMs !== undefined,
    abort(result) {
      aborted ??= result;
      running.abort();
    },
  };
}

/** Position of an event relative to the last one sent to the caller. */
enum EventPosition {
  Next,
  /** Already sent to the caller; dropped. */
  Repeated,
  /** At least one event before it is missing. */
  Gap,
}
