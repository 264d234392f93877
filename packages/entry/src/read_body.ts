import type { Settings } from "@rosemarytiller/settings";
import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { isBodyTooLarge } from "./create_caller_server.ts";

/**
 * Reads a request's body within the limits of size and time. Throws a
 * `TillerError` and leaves the rest unread, so that the error response can
 * still be sent on the connection.
 */
export function readBody(
  request: IncomingMessage,
  settings: Settings,
  options: { clock: Clock },
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  return new Promise((resolve, reject) => {
    const cancelTimer = options.clock.after(settings.bodyTimeoutMs, () => {
      const detail =
        `the body did not arrive within ${settings.bodyTimeoutMs} ` +
        "ms; send it again over a faster connection";
      fail(ErrorKind.RequestTimeout, detail);
    });
    function stop(): void {
      cancelTimer();
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      request.pause();
    }
    function fail(kind: ErrorKind, detail: string): void {
      stop();
      reject(new TillerError(kind, detail));
    }
    function failTooLarge(): void {
      const detail = `the body has more than ${settings.maxBodyBytes} bytes; ` +
        "send a smaller one";
      fail(ErrorKind.BodyTooLarge, detail);
    }
    function onData(chunk: Buffer): void {
      size += chunk.length;
      if (size > settings.maxBodyBytes) failTooLarge();
      else chunks.push(chunk);
    }
    function onEnd(): void {
      stop();
      resolve(Buffer.concat(chunks));
    }
    function onClose(): void {
      fail(
        ErrorKind.InvalidRequest,
        "the connection closed before the body was complete",
      );
    }
    // A failed connection emits `error` and then `close`, which handles it.
    request.on("error", () => {});
    if (isBodyTooLarge(request, settings)) return failTooLarge();
    if (request.destroyed) return onClose();
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("close", onClose);
  });
}
