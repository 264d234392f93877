import {
  ErrorKind,
  RunState,
  TillerError,
  toTillerError,
} from "@rosemarytiller/shared";
import type { Call } from "./call.ts";
import type { RunRecord } from "./create_run_record.ts";
import { isRepeatable } from "./is_repeatable.ts";

/** Returns the error for the caller; sets `run` from the request's record. */
export function finalError(
  cause: unknown,
  options: { call: Call; run: RunRecord; signal: AbortSignal },
): TillerError {
  const { call, run, signal } = options;
  const timedOut = signal.aborted && signal.reason instanceof TillerError;
  const error = toTillerError(timedOut ? signal.reason : cause);
  // The run of a used key is that of the request which used it.
  if (error.kind === ErrorKind.DuplicateKey) return error;
  const state = run.state();
  const unknown = state !== RunState.NotRun && !isRepeatable(call) &&
    error.kind !== ErrorKind.InvalidRequest;
  return new TillerError(
    unknown ? ErrorKind.OutcomeUnknown : error.kind,
    error.message,
    { run: state, retryAfterMs: error.retryAfterMs, cause: error.cause },
  );
}
