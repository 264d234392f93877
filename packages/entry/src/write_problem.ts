import { ERROR_RESPONSES, type TillerError } from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/** Delay in `retry-after` for retryable errors that set none. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Returns the problem document of an error, as in RFC 9457. */
export function problemOf(
  error: TillerError,
  requestId: string,
): Record<string, string | number> {
  const { status, title } = ERROR_RESPONSES[error.kind];
  return {
    type: `urn:rosemarytiller:error:${error.kind}`,
    title,
    status,
    detail: error.message,
    kind: error.kind,
    run: error.run,
    request: requestId,
  };
}

/**
 * Sends an error to the caller: as a problem document, as the last event of a
 * stream that has begun, or by closing the connection of any other response
 * that has begun. Does nothing if the response has ended.
 */
export function writeProblem(
  response: ServerResponse,
  error: TillerError,
  requestId: string,
): void {
  if (response.destroyed || response.writableEnded) return;
  const problem = problemOf(error, requestId);
  if (response.headersSent) {
    endStartedResponse(response, problem);
    return;
  }
  const { status, retryable } = ERROR_RESPONSES[error.kind];
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "x-request-id": requestId,
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

/** Maximum time for which the rest of a refused request is read. */
export const LINGERING_CLOSE_MS = 1000;

/**
 * Ends the response once the request has been read, or after a timeout. Closing
 * a connection with unread bytes could reset it before the caller has read the
 * response, so the rest of the request is read and discarded (lingering close).
 */
function endAfterRequest(response: ServerResponse): void {
  const { req: request } = response;
  const timer = setTimeout(finish, LINGERING_CLOSE_MS);
  request.once("end", finish);
  request.once("close", finish);
  request.resume();
  function finish(): void {
    clearTimeout(timer);
    response.end();
  }
}

/**
 * Ends a response whose headers were sent so that the caller sees the failure:
 * a stream by an error event, any other response by closing its connection.
 */
function endStartedResponse(
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
