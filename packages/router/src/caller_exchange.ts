import type { TillerError } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";
import type { RequestMetadata } from "./ports.ts";
import type { RelayedRequest } from "./relay_headers.ts";

/** The head of a caller's request. */
export interface CallerHead {
  metadata: RequestMetadata;
  method: string;
  /** Path and query, unmodified. */
  pathAndQuery: string;
  host: string;
  /** Unmodified headers; names and values alternate. */
  rawHeaders: readonly string[];
  /** Monotonic time at which it was received, in milliseconds. */
  arrivedMs: number;
}

/** A caller's request, received with its complete body. */
export interface CallerRequest extends CallerHead {
  body: Buffer;
  /** Set if another VM passed the request on, as it reaches no upstream. */
  relay?: RelayedRequest;
}

/** Port: writes the response to one request. */
export interface CallerResponse {
  /**
   * Runs `action` once if the connection closes before the response was
   * completely written, also after `destroy`; at once if the response is
   * already destroyed.
   */
  onDisconnect(action: () => void): void;
  /**
   * Runs `action` once when the response has been written to the connection, or
   * the connection has closed.
   */
  onClosed(action: () => void): void;
  /** Whether the response has ended or the caller has disconnected. */
  isClosed(): boolean;
  /**
   * Sends a complete response, whose body is in pieces; sets its
   * `Content-Length`.
   */
  send(status: number, rawHeaders: string[], body: readonly Buffer[]): void;
  /** Sends the status and headers of a streamed response. */
  startStream(status: number, rawHeaders: string[]): void;
  /**
   * Sends bytes of a streamed response. Returns false when too much is
   * buffered: the source should pause until `onDrain`.
   */
  write(bytes: Buffer): boolean;
  /** Runs `action` once when the buffered bytes have been written. */
  onDrain(action: () => void): void;
  /** Completes a streamed response. */
  end(): void;
  /** Destroys the connection, so that a stream is seen as incomplete. */
  destroy(): void;
  /**
   * Responds with an error of this system as a problem document. With `isLast`
   * it asks the caller to close the connection, and does not end the response.
   */
  sendError(error: TillerError, options?: { isLast?: boolean }): void;
}
