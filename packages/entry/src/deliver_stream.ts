import type { EventSourceMessage } from "eventsource-parser";
import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { AttemptRequest } from "./attempt.ts";
import {
  classifyStreamEvent,
  END_MARK,
  InvalidResponseError,
  StreamEventKind,
} from "./classify_stream_event.ts";
import type { IdleTimer } from "./create_idle_timer.ts";
import { createEventReader } from "./create_event_reader.ts";
import type { UpstreamResponse } from "./send_upstream.ts";

/** Maximum number of times that a stream is resumed. */
export const MAX_RESUMES = 3;
/** Idle timeout for the upstream to end the response after the end mark. */
const CLOSE_TIMEOUT_MS = 1000;

/** Source of a stream that is relayed to a caller, and its callbacks. */
export interface StreamSource {
  /** The response to the attempt itself, before any resume. */
  first: UpstreamResponse;
  /** Requests the tokens from `next` on from the same upstream. */
  resume(next: number): Promise<UpstreamResponse>;
  idleTimer: IdleTimer;
  /** Idle timeout while waiting for token `next`, in milliseconds. */
  idleTimeoutMs(next: number): number;
  /** Called for each token that is relayed. */
  onToken(): void;
  /** Counts an event that was dropped: repeated or of another attempt. */
  countDroppedEvent(): void;
}

/**
 * Relays a stream to the caller until its end mark, and resumes it after a
 * failure where possible. Throws the failure if the stream stays incomplete.
 */
export async function deliverStream(
  attempt: AttemptRequest,
  source: StreamSource,
): Promise<void> {
  const progress = { next: 0, ended: false };
  let upstreamResponse = source.first;
  for (let resumes = 0;; resumes++) {
    try {
      await relayResponse(attempt, upstreamResponse, { ...source, progress });
      return;
    } catch (cause) {
      if (progress.ended) return;
      const isFinal = resumes >= MAX_RESUMES || !isResumable(cause, source);
      if (isFinal) throw cause;
      upstreamResponse = await source.resume(progress.next).catch(() => {
        throw cause;
      });
    }
  }
}

function isResumable(cause: unknown, source: StreamSource): boolean {
  if (source.idleTimer.signal.aborted) return false;
  return !(cause instanceof InvalidResponseError) || cause.resumable;
}

async function relayResponse(
  attempt: AttemptRequest,
  upstreamResponse: UpstreamResponse,
  source: StreamSource & { progress: { next: number; ended: boolean } },
): Promise<void> {
  checkContentType(upstreamResponse);
  const { progress, idleTimer } = source;
  const read = createEventReader();
  idleTimer.arm(source.idleTimeoutMs(progress.next));
  try {
    for await (const chunk of upstreamResponse.body as AsyncIterable<Buffer>) {
      const events = read(chunk);
      if (events.length === 0) continue;
      const flushed = relayEvents(attempt, events, source);
      if (!flushed && !progress.ended) {
        // Backpressure from the caller must not count as an idle upstream.
        idleTimer.disarm();
        await once(attempt.response, "drain", { signal: attempt.signal });
      }
      idleTimer.arm(
        progress.ended ? CLOSE_TIMEOUT_MS : source.idleTimeoutMs(progress.next),
      );
    }
  } finally {
    idleTimer.disarm();
  }
  if (!progress.ended) {
    throw new Error(`the upstream ended the stream before ${END_MARK}`);
  }
}

/**
 * Writes the events of one chunk to the caller, except those that are repeated
 * or belong to another attempt.
 * Returns false if the caller's connection applies backpressure.
 */
function relayEvents(
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
      const kind = classifyStreamEvent(event, { attempt: attempt.id, next });
      if (kind === StreamEventKind.End) {
        writeStreamHeaders(attempt);
        attempt.response.end(`${text}data: ${END_MARK}\n\n`);
        progress.ended = true;
        return true;
      }
      if (kind !== StreamEventKind.Token) {
        source.countDroppedEvent();
        continue;
      }
      progress.next++;
      source.onToken();
      text += `data: ${event.data}\n\n`;
    }
  } catch (error) {
    // The tokens before the invalid event are valid and already counted.
    write(attempt, text);
    throw error;
  }
  return write(attempt, text);
}

function write(attempt: AttemptRequest, text: string): boolean {
  if (!text) return true;
  writeStreamHeaders(attempt);
  const { response } = attempt;
  return response.destroyed || response.write(text);
}

function writeStreamHeaders({ response, call }: AttemptRequest): void {
  if (response.headersSent) return;
  // Set one by one, as headers that are passed to writeHead cannot be read back:
  // `writeProblem` reads the content type to report an error after the headers
  // were sent.
  response.setHeader("content-type", "text/event-stream");
  response.setHeader("cache-control", "no-cache");
  response.setHeader("x-request-id", call.requestId);
  response.writeHead(200);
}

function checkContentType(upstreamResponse: UpstreamResponse): void {
  const type = String(upstreamResponse.headers["content-type"] ?? "");
  if (type.startsWith("text/event-stream")) return;
  upstreamResponse.body.destroy();
  throw new InvalidResponseError(
    `the upstream sent the content type "${type}" instead of an event stream`,
    { resumable: false },
  );
}
