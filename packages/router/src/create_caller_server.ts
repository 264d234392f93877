import {
  type Clock,
  ERROR_RESPONSES,
  ErrorKind,
  TillerError,
} from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer } from "node:net";
import type { CallerRequest, CallerResponse } from "./caller_exchange.ts";
import type { CallerLimits, WireProtocol } from "./ports.ts";

/** HTTP server that callers connect to. */
export interface CallerServer {
  listen(address: { host: string; port: number }): Promise<void>;
  /** Applies the limits of a new configuration. */
  setLimits(limits: CallerLimits): void;
  /** Sends `Connection: close` with all further responses. */
  startDraining(): void;
  /** Accepts no more connections; open ones stay until `close`. */
  stopListening(): void;
  /** Closes all connections, including those with requests in progress. */
  close(): void;
}

/** Dependencies of the caller server. */
export interface CallerServerOptions {
  clock: Clock;
  protocol: WireProtocol;
  /** Handles a completely received request. */
  serve(request: CallerRequest, response: CallerResponse): void;
}

/** Limits until a configuration has been received. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Hard limit on the headers, in bytes; the configured limit may be lower. */
const HARD_MAX_HEADER_BYTES = 65_536;
/** Time that an idle connection stays open beyond the limit, in ms. */
const IDLE_MARGIN_MS = 1000;
/** Bytes buffered for a slow caller before its upstream is paused. */
const MAX_BUFFERED_BYTES = 262_144;

/** Creates the server; it accepts connections once `listen` is called. */
export function createCallerServer(
  options: CallerServerOptions,
): CallerServer {
  const { clock, protocol, serve } = options;
  let limits = INITIAL_LIMITS;
  let isDraining = false;
  const server: Server = createServer(
    { maxHeaderSize: HARD_MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0 },
    (incoming, response) => {
      handleRequest(incoming, response).catch(() => response.destroy());
    },
  );
  applyLimits();

  function applyLimits(): void {
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    server.headersTimeout = limits.headerTimeoutMs + server.keepAliveTimeout;
  }

  async function handleRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedMs = clock.now();
    const callerResponse = createCallerResponse(response, () => isDraining);
    if (headerBytes(incoming) > limits.maxHeaderBytes) {
      sendRefusal(
        callerResponse,
        ErrorKind.HeadersTooLarge,
        "the head is too large",
      );
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
        if (size > limits.maxBodyBytes) resolve(undefined);
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

  return {
    listen({ host, port }) {
      return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, () => resolve());
      });
    },
    setLimits(newLimits) {
      limits = newLimits;
      applyLimits();
    },
    startDraining() {
      isDraining = true;
    },
    stopListening() {
      // The HTTP server's own `close` also closes connections whose response
      // has ended but is not yet written.
      NetServer.prototype.close.call(server);
    },
    close() {
      server.closeAllConnections();
    },
  };
}

function headerBytes({ rawHeaders, url }: IncomingMessage): number {
  let bytes = url?.length ?? 0;
  for (const part of rawHeaders) bytes += part.length + 2;
  return bytes;
}

/** Adapts a response of Node's HTTP server. */
export function createCallerResponse(
  response: ServerResponse,
  isDraining: () => boolean,
): CallerResponse {
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
      writeHead(status, headers);
      response.end(body);
    },
  };
}
