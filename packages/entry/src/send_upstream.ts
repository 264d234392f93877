import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { AttemptRequest } from "./attempt.ts";

/** A call as it goes to an upstream. */
export interface UpstreamSend {
  dispatcher: Dispatcher;
  method: string;
  /** Path and query below the upstream's address. */
  path: string;
  headers: Record<string, string | string[]>;
  body?: Buffer;
  /** Aborts the call. */
  signal: AbortSignal;
}

/** An upstream's answer whose body is still to be read. */
export type UpstreamAnswer = Dispatcher.ResponseData;

/** The call ended before any of its bytes left this process. */
export class UnsentError extends Error {
  constructor(cause: unknown) {
    super(cause instanceof Error ? cause.message : String(cause), { cause });
    this.name = "UnsentError";
  }
}

/**
 * Sends the bytes of an attempt at most once and waits for the answer's head.
 * Throws `UnsentError` if and only if no byte left.
 */
export async function sendUpstream(
  attempt: AttemptRequest,
  send: UpstreamSend,
): Promise<UpstreamAnswer> {
  let started = false;
  const dispatcher = send.dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(
      options,
      watchStart(handler, () => {
        // The HTTP client may put a call on a new connection by itself.
        if (started) {
          throw new TillerError(ErrorKind.OutcomeUnknown, "connection lost");
        }
        attempt.beforeSend();
        started = true;
      }),
    )
  );
  try {
    const { method, headers, body, signal } = send;
    const answer = await dispatcher.request({
      ...splitAddress(attempt.address, send.path),
      method: method as Dispatcher.HttpMethod,
      headers,
      body: body && body.length > 0 ? body : null,
      signal,
    });
    return guardBody(answer);
  } catch (cause) {
    throw started ? cause : new UnsentError(cause);
  }
}

/** Keeps a body that is given up unread from ending the process. */
export function guardBody(answer: UpstreamAnswer): UpstreamAnswer {
  answer.body.on("error", () => {});
  return answer;
}

/** Origin and path of a call; the path never changes the origin. */
export function splitAddress(
  address: string,
  path: string,
): { origin: string; path: string } {
  const { origin, pathname } = new URL(address);
  return { origin, path: pathname.replace(/\/$/, "") + path };
}

/** Passes everything on and tells when the first byte is about to leave. */
function watchStart(
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
