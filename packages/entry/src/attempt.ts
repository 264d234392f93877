import type { CallOutcome, Clock, TillerError } from "@rosemarytiller/shared";
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { Call } from "./call.ts";

/** One attempt to run a call, at a single upstream. */
export interface AttemptRequest {
  /**
   * Identifier of the attempt, unique. It is sent as `x-attempt-id`, and names
   * the stream when it is resumed or cancelled.
   */
  id: string;
  call: Call;
  /** Base URL of the upstream. */
  address: string;
  /** Response to the caller. */
  response: ServerResponse;
  /** Aborted when the caller disconnects or the call's time limit passes. */
  signal: AbortSignal;
  /**
   * Called once, immediately before the first byte is sent. Throws a
   * `TillerError` if the attempt may no longer start; then nothing is sent.
   */
  beforeSend(): void;
  /** Called when an interrupted stream is resumed from token `next`. */
  onResumed(next: number): void;
}

/** Result of an attempt. */
export interface AttemptResult {
  outcome: CallOutcome;
  /**
   * Time to the first token of a stream, to the complete response of a
   * non-streaming call, or to the response headers of a plain service; -1 if
   * that did not arrive.
   */
  firstTokenMs: number;
  totalMs: number;
  /** Tokens received; 1 for a non-streaming response, 0 for a plain service. */
  tokens: number;
  /** The error, unless the caller received the complete response. */
  error?: TillerError;
}

/** Sends a call to an upstream and relays the response to the caller. */
export type AttemptRunner = (request: AttemptRequest) => Promise<AttemptResult>;

/** Dependencies of an attempt runner. */
export interface AttemptOptions {
  dispatcher: Dispatcher;
  clock: Clock;
  /**
   * Counts a stream event that was dropped: a token that was received before,
   * or part of another attempt's response.
   */
  countDroppedEvent(): void;
}
