import type { CancelTimer, Clock } from "@rosemarytiller/shared";
import type { AttemptHooks, StartedAttempt } from "./create_attempt_starter.ts";
import { AttemptResult } from "./enums.ts";
import type { AttemptEnd } from "./run_attempt.ts";

/** A call that may be sent to a second upstream while the first is silent. */
export interface HedgedCall {
  /** Whether the response is an event stream. */
  isStream: boolean;
  start(hooks: AttemptHooks): StartedAttempt;
  /**
   * Sends the call to another upstream; `undefined` if none can take it or
   * `signal` was aborted meanwhile.
   */
  startStandby(
    hooks: AttemptHooks,
    signal: AbortSignal,
  ): Promise<StartedAttempt | undefined>;
  /** Calls `onSilent` while an attempt is silent, until cancelled. */
  watch(attempt: StartedAttempt, onSilent: () => void): CancelTimer;
}

/**
 * Time after which a stream's standby counts as accepted if it was not refused,
 * in ms. Bounds how long two upstreams generate the same stream.
 */
const STANDBY_ACCEPTED_MS = 300;

/**
 * Runs a call until it ends. While its upstream is silent, the call is also
 * sent to a standby upstream. The first attempt is aborted only once the
 * standby has responded or, for a stream, has accepted the call; the standby is
 * aborted if the first upstream sends data again. Returns how the attempt ended
 * that decided the call; throws a `TillerError` if the first cannot be started.
 */
export async function runHedgedCall(
  call: HedgedCall,
  options: { clock: Clock },
): Promise<AttemptEnd> {
  const { clock } = options;
  let standby: StartedAttempt | undefined;
  /** Undefined while the call has no standby and none is searched. */
  let standbyStart: Promise<void> | undefined;
  let standbySearch = new AbortController();
  let cancelAcceptance: CancelTimer = () => {};
  let cancelStandbyWatch: CancelTimer = () => {};

  function dropStandby(): void {
    if (!standbyStart) return;
    standbyStart = undefined;
    standbySearch.abort();
    cancelAcceptance();
    cancelStandbyWatch();
    standby?.abort(AttemptResult.Superseded);
    standby = undefined;
  }

  /** Whether the standby has ended without executing the call. */
  function wasRefused({ result }: AttemptEnd): boolean {
    return result === AttemptResult.NotRun || result === AttemptResult.Unsent;
  }

  function abortFirst(): boolean {
    first.abort(AttemptResult.Stalled);
    return true;
  }

  async function startStandby(): Promise<void> {
    const search = new AbortController();
    standbySearch = search;
    const started = await call.startStandby(
      {
        onSent() {
          if (!call.isStream || search.signal.aborted) return;
          cancelAcceptance = clock.after(STANDBY_ACCEPTED_MS, abortFirst);
        },
        onReceived() {},
        claimResponse: abortFirst,
      },
      search.signal,
    ).catch(() => undefined);
    if (search.signal.aborted) {
      started?.abort(AttemptResult.Superseded);
      return;
    }
    if (!started) {
      standbyStart = undefined;
      return;
    }
    standby = started;
    cancelStandbyWatch = call.watch(started, () => {});
    started.ended.then((end) => {
      if (standby !== started) return;
      cancelAcceptance();
      cancelStandbyWatch();
      const isComplete = end.result === AttemptResult.Complete;
      if (isComplete && end.status < 500) abortFirst();
      if (wasRefused(end)) standby = standbyStart = undefined;
    });
  }

  const first = call.start({
    onSent() {},
    onReceived: dropStandby,
    claimResponse: () => true,
  });
  const cancelWatch = call.watch(first, () => {
    standbyStart ??= startStandby();
  });
  const end = await first.ended;
  cancelWatch();
  if (
    end.result === AttemptResult.Complete ||
    end.result === AttemptResult.Aborted
  ) {
    dropStandby();
    return end;
  }
  await standbyStart;
  const standbyEnd = await standby?.ended;
  return standbyEnd && !wasRefused(standbyEnd) ? standbyEnd : end;
}
