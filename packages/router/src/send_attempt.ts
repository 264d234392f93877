import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { Connection } from "./create_connection_pool.ts";

/** A call as it goes over a connection. */
export interface AttemptCall {
  connection: Connection;
  method: string;
  path: string;
  /** Names and values by turns. */
  headers: string[];
  body: Buffer | undefined;
}

/** The head of an upstream's answer. */
export interface AnswerHead {
  status: number;
  /** Header names in lower case. */
  headers: Record<string, string | string[] | undefined>;
  /** Names and values by turns, as they came. */
  rawHeaders: string[];
}

/** What is heard of a call, in order; `onEnd` comes once and last. */
export interface AttemptListener {
  onSent(): void;
  /** Returns whether the call goes on. */
  onHead(head: AnswerHead): boolean;
  onData(chunk: Buffer): void;
  /** `isWhole` tells whether a whole answer came. */
  onEnd(end: { isWhole: boolean; wasSent: boolean; reason: string }): void;
}

/** A call in progress. */
export interface RunningAttempt {
  /** Breaks the call off; its connection closes. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends a call once over a connection of its own. */
export function sendAttempt(
  call: AttemptCall,
  listener: AttemptListener,
): RunningAttempt {
  const { connection } = call;
  let controller: Dispatcher.DispatchController | undefined;
  let wasSent = false;
  let isEnded = false;

  function end(isWhole: boolean, reason: string): void {
    if (isEnded) return;
    isEnded = true;
    listener.onEnd({ isWhole, wasSent, reason });
  }

  connection.client.dispatch({
    method: call.method as Dispatcher.HttpMethod,
    path: call.path,
    headers: call.headers,
    body: call.body && call.body.length > 0 ? call.body : null,
  }, {
    onRequestStart(given) {
      controller = given;
      if (isEnded) {
        given.abort(new Error("given up before the start"));
        return;
      }
      wasSent = true;
      listener.onSent();
    },
    onResponseStart(given, status, headers) {
      if (isEnded || status < 200) return;
      const rawHeaders = readRawHeaders(given, headers);
      const head = {
        status,
        headers: headers as AnswerHead["headers"],
        rawHeaders,
      };
      if (!listener.onHead(head)) given.abort(new Error("not wanted"));
    },
    onResponseData(_given, chunk) {
      if (!isEnded) listener.onData(chunk);
    },
    onResponseEnd() {
      end(!connection.wasReset, connection.wasReset ? "reset" : "");
    },
    onResponseError(_given, error) {
      end(false, error.message);
    },
  });
  return {
    abort() {
      end(false, "aborted");
      controller?.abort(new Error("aborted"));
      connection.client.destroy().catch(() => {});
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}

/** Idle limit that an answer's head tells, in ms; 0 for a closing one. */
export function readIdleLimit(
  headers: AnswerHead["headers"],
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
