import type { CallOutcome, Clock, TillerError } from "@rosemarytiller/shared";
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { Call } from "./call.ts";

/** One attempt of a call: a single request to a single upstream. */
export interface AttemptRequest {
  /** Identifier of the attempt, unique for each request to an upstream. */
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
  /** Time to the first token or byte; -1 if none arrived. */
  firstTokenMs: number;
  totalMs: number;
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
