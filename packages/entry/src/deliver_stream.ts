import type { EventSourceMessage } from "eventsource-parser";
import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { AttemptRequest } from "./attempt.ts";
import {
  checkStreamEvent,
  END_MARK,
  GarbageError,
  StreamEventKind,
} from "./check_stream_event.ts";
import type { SilenceGuard } from "./create_silence_guard.ts";
import { createEventReader } from "./create_event_reader.ts";
import type { UpstreamAnswer } from "./send_upstream.ts";

/** Most times that a stream is resumed. */
export const MAX_RESUMES = 3;
/** Longest wait for the connection's end behind the end mark. */
const CLOSING_LIMIT_MS = 1000;

/** What the delivery of a stream needs. */
export interface StreamSource {
  /** The answer to the call itself. */
  first: UpstreamAnswer;
  /** Asks the same upstream for the tokens from `next` on. */
  resume(next: number): Promise<UpstreamAnswer>;
  guard: SilenceGuard;
  /** Longest silence before the next token, in milliseconds. */
  silenceLimitMs(next: number): number;
  noteToken(): void;
  countCrossed(): void;
}

/** Writes a whole stream to the caller, or throws what kept it from that. */
export async function deliverStream(
  attempt: AttemptRequest,
  source: StreamSource,
): Promise<void> {
  const progress = { next: 0, ended: false };
  let answer = source.first;
  for (let resumes = 0;; resumes++) {
    try {
      await copyEvents(attempt, answer, { ...source, progress });
      return;
    } catch (cause) {
      if (progress.ended) return;
      const final = resumes >= MAX_RESUMES || !isResumable(cause, source);
      if (final) throw cause;
      answer = await source.resume(progress.next).catch(() => {
        throw cause;
      });
    }
  }
}

function isResumable(cause: unknown, source: StreamSource): boolean {
  if (source.guard.signal.aborted) return false;
  return !(cause instanceof GarbageError) || cause.resumable;
}

async function copyEvents(
  attempt: AttemptRequest,
  answer: UpstreamAnswer,
  source: StreamSource & { progress: { next: number; ended: boolean } },
): Promise<void> {
  checkContentType(answer);
  const { progress, guard } = source;
  const read = createEventReader();
  guard.arm(source.silenceLimitMs(progress.next));
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      const events = read(chunk);
      if (events.length === 0) continue;
      const flushed = passOn(attempt, events, source);
      if (!flushed && !progress.ended) {
        // A caller who reads slowly does not make the upstream silent.
        guard.disarm();
        await once(attempt.response, "drain", { signal: attempt.signal });
      }
      guard.arm(
        progress.ended
          ? CLOSING_LIMIT_MS
          : source.silenceLimitMs(progress.next),
      );
    }
  } finally {
    guard.disarm();
  }
  if (!progress.ended) throw new Error("the stream ended before its end mark");
}

/**
 * Writes the events of one chunk, as far as they belong to the answer; tells
 * whether the caller takes more at once.
 */
function passOn(
  attempt: AttemptRequest,
  events: readonly EventSourceMessage[],
  source: StreamSource & { progress: { next: number; ended: boolean } },
): boolean {
  const { progress } = source;
  if (progress.ended) return true;
  let text = "";
  try {
    for (const event of events) {
      const { next } = progress;
      const kind = checkStreamEvent(event, { attempt: attempt.attempt, next });
      if (kind === StreamEventKind.End) {
        writeStreamHead(attempt);
        attempt.response.end(`${text}data: ${END_MARK}\n\n`);
        progress.ended = true;
        return true;
      }
      if (kind !== StreamEventKind.Token) {
        source.countCrossed();
        continue;
      }
      progress.next++;
      source.noteToken();
      text += `data: ${event.data}\n\n`;
    }
  } catch (error) {
    // What came before a broken event is right and has been counted.
    write(attempt, text);
    throw error;
  }
  return write(attempt, text);
}

function write(attempt: AttemptRequest, text: string): boolean {
  if (!text) return true;
  writeStreamHead(attempt);
  const { response } = attempt;
  return response.destroyed || response.write(text);
}

function writeStreamHead({ response, call }: AttemptRequest): void {
  if (response.headersSent) return;
  // Set one by one: headers given to writeHead cannot be read back, and the
  // type decides how an error after the head is shown.
  response.setHeader("content-type", "text/event-stream");
  response.setHeader("cache-control", "no-cache");
  response.setHeader("x-request-id", call.request);
  response.writeHead(200);
}

function checkContentType(answer: UpstreamAnswer): void {
  const type = String(answer.headers["content-type"] ?? "");
  if (type.startsWith("text/event-stream")) return;
  answer.body.destroy();
  throw new GarbageError(`"${type}" came in place of a stream`, {
    resumable: false,
  });
}
