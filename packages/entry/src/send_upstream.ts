import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { AttemptRequest } from "./attempt.ts";

/** HTTP request of an attempt to its upstream. */
export interface UpstreamRequest {
  dispatcher: Dispatcher;
  method: string;
  /** Path and query below the upstream's address. */
  path: string;
  headers: Record<string, string | string[]>;
  body?: Buffer;
  /** Aborts the request. */
  signal: AbortSignal;
}

/** Response of an upstream, with a body that has not been read yet. */
export type UpstreamResponse = Dispatcher.ResponseData;

/** The attempt failed before any byte of it was sent. */
export class UnsentError extends Error {
  constructor(cause: unknown) {
    super(cause instanceof Error ? cause.message : String(cause), { cause });
    this.name = "UnsentError";
  }
}

/**
 * Sends an attempt at most once and waits for the response headers. Throws
 * `UnsentError` if and only if no byte was sent.
 */
export async function sendUpstream(
  attempt: AttemptRequest,
  request: UpstreamRequest,
): Promise<UpstreamResponse> {
  let started = false;
  const dispatcher = request.dispatcher.compose(
    (dispatch) => (options, handler) =>
      dispatch(
        options,
        interceptStart(handler, () => {
          // undici may retry a request on a new connection by itself.
          if (started) {
            throw new TillerError(
              ErrorKind.OutcomeUnknown,
              "the connection to the upstream was lost before its response",
            );
          }
          attempt.beforeSend();
          started = true;
        }),
      ),
  );
  try {
    const { method, headers, body, signal } = request;
    const response = await dispatcher.request({
      ...resolveUpstreamUrl(attempt.address, request.path),
      method: method as Dispatcher.HttpMethod,
      headers,
      body: body && body.length > 0 ? body : null,
      signal,
    });
    checkResponse(ignoreUnreadBodyErrors(response), attempt.id);
    return response;
  } catch (cause) {
    throw started ? cause : new UnsentError(cause);
  }
}

/** Highest status of a response (RFC 9110, 15). */
const MAX_STATUS = 599;

/**
 * Throws if the response has an invalid status, or names another attempt:
 * upstreams may write an earlier response again on a connection that is kept
 * open.
 */
function checkResponse(response: UpstreamResponse, id: string): void {
  const { statusCode, headers, body } = response;
  if (statusCode > MAX_STATUS) {
    body.destroy();
    throw new Error(`the upstream sent the invalid status ${statusCode}`);
  }
  const named = headers["x-attempt-id"];
  if (named === undefined || named === id) return;
  body.destroy();
  throw new Error("the upstream sent the response to another attempt");
}

/**
 * Keeps an error of a body that is abandoned before its end from ending the
 * process as an unhandled `error` event.
 */
export function ignoreUnreadBodyErrors(
  response: UpstreamResponse,
): UpstreamResponse {
  response.body.on("error", () => {});
  return response;
}

/**
 * Returns origin and path, as undici takes them, of a path below an upstream's
 * base URL. The path cannot change the origin.
 */
export function resolveUpstreamUrl(
  address: string,
  path: string,
): { origin: string; path: string } {
  const { origin, pathname } = new URL(address);
  return { origin, path: pathname.replace(/\/$/, "") + path };
}

/**
 * Forwards all events to the handler, and calls `onStart` immediately before
 * the first byte is sent; aborts the request if that throws.
 */
function interceptStart(
  handler: Dispatcher.DispatchHandler,
  onStart: () => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller, context) {
      handler.onRequestStart?.(controller, context);
      try {
        onStart();
      } catch (error) {
        controller.abort(error as Error);
      }
    },
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
