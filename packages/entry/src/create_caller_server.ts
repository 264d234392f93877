import type { Settings } from "@rosemarytiller/settings";
import { createId, ErrorKind, TillerError } from "@rosemarytiller/shared";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  STATUS_CODES,
} from "node:http";
import type { Duplex } from "node:stream";
import { problemOf } from "./write_problem.ts";

/** Maximum size of a request's headers. */
export const MAX_HEADER_BYTES = 16 * 1024;
/** Interval at which Node checks the timeouts of its connections. */
const TIMEOUT_CHECK_MS = 500;
/**
 * Extra time of Node's request timeout over that of `readBody`, so that the
 * latter expires first: its error response has the request's identifier.
 */
const REQUEST_TIMEOUT_MARGIN_MS = 5000;

/** Errors for the caller by error code of Node's HTTP parser and server. */
const CLIENT_ERRORS: Record<string, { kind: ErrorKind; detail: string }> = {
  HPE_HEADER_OVERFLOW: {
    kind: ErrorKind.HeadersTooLarge,
    detail: `the headers have more than ${MAX_HEADER_BYTES} bytes; send fewer`,
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    kind: ErrorKind.RequestTimeout,
    detail: "the request did not arrive in time; send it again over a faster " +
      "connection",
  },
};

/**
 * Creates the HTTP server for callers. It answers requests that Node cannot
 * parse or that time out in Node itself, and reports their errors to
 * `onClientError`. If the connection was reset or cannot be written to, or a
 * response is in progress on it, it is only closed.
 */
export function createCallerServer(
  settings: Settings,
  options: {
    onRequest: RequestListener;
    onClientError(error: TillerError): void;
  },
): Server {
  const { onRequest, onClientError } = options;
  const openResponses = new WeakMap<Duplex, number>();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: settings.bodyTimeoutMs,
    requestTimeout: settings.bodyTimeoutMs + REQUEST_TIMEOUT_MARGIN_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  }, (request, response) => {
    const { socket } = request;
    openResponses.set(socket, (openResponses.get(socket) ?? 0) + 1);
    response.once("close", () => {
      openResponses.set(socket, openResponses.get(socket)! - 1);
    });
    onRequest(request, response);
  });
  server.on("checkContinue", (request: IncomingMessage, response) => {
    if (!isBodyTooLarge(request, settings)) response.writeContinue();
    server.emit("request", request, response);
  });
  server.on("clientError", (cause: Error & { code?: string }, socket) => {
    const { kind, detail } = CLIENT_ERRORS[cause.code ?? ""] ?? {
      kind: ErrorKind.InvalidRequest,
      detail: `the request is not valid HTTP: ${cause.message}`,
    };
    const error = new TillerError(kind, detail, { cause });
    // An error must not be written into a response that is in progress.
    const isBusy = (openResponses.get(socket) ?? 0) > 0;
    if (cause.code === "ECONNRESET" || !socket.writable || isBusy) {
      socket.destroy();
      return;
    }
    onClientError(error);
    socket.end(formatRawProblem(error));
  });
  return server;
}

/** Whether the request's content-length exceeds the maximum body size. */
export function isBodyTooLarge(
  request: IncomingMessage,
  settings: Settings,
): boolean {
  return Number(request.headers["content-length"] ?? 0) > settings.maxBodyBytes;
}

/** Formats an HTTP response for a connection without a parsed request. */
function formatRawProblem(error: TillerError): string {
  const problem = problemOf(error, createId("request"));
  const body = JSON.stringify(problem);
  return [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
    "content-type: application/problem+json",
    `content-length: ${body.length}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
