import {
  type Clock,
  ERROR_RESPONSES,
  ErrorKind,
  TillerError,
} from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest, CallerResponse } from "./caller_exchange.ts";
import type { CallerLimits, WireProtocol } from "./ports.ts";

/** Dependencies of a handler of callers' requests. */
export interface CallerHandlerOptions {
  clock: Clock;
  protocol: WireProtocol;
  /** Limits in effect. */
  limits(): CallerLimits;
  /** Whether responses ask the caller to close its connection. */
  isDraining(): boolean;
  /** Further headers of an error's response; names and values alternate. */
  errorHeaders?(error: TillerError): string[];
  /** Handles a completely received request. */
  serve(request: CallerRequest, response: CallerResponse): void;
}

/** Handles one HTTP request. */
export type CallerHandler = (
  incoming: IncomingMessage,
  response: ServerResponse,
) => void;

/** Bytes buffered for a slow caller before its upstream is paused. */
const MAX_BUFFERED_BYTES = 262_144;
/** Request targets; bytes of other encodings are passed on as they are. */
const TARGET_PATTERN = /^[\x21-\xff]+$/;
/** Names of headers. */
const TOKEN_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Creates the handler, which reads requests within the limits. */
export function createCallerHandler(
  options: CallerHandlerOptions,
): CallerHandler {
  const { clock, protocol, serve, limits } = options;

  async function handleRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedMs = clock.now();
    const callerResponse = createCallerResponse(response, options);
    if (headerBytes(incoming) > limits().maxHeaderBytes) {
      sendRefusal(
        callerResponse,
        ErrorKind.HeadersTooLarge,
        "the head is too large",
      );
      return;
    }
    const fault = findFaultOf(incoming);
    if (fault !== undefined) {
      sendRefusal(callerResponse, ErrorKind.InvalidRequest, fault);
      return;
    }
    const body = await readBody(incoming);
    if (body === undefined) {
      sendRefusal(
        callerResponse,
        ErrorKind.BodyTooLarge,
        "the body is too large",
      );
      return;
    }
    const metadata = protocol.readRequest(incoming.rawHeaders);
    serve({
      metadata,
      method: incoming.method ?? "GET",
      pathAndQuery: incoming.url ?? "/",
      host: incoming.headers.host ?? "",
      body,
      rawHeaders: incoming.rawHeaders,
      arrivedMs,
    }, callerResponse);
  }

  function sendRefusal(
    callerResponse: CallerResponse,
    kind: ErrorKind,
    detail: string,
  ): void {
    callerResponse.sendError(new TillerError(kind, detail));
  }

  /** Reads the body; undefined if it exceeds the limit. */
  function readBody(incoming: IncomingMessage): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let size = 0;
      incoming.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > limits().maxBodyBytes) resolve(undefined);
        else chunks.push(chunk);
      });
      incoming.on("end", () => resolve(Buffer.concat(chunks)));
      incoming.on("error", reject);
      incoming.on("close", () => {
        if (!incoming.complete) {
          reject(
            new Error("the connection closed before the body was complete"),
          );
        }
      });
    });
  }

  return (incoming, response) => {
    handleRequest(incoming, response).catch(() => response.destroy());
  };
}

/**
 * What HTTP/1.1 does not allow in a request's head although Node.js's server
 * accepts it; undefined for a proper one. The HTTP client writes no other.
 */
function findFaultOf({ url, rawHeaders }: IncomingMessage): string | undefined {
  if (!TARGET_PATTERN.test(url ?? "")) return "the path has an invalid byte";
  let hosts = 0;
  for (let at = 0; at < rawHeaders.length; at += 2) {
    const name = rawHeaders[at]!;
    if (!TOKEN_PATTERN.test(name)) return "a header's name is invalid";
    if (name.toLowerCase() === "host") hosts++;
  }
  return hosts > 1 ? "the request has more than one Host header" : undefined;
}

function headerBytes({ rawHeaders, url }: IncomingMessage): number {
  let bytes = url?.length ?? 0;
  for (const part of rawHeaders) bytes += part.length + 2;
  return bytes;
}

/** Adapts a response of Node's HTTP server. */
export function createCallerResponse(
  response: ServerResponse,
  options: Pick<CallerHandlerOptions, "isDraining" | "errorHeaders">,
): CallerResponse {
  const { isDraining, errorHeaders } = options;
  response.on("error", () => {});

  function writeHead(
    status: number,
    rawHeaders: string[],
    extraHeaders: string[] = [],
  ): void {
    const headers = [...rawHeaders, ...extraHeaders];
    if (isDraining()) headers.push("Connection", "close");
    response.writeHead(status, headers as never);
  }

  return {
    onDisconnect(action) {
      if (response.destroyed) return action();
      response.once("close", () => {
        if (!response.writableFinished) action();
      });
    },
    onClosed(action) {
      if (response.closed) action();
      else response.once("close", action);
    },
    isClosed: () => response.destroyed || response.writableEnded,
    send(status, rawHeaders, body) {
      if (response.destroyed || response.headersSent) return;
      writeHead(status, rawHeaders, ["Content-Length", String(body.length)]);
      response.end(body);
    },
    startStream(status, rawHeaders) {
      if (response.destroyed || response.headersSent) return;
      writeHead(status, rawHeaders);
    },
    write(bytes) {
      if (response.destroyed) return true;
      response.write(bytes);
      return response.writableLength < MAX_BUFFERED_BYTES;
    },
    onDrain: (action) => void response.once("drain", action),
    end: () => void response.end(),
    destroy: () => void response.destroy(),
    sendError(error) {
      if (response.destroyed || response.headersSent) return;
      const { status, title } = ERROR_RESPONSES[error.kind];
      const body = Buffer.from(JSON.stringify({
        status,
        title,
        kind: error.kind,
        run: error.run,
        detail: error.message,
      }));
      const headers = [
        "Content-Type",
        "application/problem+json",
        "Content-Length",
        String(body.length),
      ];
      if (error.retryAfterMs !== undefined) {
        headers.push("Retry-After", (error.retryAfterMs / 1000).toFixed(3));
      }
      writeHead(status, headers, errorHeaders?.(error));
      response.end(body);
    },
  };
}
