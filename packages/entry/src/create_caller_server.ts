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

/** Most bytes of a request's headers. */
export const MAX_HEADER_BYTES = 16 * 1024;
/** Time between two checks for requests that arrive too slowly. */
const SLOW_CHECK_MS = 500;
/**
 * Further time for a body beyond the reader's own limit, which answers with
 * the request's identifier.
 */
const BODY_MARGIN_MS = 5000;

/** Errors of Node's HTTP parser and server, by code. */
const PARSE_ERRORS: Record<string, ErrorKind> = {
  HPE_HEADER_OVERFLOW: ErrorKind.HeadersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: ErrorKind.RequestTimeout,
};

/** Creates the server for callers; what cannot be parsed is answered here. */
export function createCallerServer(
  settings: Settings,
  options: { onRequest: RequestListener; onBroken(error: TillerError): void },
): Server {
  const { onRequest, onBroken } = options;
  const answering = new WeakMap<Duplex, number>();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: settings.bodyTimeoutMs,
    requestTimeout: settings.bodyTimeoutMs + BODY_MARGIN_MS,
    connectionsCheckingInterval: SLOW_CHECK_MS,
  }, (request, response) => {
    const { socket } = request;
    answering.set(socket, (answering.get(socket) ?? 0) + 1);
    response.once("close", () => {
      answering.set(socket, answering.get(socket)! - 1);
    });
    onRequest(request, response);
  });
  server.on("checkContinue", (request: IncomingMessage, response) => {
    if (!isTooLong(request, settings)) response.writeContinue();
    server.emit("request", request, response);
  });
  server.on("clientError", (cause: Error & { code?: string }, socket) => {
    const kind = PARSE_ERRORS[cause.code ?? ""] ?? ErrorKind.InvalidRequest;
    const error = new TillerError(kind, cause.message, { cause });
    // Bytes of an answer in progress must not be mixed with another answer.
    const isBusy = (answering.get(socket) ?? 0) > 0;
    if (cause.code === "ECONNRESET" || !socket.writable || isBusy) {
      socket.destroy();
      return;
    }
    onBroken(error);
    socket.end(formatRawProblem(error));
  });
  return server;
}

/** Whether the request announces more bytes than it may have. */
export function isTooLong(
  request: IncomingMessage,
  settings: Settings,
): boolean {
  return Number(request.headers["content-length"] ?? 0) > settings.maxBodyBytes;
}

/** A whole HTTP answer for a connection without a parsed request. */
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
