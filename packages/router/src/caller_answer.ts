import type { TillerError } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";
import type { RequestFacts } from "./ports.ts";

/** A whole request of a caller. */
export interface CallerRequest {
  facts: RequestFacts;
  method: string;
  /** Path and query as they came. */
  target: string;
  host: string;
  body: Buffer;
  /** When its first bytes were read, by the monotonic clock. */
  arrivedMs: number;
}

/** Port: the answer to one request. */
export interface CallerAnswer {
  /** Runs once when the caller goes away before the answer ended. */
  onGone(action: () => void): void;
  isGone(): boolean;
  /** Sends a whole answer. */
  whole(status: number, rawHeaders: string[], body: Buffer): void;
  /** Begins a stream. */
  begin(status: number, rawHeaders: string[]): void;
  /** Sends bytes of a stream; returns false when the caller reads slowly. */
  write(bytes: Buffer): boolean;
  onDrain(action: () => void): void;
  /** Ends a stream whole. */
  end(): void;
  /** Breaks a stream off, so that it does not look complete. */
  cut(): void;
  /** Answers an error of this system's own. */
  refuse(error: TillerError): void;
}
