import {
  ErrorKind,
  RunState,
  TillerError,
  toTillerError,
} from "@rosemarytiller/shared";
import type { Call } from "./call.ts";
import type { RunRecord } from "./create_run_record.ts";
import { isRepeatable } from "./is_repeatable.ts";

/** What the caller can do after an attempt has failed, by the final kind. */
const ADVICE: Partial<Record<ErrorKind, string>> = {
  [ErrorKind.DeadlineExceeded]: "request a shorter response, or retry",
  [ErrorKind.UpstreamFailed]: "retry later",
  [ErrorKind.IncompleteAnswer]: "retry if the request may run twice",
  [ErrorKind.OutcomeUnknown]:
    "check whether it took effect before sending it again",
};

/**
 * Returns the error for the caller, with advice and `run` from the request's
 * record. If the call's time limit has passed, that error replaces the cause. The
 * kind becomes `outcome-unknown` if a call that must not be repeated has run or
 * may have run, unless it is `invalid-request`. A `duplicate-key` error stays as
 * it is.
 */
export function finalError(
  cause: unknown,
  options: { call: Call; run: RunRecord; signal: AbortSignal },
): TillerError {
  const { call, run, signal } = options;
  const isTimedOut = signal.aborted && signal.reason instanceof TillerError;
  const error = toTillerError(isTimedOut ? signal.reason : cause);
  // Here `run` describes the earlier request that used the key.
  if (error.kind === ErrorKind.DuplicateKey) return error;
  const state = run.state();
  const isUnknown = state !== RunState.NotRun && !isRepeatable(call) &&
    error.kind !== ErrorKind.InvalidRequest;
  const kind = isUnknown ? ErrorKind.OutcomeUnknown : error.kind;
  const advice = ADVICE[kind];
  return new TillerError(
    kind,
    advice ? `${error.message}; ${advice}` : error.message,
    { run: state, retryAfterMs: error.retryAfterMs, cause: error.cause },
  );
}
