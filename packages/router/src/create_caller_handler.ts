import {
  type Clock,
  ERROR_RESPONSES,
  ErrorKind,
  TillerError,
} from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  CallerHead,
  CallerRequest,
  CallerResponse,
} from "./caller_exchange.ts";
import {
  BodyEnd,
  declaredBytes,
  findHeader,
  type Intake,
  SMALL_BYTES,
} from "./callers/index.ts";
import type { CallerLimits, WireProtocol } from "./ports.ts";

/** Dependencies of a handler of callers' requests. */
export interface CallerHandlerOptions {
  clock: Clock;
  protocol: WireProtocol;
  /** Limits in effect. */
  limits(): CallerLimits;
  /** Whether responses ask the caller to close its connection. */
  isDraining(): boolean;
  intake: Pick<
    Intake,
    "bodies" | "connections" | "maxBufferedBytes" | "report"
  >;
  /** Further headers of an error's response; names and values alternate. */
  errorHeaders?(error: TillerError): string[];
  /** Refuses a request whatever its body is; undefined if that is needed. */
  refuseAtHead?(head: CallerHead): TillerError | undefined;
  /** Handles a completely received request. */
  serve(request: CallerRequest, response: CallerResponse): void;
}

/** Handles one HTTP request. */
export type CallerHandler = (
  incoming: IncomingMessage,
  response: ServerResponse,
) => void;

/** Request targets; bytes of other encodings are passed on as they are. */
const TARGET_PATTERN = /^[\x21-\xff]+$/;
/** Names of headers. */
const TOKEN_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Retry-after for a request whose body found no memory, in ms. */
const NO_MEMORY_RETRY_AFTER_MS = 1000;
/**
 * Time for which a caller that is still sending can read why its request was
 * refused, before its connection is closed, in milliseconds.
 */
const LINGER_MS = 500;

/** Errors for bodies that were not read; none for a connection that closed. */
const BODY_ERRORS: Partial<Record<BodyEnd, () => TillerError>> = {
  [BodyEnd.TooLarge]: () =>
    new TillerError(ErrorKind.BodyTooLarge, "the body is too large"),
  [BodyEnd.TooSlow]: () =>
    new TillerError(
      ErrorKind.RequestTimeout,
      "the body did not arrive in time",
    ),
  [BodyEnd.NoMemory]: createNoMemoryError,
};

function createNoMemoryError(): TillerError {
  return new TillerError(
    ErrorKind.Overloaded,
    "this VM has no memory for the request now",
    { retryAfterMs: NO_MEMORY_RETRY_AFTER_MS },
  );
}

/** Creates the handler, which reads requests within the limits. */
export function createCallerHandler(
  options: CallerHandlerOptions,
): CallerHandler {
  const { clock, protocol, serve, limits, intake } = options;

  async function handleRequest(
    exchange: { incoming: IncomingMessage; response: ServerResponse },
    onReceived: () => void,
  ): Promise<void> {
    const { incoming, response } = exchange;
    const headMemory = intake.bodies.reserveHead(incoming);
    if (!headMemory) {
      intake.report("head-no-memory");
      return refuse(exchange, createNoMemoryError());
    }
    response.once("close", headMemory.release);
    const head: CallerHead = {
      metadata: protocol.readRequest(incoming.rawHeaders),
      method: incoming.method ?? "GET",
      pathAndQuery: incoming.url ?? "/",
      host: findHeader(incoming.rawHeaders, "host") ?? "",
      rawHeaders: incoming.rawHeaders,
      arrivedMs: clock.now(),
    };
    const refusal = findFaultOf(incoming, limits()) ??
      options.refuseAtHead?.(head);
    if (refusal) return refuse(exchange, refusal);
    const { maxBodyBytes: maxBytes } = limits();
    const body = await intake.bodies.read(incoming, { maxBytes });
    if (body.end !== BodyEnd.Complete) {
      const error = BODY_ERRORS[body.end]?.();
      if (!error) return void response.destroy();
      intake.report(`body-${body.end.replaceAll(" ", "-")}`);
      return refuse(exchange, error);
    }
    onReceived();
    if (response.closed) body.release();
    else response.once("close", body.release);
    const callerResponse = createCallerResponse(response, options);
    serve({ ...head, body: body.bytes }, callerResponse);
  }

  /** Sends an error; closes the connection if much of the body is unread. */
  function refuse(
    { incoming, response }: {
      incoming: IncomingMessage;
      response: ServerResponse;
    },
    error: TillerError,
  ): void {
    const callerResponse = createCallerResponse(response, options);
    const isShort = (declaredBytes(incoming) ?? Infinity) <= SMALL_BYTES;
    if (incoming.complete || isShort) {
      incoming.resume();
      callerResponse.sendError(error);
      return;
    }
    // What is still being sent is not read: it would pass through memory.
    incoming.pause();
    callerResponse.sendError(error, { isLast: true });
    clock.after(LINGER_MS, () => void response.destroy());
  }

  return (incoming, response) => {
    response.on("error", () => {});
    intake.connections.enter({ incoming, response }, (onReceived) => {
      if (response.destroyed) return;
      handleRequest({ incoming, response }, onReceived)
        .catch(() => response.destroy());
    });
  };
}

/** Error for a head that is too large or invalid; undefined for a proper one. */
function findFaultOf(
  incoming: IncomingMessage,
  { maxHeaderBytes }: CallerLimits,
): TillerError | undefined {
  if (headerBytes(incoming) > maxHeaderBytes) {
    return new TillerError(ErrorKind.HeadersTooLarge, "the head is too large");
  }
  const fault = findInvalidPartOf(incoming);
  return fault === undefined
    ? undefined
    : new TillerError(ErrorKind.InvalidRequest, fault);
}

/**
 * What HTTP/1.1 does not allow in a request's head although Node.js's server
 * accepts it; undefined for a proper one. The HTTP client writes no other.
 */
function findInvalidPartOf(
  { url, rawHeaders }: IncomingMessage,
): string | undefined {
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
  options:
    & Pick<CallerHandlerOptions, "isDraining" | "errorHeaders">
    & { intake: Pick<Intake, "maxBufferedBytes"> },
): CallerResponse {
  const { isDraining, errorHeaders, intake } = options;
  response.on("error", () => {});

  function writeHead(
    status: number,
    rawHeaders: string[],
    extraHeaders: string[] = [],
  ): void {
    const headers = [...rawHeaders, ...extraHeaders];
    const isClosing = headers.includes("Connection");
    if (isDraining() && !isClosing) headers.push("Connection", "close");
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
      const bytes = body.reduce((sum, { length }) => sum + length, 0);
      writeHead(status, rawHeaders, ["Content-Length", String(bytes)]);
      for (const piece of body.slice(0, -1)) response.write(piece);
      response.end(body.at(-1));
    },
    startStream(status, rawHeaders) {
      if (response.destroyed || response.headersSent) return;
      writeHead(status, rawHeaders);
    },
    write(bytes) {
      if (response.destroyed) return true;
      response.write(bytes);
      return response.writableLength < intake.maxBufferedBytes();
    },
    onDrain: (action) => void response.once("drain", action),
    end: () => void response.end(),
    destroy: () => void response.destroy(),
    sendError(error, { isLast = false } = {}) {
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
      if (isLast) headers.push("Connection", "close");
      writeHead(status, headers, errorHeaders?.(error));
      if (isLast) response.write(body);
      else response.end(body);
    },
  };
}
