import { ERROR_ANSWERS, type TillerError } from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/** Delay offered to callers where nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** The problem document of an error. */
export function problemOf(
  error: TillerError,
  request: string,
): Record<string, string | number> {
  const { status, title } = ERROR_ANSWERS[error.kind];
  return {
    type: `urn:rosemarytiller:error:${error.kind}`,
    title,
    status,
    detail: error.message,
    kind: error.kind,
    run: error.run,
    request,
  };
}

/** Answers with a problem document, or ends a stream with an error event. */
export function writeProblem(
  response: ServerResponse,
  error: TillerError,
  request: string,
): void {
  if (response.destroyed || response.writableEnded) return;
  const problem = problemOf(error, request);
  if (response.headersSent) {
    endStarted(response, problem);
    return;
  }
  const { status, retryable } = ERROR_ANSWERS[error.kind];
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "x-request-id": request,
  };
  const defaultMs = retryable ? DEFAULT_RETRY_AFTER_MS : undefined;
  const delayMs = error.retryAfterMs ?? defaultMs;
  if (delayMs !== undefined) {
    headers["retry-after"] = String(Math.max(1, Math.ceil(delayMs / 1000)));
  }
  const body = JSON.stringify(problem);
  headers["content-length"] = String(Buffer.byteLength(body));
  if (response.req.complete) {
    response.writeHead(status, headers);
    response.end(body);
    return;
  }
  response.writeHead(status, { ...headers, connection: "close" });
  response.write(body);
  endAfterRequest(response);
}

/** Longest time for the rest of a refused request to arrive. */
export const LINGER_MS = 1000;

/**
 * Closing a connection with unread bytes could reset it before the caller has
 * read the answer, so the rest is read and dropped for a while.
 */
function endAfterRequest(response: ServerResponse): void {
  const { req: request } = response;
  const timer = setTimeout(finish, LINGER_MS);
  request.once("end", finish);
  request.once("close", finish);
  request.resume();
  function finish(): void {
    clearTimeout(timer);
    response.end();
  }
}

/** An answer that has begun can only be ended in a way the caller sees. */
function endStarted(
  response: ServerResponse,
  problem: Record<string, string | number>,
): void {
  const type = String(response.getHeader("content-type") ?? "");
  if (!type.startsWith("text/event-stream")) {
    response.destroy();
    return;
  }
  response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
}
