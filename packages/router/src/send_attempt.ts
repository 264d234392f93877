import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { Connection } from "./create_connection_pool.ts";

/** One HTTP request to an upstream. */
export interface AttemptCall {
  connection: Connection;
  method: string;
  path: string;
  /** Names and values alternate. */
  headers: string[];
  body: Buffer | undefined;
}

/** Status and headers of an upstream's response. */
export interface ResponseHead {
  status: number;
  /** Values by header name in lower case. */
  headers: Record<string, string | string[] | undefined>;
  /** Unmodified headers; names and values alternate. */
  rawHeaders: string[];
}

/** Receives a call's events in this order; `onEnd` is called exactly once. */
export interface AttemptListener {
  /** Called once a connection is established; false ends the call unsent. */
  maySend?(): boolean;
  /** The request is about to be written; it may be executed from now on. */
  onSent(): void;
  /** Returns false to abort the call. */
  onHead(head: ResponseHead): boolean;
  onData(chunk: Buffer): void;
  /** `isComplete`: a complete response was received. */
  onEnd(end: { isComplete: boolean; wasSent: boolean; reason: string }): void;
}

/** Controls a call in progress. */
export interface RunningAttempt {
  /**
   * Ends the call and closes its connection; resets it if the request was
   * written, which is then not delivered any more.
   */
  abort(): void;
  /** Stops reading the response until `resume`. */
  pause(): void;
  resume(): void;
}

/**
 * Bytes of a response besides its body's data, whatever its length; more than
 * a socket buffers before the HTTP client reads.
 */
const MAX_FRAMING_BYTES = 262_144;
/** Bytes of a response besides its body's data, for each byte of data. */
const MAX_FRAMING_PER_BYTE = 16;

/** Sends a call once, without retries, over a connection that is not in use. */
export function sendAttempt(
  call: AttemptCall,
  listener: AttemptListener,
): RunningAttempt {
  const { connection } = call;
  let controller: Dispatcher.DispatchController | undefined;
  let wasSent = false;
  let isEnded = false;
  let sentAtBytes = 0;
  let dataBytes = 0;

  /** Ends a response of endless headers, informational ones or framing. */
  function checkFraming(): void {
    const bytes = connection.bytesReceived() - sentAtBytes - dataBytes;
    if (bytes <= MAX_FRAMING_BYTES + dataBytes * MAX_FRAMING_PER_BYTE) return;
    abort("the response has too many bytes besides its data");
  }

  function abort(reason: string): void {
    // The connection of an ended call may already carry another one.
    if (isEnded) return;
    end(false, reason);
    controller?.abort(new Error(reason));
    connection.client.destroy().catch(() => {});
  }

  function end(isComplete: boolean, reason: string): void {
    if (isEnded) return;
    isEnded = true;
    if (isComplete) connection.isUnanswered = false;
    connection.onReceived = undefined;
    listener.onEnd({ isComplete, wasSent, reason });
  }

  connection.client.dispatch({
    method: call.method as Dispatcher.HttpMethod,
    path: call.path,
    headers: call.headers,
    body: call.body && call.body.length > 0 ? call.body : null,
  }, {
    onRequestStart(startedController) {
      controller = startedController;
      if (isEnded) {
        startedController.abort(new Error("aborted before it was sent"));
        return;
      }
      if (listener.maySend?.() === false) {
        abort("no longer to be sent");
        return;
      }
      wasSent = true;
      connection.isUnanswered = true;
      sentAtBytes = connection.bytesReceived();
      connection.onReceived = checkFraming;
      listener.onSent();
    },
    onResponseStart(responseController, status, headers) {
      if (isEnded || status < 200) return;
      const rawHeaders = readRawHeaders(responseController, headers);
      const head = {
        status,
        headers: headers as ResponseHead["headers"],
        rawHeaders,
      };
      if (!listener.onHead(head)) {
        responseController.abort(new Error("not wanted"));
      }
    },
    onResponseData(_controller, chunk) {
      if (isEnded) return;
      dataBytes += chunk.length;
      listener.onData(chunk);
    },
    onResponseEnd() {
      end(!connection.wasReset, connection.wasReset ? "reset" : "");
    },
    onResponseError(_controller, error) {
      end(false, error.message);
    },
  });
  return {
    abort: () => abort("aborted"),
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}

/**
 * Reads the idle limit of the connection from a response's headers, in ms: 0
 * for `Connection: close`, undefined if they state none.
 */
export function readIdleLimit(
  headers: ResponseHead["headers"],
): number | undefined {
  if (String(headers.connection ?? "").toLowerCase().includes("close")) {
    return 0;
  }
  const hint = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""));
  return hint ? Number(hint[1]) * 1000 : undefined;
}

function readRawHeaders(
  controller: Dispatcher.DispatchController,
  headers: Record<string, string | string[] | undefined>,
): string[] {
  const raw = (controller as { rawHeaders?: (Buffer | string)[] }).rawHeaders;
  if (raw) return raw.map((part) => part.toString("latin1" as never));
  const list: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    for (const one of [value ?? ""].flat()) list.push(name, one);
  }
  return list;
}
