import {
  ERROR_RESPONSES,
  ErrorKind,
  RunState,
  TillerError,
} from "@rosemarytiller/shared";
import type { RequestState } from "./request_state.ts";

/** Retry-after while no upstream can be reached or has free capacity, in ms. */
export const FULL_RETRY_AFTER_MS = 250;

/** Error for a request after too many failed connection attempts. */
export function createUnreachableError(): TillerError {
  return new TillerError(
    ErrorKind.NoUpstream,
    "no connection to an upstream could be established",
    { retryAfterMs: FULL_RETRY_AFTER_MS },
  );
}

/** Most time added to the return of a paused upstream, in milliseconds. */
const RETURN_JITTER_MS = 250;

/**
 * Error for a request while all upstreams of its service have asked for a
 * pause, which ends at the earliest in `returnInMs`. Callers come back spread
 * over `RETURN_JITTER_MS`.
 */
export function createPauseError(returnInMs: number): TillerError {
  return new TillerError(
    ErrorKind.Overloaded,
    "all upstreams asked for a pause",
    { retryAfterMs: returnInMs + Math.random() * RETURN_JITTER_MS },
  );
}

/** Retry-after while this VM stops, in ms; the retry goes to another VM. */
const STOPPING_RETRY_AFTER_MS = 50;

/**
 * Error for a request that ends as this VM stops: `OutcomeUnknown` if an
 * upstream may have executed it, else `Stopping`.
 */
export function createStoppingError(mayHaveRun = false): TillerError {
  if (mayHaveRun) {
    return new TillerError(
      ErrorKind.OutcomeUnknown,
      "this VM stopped before the response was complete",
    );
  }
  return new TillerError(
    ErrorKind.Stopping,
    "this VM is stopping; send the request again",
    { retryAfterMs: STOPPING_RETRY_AFTER_MS },
  );
}

/**
 * Error for a request that an upstream declared not executed; the retry-after
 * has jitter.
 */
export function createNotExecutedError(): TillerError {
  return new TillerError(
    ErrorKind.Overloaded,
    "the upstream declined the request without running it",
    { retryAfterMs: FULL_RETRY_AFTER_MS * (0.5 + Math.random()) },
  );
}

/**
 * Error for a request whose deadline has passed: `DeadlineExceeded` if an
 * upstream may have executed it, else `Overloaded`.
 */
export function createDeadlineError(
  { sendHistory }: RequestState,
): TillerError {
  if (sendHistory.possibleRuns() > 0) {
    return new TillerError(
      ErrorKind.DeadlineExceeded,
      "the deadline passed before the response was complete",
    );
  }
  return new TillerError(
    ErrorKind.Overloaded,
    "no upstream could take the request before its deadline",
    {
      retryAfterMs: FULL_RETRY_AFTER_MS,
    },
  );
}

/**
 * Converts an error to what the caller receives. A request that an upstream may
 * have executed is never reported as not executed, whatever the error says.
 */
export function withRunState(
  state: RequestState,
  error: TillerError,
): TillerError {
  if (state.sendHistory.possibleRuns() === 0) return error;
  const { kind, message, retryAfterMs } = error;
  const isRefusal = ERROR_RESPONSES[kind].retryable &&
    kind !== ErrorKind.DeadlineExceeded;
  return new TillerError(
    isRefusal ? ErrorKind.OutcomeUnknown : kind,
    message,
    {
      run: RunState.MayHaveRun,
      cause: error,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    },
  );
}
