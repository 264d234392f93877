import type { CallOutcome, Clock, TillerError } from "@rosemarytiller/shared";
import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import type { Call } from "./call.ts";

/** One call to one upstream. */
export interface AttemptRequest {
  /** Identifier of the attempt, unique for each call. */
  attempt: string;
  call: Call;
  /** Base URL of the upstream. */
  address: string;
  response: ServerResponse;
  /** Aborted when the caller has gone or the time is over. */
  signal: AbortSignal;
  /**
   * Called once, right before the first byte leaves. Throws a `TillerError`
   * when the call may no longer start; then nothing is sent.
   */
  beforeSend(): void;
  /** Called when a broken stream goes on from token `next`. */
  noteResumed(next: number): void;
}

/** How an attempt ended. */
export interface AttemptResult {
  outcome: CallOutcome;
  /** Time to the first token or byte; -1 if none came. */
  firstTokenMs: number;
  totalMs: number;
  tokens: number;
  /** The error, unless the whole answer reached the caller. */
  error?: TillerError;
}

/** Sends a call to an upstream and its answer to the caller. */
export type AttemptRunner = (request: AttemptRequest) => Promise<AttemptResult>;

/** What an attempt runner needs. */
export interface AttemptOptions {
  dispatcher: Dispatcher;
  clock: Clock;
  /** Counts an event of an answer that belonged to another call. */
  countCrossed(): void;
}
