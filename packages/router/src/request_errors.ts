import {
  ERROR_ANSWERS,
  ErrorKind,
  RunState,
  TillerError,
} from "@rosemarytiller/shared";
import type { RequestState } from "./request_state.ts";

/** Time to come back when an upstream said it was full, in ms. */
export const FULL_RETRY_MS = 250;

/** No upstream could be connected to. */
export function unreachable(): TillerError {
  return new TillerError(
    ErrorKind.NoUpstream,
    "no upstream could be reached",
    { retryAfterMs: FULL_RETRY_MS },
  );
}

/** The upstream said that it did not run the request. */
export function refusedByUpstream(): TillerError {
  return new TillerError(
    ErrorKind.Overloaded,
    "the upstream took no more requests",
    { retryAfterMs: FULL_RETRY_MS * (0.5 + Math.random()) },
  );
}

/** The time in which the caller waits is over. */
export function timeUp({ possibleRuns }: RequestState): TillerError {
  if (possibleRuns > 0) {
    return new TillerError(ErrorKind.DeadlineExceeded, "the time is up");
  }
  return new TillerError(ErrorKind.Overloaded, "no upstream in time", {
    retryAfterMs: FULL_RETRY_MS,
  });
}

/**
 * The error as the caller is told: only a request that no upstream can have
 * run is called unrun, whatever ended it.
 */
export function withRunState(
  state: RequestState,
  error: TillerError,
): TillerError {
  if (state.possibleRuns === 0) return error;
  const { kind, message, retryAfterMs } = error;
  const isRefusal = ERROR_ANSWERS[kind].retryable &&
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
