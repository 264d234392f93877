import {
  CallOutcome,
  ErrorKind,
  RunState,
  TillerError,
} from "@rosemarytiller/shared";
import { createParser } from "eventsource-parser";
import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { type Dispatcher, request } from "undici";
import type {
  AttemptOptions,
  AttemptRequest,
  AttemptRunner,
} from "./attempt.ts";

/** Data of the event that ends a whole stream. */
export const END_MARK = "[DONE]";

/** Creates the runner of calls to model runners. */
export function createModelAttempt(options: AttemptOptions): AttemptRunner {
  return async function runModelAttempt(attempt) {
    const startedMs = options.now();
    const progress: Progress = { sent: false, firstTokenMs: -1, tokens: 0 };
    const noteToken = () => {
      if (progress.tokens++ > 0) return;
      progress.firstTokenMs = options.now() - startedMs;
    };
    let error: TillerError | undefined;
    let outcome = CallOutcome.Complete;
    try {
      const answer = await send(attempt, options, progress);
      const deliver = attempt.call.stream ? deliverStream : deliverWhole;
      await deliver(attempt, answer, noteToken);
    } catch (cause) {
      ({ outcome, error } = failureOf(cause, attempt, progress));
    }
    const { firstTokenMs, tokens } = progress;
    const totalMs = options.now() - startedMs;
    if (outcome === CallOutcome.Cancelled) void cancel(attempt, options);
    return { outcome, firstTokenMs, totalMs, tokens, error };
  };
}

interface Progress {
  /** Whether the upstream may have seen the call. */
  sent: boolean;
  firstTokenMs: number;
  tokens: number;
}

async function send(
  attempt: AttemptRequest,
  options: AttemptOptions,
  progress: Progress,
): Promise<Dispatcher.ResponseData> {
  const { call, address, signal } = attempt;
  const answer = await request(new URL(call.path, address), {
    dispatcher: options.dispatcher,
    method: "POST",
    headers: {
      ...call.headers,
      "x-request-id": call.request,
      "x-attempt-id": attempt.attempt,
      "x-priority": String(call.requestClass.tier),
    },
    body: call.body,
    signal,
  });
  progress.sent = true;
  if (answer.statusCode === 200) return answer;
  const text = await answer.body.text();
  throw new StatusError(answer.statusCode, text.slice(0, 200));
}

/** The upstream answered a status other than 200. */
class StatusError extends Error {
  readonly status: number;

  constructor(status: number, text: string) {
    super(`the upstream answered ${status}: ${text}`);
    this.name = "StatusError";
    this.status = status;
  }
}

async function deliverStream(
  attempt: AttemptRequest,
  answer: Dispatcher.ResponseData,
  noteToken: () => void,
): Promise<void> {
  const type = String(answer.headers["content-type"] ?? "");
  if (!type.startsWith("text/event-stream")) {
    throw new Error(`the upstream answered "${type}" in place of a stream`);
  }
  const { response } = attempt;
  let ended = false;
  let pending = "";
  const parser = createParser({
    onEvent(event) {
      if (event.data === END_MARK) ended = true;
      else noteToken();
      pending += `data: ${event.data}\n\n`;
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (!pending) continue;
    if (ended) break;
    await writeChunk(response, attempt, pending);
    pending = "";
  }
  if (!ended) throw new Error("the stream ended without its end mark");
  writeStreamHead(response, attempt);
  response.end(pending);
}

async function writeChunk(
  response: ServerResponse,
  attempt: AttemptRequest,
  text: string,
): Promise<void> {
  writeStreamHead(response, attempt);
  if (response.write(text)) return;
  await once(response, "drain", { signal: attempt.signal });
}

function writeStreamHead(
  response: ServerResponse,
  attempt: AttemptRequest,
): void {
  if (response.headersSent) return;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    "x-request-id": attempt.call.request,
  });
}

async function deliverWhole(
  attempt: AttemptRequest,
  answer: Dispatcher.ResponseData,
  noteToken: () => void,
): Promise<void> {
  const text = await answer.body.text();
  JSON.parse(text);
  noteToken();
  attempt.response.writeHead(200, {
    "content-type": "application/json",
    "x-request-id": attempt.call.request,
  });
  attempt.response.end(text);
}

function failureOf(
  cause: unknown,
  attempt: AttemptRequest,
  progress: Progress,
): { outcome: CallOutcome; error: TillerError } {
  const outcome = outcomeOf(cause, attempt, progress);
  const { kind, run } = FAILURES[outcome]!;
  const detail = cause instanceof Error ? cause.message : String(cause);
  return { outcome, error: new TillerError(kind, detail, { run, cause }) };
}

function outcomeOf(
  cause: unknown,
  attempt: AttemptRequest,
  progress: Progress,
): CallOutcome {
  if (attempt.signal.aborted) {
    return attempt.signal.reason instanceof TillerError
      ? CallOutcome.TimedOut
      : CallOutcome.Cancelled;
  }
  if (cause instanceof StatusError) {
    if (cause.status === 429 || cause.status === 503) {
      return CallOutcome.Refused;
    }
    return cause.status >= 500 ? CallOutcome.Crashed : CallOutcome.Rejected;
  }
  const code = (cause as { code?: string }).code;
  if (!progress.sent && NOTHING_SENT_CODES.has(code ?? "")) {
    return CallOutcome.ConnectFailed;
  }
  return CallOutcome.Crashed;
}

const NOTHING_SENT_CODES = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

const FAILURES: Partial<
  Record<CallOutcome, { kind: ErrorKind; run: RunState }>
> = {
  [CallOutcome.ConnectFailed]: {
    kind: ErrorKind.UpstreamFailed,
    run: RunState.NotRun,
  },
  [CallOutcome.Refused]: {
    kind: ErrorKind.UpstreamFailed,
    run: RunState.NotRun,
  },
  [CallOutcome.Rejected]: {
    kind: ErrorKind.InvalidRequest,
    run: RunState.MayHaveRun,
  },
  [CallOutcome.Crashed]: {
    kind: ErrorKind.IncompleteAnswer,
    run: RunState.MayHaveRun,
  },
  [CallOutcome.TimedOut]: {
    kind: ErrorKind.DeadlineExceeded,
    run: RunState.MayHaveRun,
  },
  [CallOutcome.Cancelled]: {
    kind: ErrorKind.IncompleteAnswer,
    run: RunState.MayHaveRun,
  },
};

/** Tells the engine to stop a stream that nobody reads any more. */
async function cancel(
  attempt: AttemptRequest,
  options: AttemptOptions,
): Promise<void> {
  const path = `/v1/streams/${encodeURIComponent(attempt.attempt)}`;
  try {
    const { body } = await request(new URL(path, attempt.address), {
      dispatcher: options.dispatcher,
      method: "DELETE",
    });
    await body.dump();
  } catch {
    // The closed connection tells the engine the same, only later.
  }
}
