import {
  type Clock,
  ERROR_ANSWERS,
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
import type { CallerAnswer, CallerRequest } from "./caller_answer.ts";
import type { CallerLimits, WireProtocol } from "./ports.ts";

/** The server that callers connect to. */
export interface CallerServer {
  listen(address: { host: string; port: number }): Promise<void>;
  /** Takes over limits of a new configuration. */
  setLimits(limits: CallerLimits): void;
  /** Asks callers to leave with their next answer. */
  startLeaving(): void;
  /** Takes no more connections and closes those that are idle. */
  stopListening(): void;
  /** Closes all connections. */
  close(): void;
}

/** What the server needs. */
export interface CallerServerOptions {
  clock: Clock;
  protocol: WireProtocol;
  serve(request: CallerRequest, answer: CallerAnswer): void;
}

/** Limits while no configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Largest head that is read at all, in bytes; limits may be lower. */
const MAX_HEAD_BYTES = 65_536;
/** Time beyond the idle limit before a connection closes, in ms. */
const IDLE_MARGIN_MS = 1000;
/** Bytes that wait for a slow caller before its upstream is paused. */
const MAX_WAITING_BYTES = 262_144;

/** Creates the server; `listen` opens its port. */
export function createCallerServer(
  options: CallerServerOptions,
): CallerServer {
  const { clock, protocol, serve } = options;
  let limits = INITIAL_LIMITS;
  let isLeaving = false;
  const server: Server = createServer(
    { maxHeaderSize: MAX_HEAD_BYTES, noDelay: true, requestTimeout: 0 },
    (incoming, response) => {
      receive(incoming, response).catch(() => response.destroy());
    },
  );
  applyLimits();

  function applyLimits(): void {
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    server.headersTimeout = limits.headerTimeoutMs + server.keepAliveTimeout;
  }

  async function receive(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedMs = clock.now();
    const answer = createAnswer(response, () => isLeaving);
    if (headBytes(incoming) > limits.maxHeaderBytes) {
      refuseUnread(answer, ErrorKind.HeadersTooLarge, "the head is too large");
      return;
    }
    const body = await readBody(incoming);
    if (body === undefined) {
      refuseUnread(answer, ErrorKind.BodyTooLarge, "the body is too large");
      return;
    }
    const facts = protocol.readRequest(incoming.rawHeaders);
    serve({
      facts,
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      host: incoming.headers.host ?? "",
      body,
      arrivedMs,
    }, answer);
  }

  function refuseUnread(
    answer: CallerAnswer,
    kind: ErrorKind,
    detail: string,
  ): void {
    answer.refuse(new TillerError(kind, detail));
  }

  /** Reads a body; nothing for one beyond the limit. */
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
        if (!incoming.complete) reject(new Error("the caller went away"));
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
    setLimits(given) {
      limits = given;
      applyLimits();
    },
    startLeaving() {
      isLeaving = true;
    },
    stopListening() {
      server.close();
      server.closeIdleConnections();
    },
    close() {
      server.closeAllConnections();
    },
  };
}

function headBytes({ rawHeaders, url }: IncomingMessage): number {
  let bytes = url?.length ?? 0;
  for (const part of rawHeaders) bytes += part.length + 2;
  return bytes;
}

/** The answer of one request on Node's HTTP server. */
function createAnswer(
  response: ServerResponse,
  isLeaving: () => boolean,
): CallerAnswer {
  response.on("error", () => {});

  function writeHead(
    status: number,
    rawHeaders: string[],
    more: string[] = [],
  ): void {
    const headers = [...rawHeaders, ...more];
    if (isLeaving()) headers.push("Connection", "close");
    response.writeHead(status, headers as never);
  }

  return {
    onGone(action) {
      if (response.destroyed) action();
      response.once("close", () => {
        if (!response.writableFinished) action();
      });
    },
    isGone: () => response.destroyed || response.writableEnded,
    whole(status, rawHeaders, body) {
      if (response.destroyed || response.headersSent) return;
      writeHead(status, rawHeaders, ["Content-Length", String(body.length)]);
      response.end(body);
    },
    begin(status, rawHeaders) {
      if (response.destroyed || response.headersSent) return;
      writeHead(status, rawHeaders);
    },
    write(bytes) {
      if (response.destroyed) return true;
      response.write(bytes);
      return response.writableLength < MAX_WAITING_BYTES;
    },
    onDrain: (action) => void response.once("drain", action),
    end: () => void response.end(),
    cut: () => void response.destroy(),
    refuse(error) {
      if (response.destroyed || response.headersSent) return;
      const { status, title } = ERROR_ANSWERS[error.kind];
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
