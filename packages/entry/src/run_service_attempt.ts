import {
  CallOutcome,
  ErrorKind,
  RunState,
  TillerError,
} from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import { type Dispatcher, request } from "undici";
import type { AttemptOptions, AttemptRunner } from "./attempt.ts";

/** Methods that HTTP defines as safe to repeat. */
export const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);

/** Creates the runner of calls to plain services. */
export function createServiceAttempt(options: AttemptOptions): AttemptRunner {
  return async function runServiceAttempt(attempt) {
    const { call, address, response, signal } = attempt;
    const startedMs = options.now();
    let outcome = CallOutcome.Complete;
    let error: TillerError | undefined;
    try {
      const answer = await request(new URL(call.path, address), {
        dispatcher: options.dispatcher,
        method: call.method as Dispatcher.HttpMethod,
        headers: {
          ...call.headers,
          "x-request-id": call.request,
          "x-attempt-id": attempt.attempt,
        },
        body: call.body.length > 0 ? call.body : null,
        signal,
      });
      const body = Buffer.from(await answer.body.arrayBuffer());
      response.writeHead(answer.statusCode, {
        "content-type": String(
          answer.headers["content-type"] ?? "application/octet-stream",
        ),
        "x-request-id": call.request,
      });
      response.end(body);
    } catch (cause) {
      const code = (cause as { code?: string }).code;
      const unsent = code === "ECONNREFUSED" ||
        code === "UND_ERR_CONNECT_TIMEOUT";
      outcome = unsent ? CallOutcome.ConnectFailed : CallOutcome.Crashed;
      if (signal.aborted) outcome = CallOutcome.Cancelled;
      error = new TillerError(
        unsent ? ErrorKind.UpstreamFailed : ErrorKind.OutcomeUnknown,
        (cause as Error).message,
        { run: unsent ? RunState.NotRun : RunState.MayHaveRun, cause },
      );
    }
    const totalMs = options.now() - startedMs;
    const firstTokenMs = error ? -1 : totalMs;
    return { outcome, firstTokenMs, totalMs, tokens: 0, error };
  };
}
