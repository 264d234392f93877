import type { Clock } from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import { endToEndHeaders } from "./answer_headers.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { Connection } from "./create_connection_pool.ts";
import { AttemptResult } from "./enums.ts";
import type { WireProtocol } from "./ports.ts";
import { type AnswerHead, readIdleLimit, sendAttempt } from "./send_attempt.ts";
import { createEventSplitter } from "./split_events.ts";

/** How far the caller's stream has come, over all attempts. */
export interface StreamState {
  isStream: boolean;
  /** Identifier of the last event that the caller has. */
  lastEventId: string | undefined;
  /** Whether the answer's head went to the caller. */
  isBegun: boolean;
  eventCount: number;
}

/** One attempt at an upstream. */
export interface AttemptOptions {
  clock: Clock;
  protocol: WireProtocol;
  connection: Connection;
  requestId: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
  stream: StreamState;
  answer: CallerAnswer;
  onSent(): void;
  /** Bytes came from the upstream. */
  onHeard(): void;
  /** A whole event came. */
  onEvent(): void;
}

/** How an attempt ended. */
export interface AttemptEnd {
  result: AttemptResult;
  status: number;
  /** Headers for the caller by turns with values; none once a stream began. */
  headers: string[];
  /** Body of an answer that is not streamed. */
  body: Buffer;
  reason: string;
  /** Whether the connection may carry another call. */
  isReusable: boolean;
  idleLimitMs: number | undefined;
  coldMs: number | undefined;
  /** When the first event or the whole answer came. */
  firstMs: number | undefined;
}

/** An attempt in progress. */
export interface AttemptRun {
  ended: Promise<AttemptEnd>;
  /** When bytes last came, or the attempt began. */
  heardMs(): number;
  abort(result: AttemptResult): void;
}

/** Events that come out of order or belong to another stream. */
const GAP_REASON = "the stream has a gap";

/** Sends a request to an upstream and passes a stream's events on. */
export function runAttempt(options: AttemptOptions): AttemptRun {
  const { clock, protocol, stream, answer } = options;
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let head: AnswerHead | undefined;
  let isEventStream = false;
  let isNotRun = false;
  let reason = "";
  let coldMs: number | undefined;
  let firstMs: number | undefined;
  let heardMs = clock.now();
  let aborted: AttemptResult | undefined;
  let resolveEnd: (end: AttemptEnd) => void;
  const ended = new Promise<AttemptEnd>((resolve) => {
    resolveEnd = resolve;
  });

  function readHead(given: AnswerHead): boolean {
    head = given;
    hear();
    const facts = protocol.readAnswer(given.status, given.headers);
    coldMs = facts.coldMs;
    if (facts.isNotRun) {
      isNotRun = true;
      return true;
    }
    if (facts.id !== undefined && facts.id !== options.requestId) {
      return reject("the answer belongs to another request");
    }
    const isSuccess = given.status >= 200 && given.status < 300;
    if (!isSuccess) return true;
    if (!facts.isSealed) return reject("the answer is not the upstream's own");
    if (given.headers["content-encoding"] !== undefined) {
      return reject("the answer's body is encoded");
    }
    isEventStream = stream.isStream;
    return true;
  }

  function reject(why: string): boolean {
    reason = why;
    return false;
  }

  function hear(): void {
    heardMs = clock.now();
    options.onHeard();
  }

  function readData(chunk: Buffer): void {
    hear();
    if (!isEventStream) {
      chunks.push(chunk);
      return;
    }
    const events = splitter.push(chunk);
    if (!events) return;
    firstMs ??= clock.now();
    options.onEvent();
    let start = 0;
    for (const [index, id] of events.ids.entries()) {
      const place = placeOf(id);
      if (place === EventPlace.Repeated) start = events.ends[index]!;
      if (place === EventPlace.Gap) {
        pass(events.bytes.subarray(start, events.ends[index - 1] ?? 0));
        reason = GAP_REASON;
        running.abort();
        return;
      }
      if (place !== EventPlace.Next) continue;
      stream.eventCount++;
      if (id !== "") stream.lastEventId = id;
    }
    pass(events.bytes.subarray(start));
  }

  function placeOf(id: string): EventPlace {
    const last = stream.lastEventId;
    if (id === "" || last === undefined) return EventPlace.Next;
    const difference = Number(id) - Number(last);
    if (Number.isNaN(difference) || difference === 1) return EventPlace.Next;
    return difference <= 0 ? EventPlace.Repeated : EventPlace.Gap;
  }

  function pass(bytes: Buffer): void {
    if (bytes.length === 0) return;
    if (!stream.isBegun) {
      stream.isBegun = true;
      answer.begin(head!.status, endToEndHeaders(head!.rawHeaders));
    }
    if (answer.write(bytes)) return;
    running.pause();
    answer.onDrain(() => running.resume());
  }

  function resultOf(isWhole: boolean, wasSent: boolean): AttemptResult {
    if (aborted) return aborted;
    if (!wasSent) return AttemptResult.Unsent;
    if (isNotRun) return AttemptResult.NotRun;
    if (!isWhole || reason !== "") return AttemptResult.Broken;
    if (isEventStream && (splitter.restBytes() > 0 || firstMs === undefined)) {
      reason = "the stream ended inside an event";
      return AttemptResult.Broken;
    }
    if (stream.isBegun && !isEventStream) {
      reason = `the stream was not resumed: status ${head?.status}`;
      return AttemptResult.Broken;
    }
    return AttemptResult.Whole;
  }

  const running = sendAttempt(options, {
    onSent: options.onSent,
    onHead: readHead,
    onData: readData,
    onEnd(end) {
      const result = resultOf(end.isWhole, end.wasSent);
      if (result === AttemptResult.Whole) firstMs ??= clock.now();
      resolveEnd({
        result,
        status: head?.status ?? 0,
        headers: head && !stream.isBegun
          ? endToEndHeaders(head.rawHeaders)
          : [],
        body: Buffer.concat(chunks),
        reason: reason || end.reason,
        isReusable: end.isWhole && reason === "",
        idleLimitMs: head && readIdleLimit(head.headers),
        coldMs,
        firstMs,
      });
    },
  });

  return {
    ended,
    heardMs: () => heardMs,
    abort(result) {
      aborted = result;
      running.abort();
    },
  };
}

enum EventPlace {
  Next,
  Repeated,
  Gap,
}
