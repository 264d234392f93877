import { CallOutcome, ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { IncomingHttpHeaders } from "node:http";
import { pipeline } from "node:stream/promises";
import type { AttemptOptions, AttemptRunner } from "./attempt.ts";
import { describeFailure } from "./describe_failure.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import {
  sendUpstream,
  UnsentError,
  type UpstreamResponse,
} from "./send_upstream.ts";

/**
 * Creates the function that runs attempts on plain services. It relays each
 * response unchanged, whatever its status, except that it drops hop-by-hop
 * headers and sets `x-request-id`.
 */
export function createServiceAttemptRunner(
  options: AttemptOptions,
): AttemptRunner {
  return async function runServiceAttempt(attempt) {
    const { call, response, signal } = attempt;
    const { clock } = options;
    const startedMs = clock.now();
    let firstTokenMs = -1;

    async function deliver(): Promise<void> {
      const upstreamResponse = await sendUpstream(attempt, {
        dispatcher: options.dispatcher,
        method: call.method,
        path: call.path,
        headers: {
          ...call.headers,
          "x-request-id": call.requestId,
          "x-attempt-id": attempt.id,
        },
        body: call.body,
        signal,
      });
      firstTokenMs = clock.now() - startedMs;
      response.writeHead(upstreamResponse.statusCode, {
        ...responseHeaders(upstreamResponse),
        "x-request-id": call.requestId,
      });
      await pipeline(upstreamResponse.body, response, { signal });
    }

    const failure = await deliver().then(() => undefined, (cause) => ({
      outcome: outcomeOf(cause, signal),
      error: errorOf(cause),
    }));
    const totalMs = clock.now() - startedMs;
    const outcome = failure?.outcome ?? CallOutcome.Complete;
    return {
      outcome,
      firstTokenMs,
      totalMs,
      tokens: 0,
      error: failure?.error,
    };
  };
}

function responseHeaders(
  upstreamResponse: UpstreamResponse,
): IncomingHttpHeaders {
  return endToEndHeaders(upstreamResponse.headers);
}

function outcomeOf(cause: unknown, signal: AbortSignal): CallOutcome {
  if (cause instanceof UnsentError) {
    if (signal.aborted || cause.cause instanceof TillerError) {
      return CallOutcome.Unused;
    }
    return CallOutcome.ConnectFailed;
  }
  if (!signal.aborted) return CallOutcome.Crashed;
  return signal.reason instanceof TillerError
    ? CallOutcome.TimedOut
    : CallOutcome.Cancelled;
}

function errorOf(cause: unknown): TillerError {
  const reason = cause instanceof UnsentError ? cause.cause : cause;
  if (reason instanceof TillerError) return reason;
  const detail = describeFailure(reason);
  return new TillerError(ErrorKind.UpstreamFailed, detail, { cause });
}
