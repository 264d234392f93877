import {
  CallOutcome,
  ErrorKind,
  readLimited,
  TillerError,
} from "@rosemarytiller/shared";
import type {
  AttemptOptions,
  AttemptRequest,
  AttemptResult,
  AttemptRunner,
} from "./attempt.ts";
import { checkNonStreamingResponse } from "./classify_stream_event.ts";
import { createIdleTimer, type IdleTimer } from "./create_idle_timer.ts";
import { deliverStream } from "./deliver_stream.ts";
import { describeFailure } from "./describe_failure.ts";
import {
  ignoreUnreadBodyErrors,
  resolveUpstreamUrl,
  sendUpstream,
  UnsentError,
  type UpstreamResponse,
} from "./send_upstream.ts";

/** Minimum idle timeout of a stream. */
export const MIN_IDLE_TIMEOUT_MS = 3000;
/** Idle timeout before the first token, as a multiple of its target time. */
const FIRST_TOKEN_TIMEOUT_FACTOR = 10;
/** Idle timeout between tokens, as a multiple of their target interval. */
const BETWEEN_TOKENS_TIMEOUT_FACTOR = 100;
/** Timeout of a cancellation request to a model runner. */
const CANCEL_TIMEOUT_MS = 1000;
/** Memory that a non-streaming answer may take, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Memory that the body of an error may take, in bytes. */
const MAX_ERROR_BYTES = 65_536;
/** Maximum number of characters of an upstream's error text in a message. */
const MAX_ERROR_TEXT_LENGTH = 200;

/**
 * Creates the function that runs attempts on model runners. It checks each
 * response, resumes interrupted streams, and cancels calls whose response is no
 * longer read.
 */
export function createModelAttemptRunner(
  options: AttemptOptions,
): AttemptRunner {
  return async function runModelAttempt(attempt) {
    const { clock } = options;
    const startedMs = clock.now();
    const idleTimer = createIdleTimer(attempt.signal, { clock });
    const progress = { firstTokenMs: -1, tokens: 0 };
    const onToken = () => {
      if (progress.tokens++ > 0) return;
      progress.firstTokenMs = clock.now() - startedMs;
    };
    const context = { options, idleTimer, onToken };
    const failure = await deliver(attempt, context).catch((cause) =>
      failureOf(cause, attempt, idleTimer)
    );
    idleTimer.close();
    if (failure && CANCEL_OUTCOMES.has(failure.outcome)) {
      void cancelAttempt(attempt, options);
    }
    const totalMs = clock.now() - startedMs;
    const outcome = failure?.outcome ?? CallOutcome.Complete;
    return { ...progress, totalMs, outcome, error: failure?.error };
  };
}

interface AttemptContext {
  options: AttemptOptions;
  idleTimer: IdleTimer;
  onToken(): void;
}

async function deliver(
  attempt: AttemptRequest,
  context: AttemptContext,
): Promise<void> {
  const { stream, requestClass } = attempt.call;
  const { firstTokenMs, betweenTokensMs } = requestClass;
  const idleTimeoutMs = (next: number) =>
    Math.max(
      MIN_IDLE_TIMEOUT_MS,
      next === 0
        ? firstTokenMs * FIRST_TOKEN_TIMEOUT_FACTOR
        : betweenTokensMs * BETWEEN_TOKENS_TIMEOUT_FACTOR,
    );
  // Nothing of a non-streaming response arrives until it is complete, so only
  // the class's `totalMs` limits it.
  if (stream) context.idleTimer.arm(idleTimeoutMs(0));
  const first = await sendCall(attempt, context);
  if (!stream) return await deliverNonStreaming(attempt, first, context);
  await deliverStream(attempt, {
    first,
    resume: (next) => resume(attempt, next, context),
    idleTimer: context.idleTimer,
    idleTimeoutMs,
    onToken: context.onToken,
    countDroppedEvent: context.options.countDroppedEvent,
  });
}

async function sendCall(
  attempt: AttemptRequest,
  context: AttemptContext,
): Promise<UpstreamResponse> {
  const { call } = attempt;
  const upstreamResponse = await sendUpstream(attempt, {
    dispatcher: context.options.dispatcher,
    method: "POST",
    path: call.path,
    headers: {
      ...call.headers,
      "x-request-id": call.requestId,
      "x-attempt-id": attempt.id,
      "x-priority": String(call.requestClass.tier),
    },
    body: call.body,
    signal: context.idleTimer.signal,
  });
  if (upstreamResponse.statusCode === 200) return upstreamResponse;
  const { statusCode, body } = upstreamResponse;
  const text = await readLimited(body, MAX_ERROR_BYTES).catch(() => "");
  throw new StatusError(
    statusCode,
    text.toString().slice(0, MAX_ERROR_TEXT_LENGTH),
  );
}

/** Requests the rest of a stream; this does not run the call again. */
async function resume(
  attempt: AttemptRequest,
  next: number,
  context: AttemptContext,
): Promise<UpstreamResponse> {
  const upstreamResponse = await context.options.dispatcher.request({
    ...resolveUpstreamUrl(
      attempt.address,
      `${streamPath(attempt)}?from=${next}`,
    ),
    method: "GET",
    headers: { "x-request-id": attempt.call.requestId },
    signal: context.idleTimer.signal,
  });
  if (upstreamResponse.statusCode === 200) {
    attempt.onResumed(next);
    return ignoreUnreadBodyErrors(upstreamResponse);
  }
  await upstreamResponse.body.dump();
  throw new Error("the stream cannot be resumed");
}

function streamPath(attempt: AttemptRequest): string {
  return `/v1/streams/${encodeURIComponent(attempt.id)}`;
}

/** The upstream responded with a status other than 200. */
class StatusError extends Error {
  readonly status: number;

  constructor(status: number, text: string) {
    super(
      `the upstream responded with status ${status}${text ? `: ${text}` : ""}`,
    );
    this.name = "StatusError";
    this.status = status;
  }
}

async function deliverNonStreaming(
  attempt: AttemptRequest,
  upstreamResponse: UpstreamResponse,
  context: AttemptContext,
): Promise<void> {
  const body = await readLimited(upstreamResponse.body, MAX_ANSWER_BYTES);
  const text = body.toString();
  checkNonStreamingResponse(text, attempt.id);
  context.onToken();
  attempt.response.writeHead(200, {
    "content-type": "application/json",
    "x-request-id": attempt.call.requestId,
  });
  attempt.response.end(text);
}

function failureOf(
  cause: unknown,
  attempt: AttemptRequest,
  idleTimer: IdleTimer,
): Required<Pick<AttemptResult, "outcome" | "error">> {
  const outcome = outcomeOf(cause, attempt, idleTimer);
  const reason = cause instanceof UnsentError ? cause.cause : cause;
  if (reason instanceof TillerError) return { outcome, error: reason };
  const detail = describeFailure(reason);
  const kind = ERROR_KINDS[outcome] ?? ErrorKind.UpstreamFailed;
  return { outcome, error: new TillerError(kind, detail, { cause }) };
}

function outcomeOf(
  cause: unknown,
  attempt: AttemptRequest,
  idleTimer: IdleTimer,
): CallOutcome {
  if (cause instanceof UnsentError) {
    if (attempt.signal.aborted) return CallOutcome.Unused;
    return cause.cause instanceof TillerError
      ? CallOutcome.Unused
      : CallOutcome.ConnectFailed;
  }
  if (attempt.signal.aborted) {
    return attempt.signal.reason instanceof TillerError
      ? CallOutcome.TimedOut
      : CallOutcome.Cancelled;
  }
  if (idleTimer.hasFired()) return CallOutcome.TimedOut;
  if (!(cause instanceof StatusError)) return CallOutcome.Crashed;
  if (REFUSAL_STATUSES.has(cause.status)) return CallOutcome.Refused;
  return cause.status >= 500 ? CallOutcome.Crashed : CallOutcome.Rejected;
}

/** Statuses with which a model runner refuses a call without running it. */
const REFUSAL_STATUSES = new Set([429, 503]);

/** Error kinds by outcome; `upstream-failed` for all others. */
const ERROR_KINDS: Partial<Record<CallOutcome, ErrorKind>> = {
  [CallOutcome.Rejected]: ErrorKind.InvalidRequest,
  [CallOutcome.Crashed]: ErrorKind.IncompleteAnswer,
  [CallOutcome.TimedOut]: ErrorKind.DeadlineExceeded,
  [CallOutcome.Cancelled]: ErrorKind.IncompleteAnswer,
};

/** Outcomes after which the model runner may still be running the call. */
const CANCEL_OUTCOMES = new Set([
  CallOutcome.Cancelled,
  CallOutcome.TimedOut,
  CallOutcome.Crashed,
]);

/** Asks the model runner to stop a call whose response is no longer read. */
async function cancelAttempt(
  attempt: AttemptRequest,
  options: AttemptOptions,
): Promise<void> {
  try {
    const { body } = await options.dispatcher.request({
      ...resolveUpstreamUrl(attempt.address, streamPath(attempt)),
      method: "DELETE",
      signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    });
    await body.dump();
  } catch {
    // Best effort: the model runner also notices the closed connection, only
    // later.
  }
}
