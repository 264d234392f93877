import type { Buffer } from "node:buffer";
import { type Agent, type IncomingHttpHeaders, request } from "node:http";
import type { Clock } from "./clock.ts";
import { readLimited } from "./read_limited.ts";

/** A response that was received completely. */
export interface ReceivedResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Limits of a request and its response. */
export interface GetOptions {
  clock: Clock;
  /** Time within which the response must begin, in milliseconds. */
  timeoutMs: number;
  /** Longest time without a byte of a response that has begun, in ms. */
  maxPauseMs: number;
  /** Time after which no more bytes are waited for, in milliseconds. */
  maxMs: number;
  /** Memory that the body may take, in bytes. */
  maxBytes: number;
}

/**
 * Sends a GET request; without an agent, on a connection of its own. Rejects if
 * the connection fails or the response exceeds a limit.
 */
export function getResponse(
  target: { host: string; port: number; path: string; agent: Agent | false },
  options: GetOptions,
): Promise<ReceivedResponse> {
  const { clock, timeoutMs, maxPauseMs, maxMs, maxBytes } = options;
  return new Promise((resolve, reject) => {
    const outgoing = request(target, (response) => {
      const { statusCode: status = 0, headers } = response;
      readLimited(response, maxBytes)
        .then((body) => resolve({ status, headers, body }))
        .catch(reject);
    });
    const startedMs = clock.now();
    let seenBytes = 0;
    let cancel = clock.after(timeoutMs, checkProgress);
    function checkProgress(): void {
      const bytes = outgoing.socket?.bytesRead ?? 0;
      const isInTime = clock.now() - startedMs < maxMs;
      if (bytes > seenBytes && isInTime) {
        seenBytes = bytes;
        cancel = clock.after(maxPauseMs, checkProgress);
        return;
      }
      outgoing.destroy(new Error(`${target.host} did not respond in time`));
    }
    outgoing.on("socket", ({ bytesRead }) => seenBytes = bytesRead);
    outgoing.on("error", reject);
    outgoing.on("close", () => cancel());
    outgoing.end();
  });
}
