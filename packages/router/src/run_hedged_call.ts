import type { CancelTimer } from "@rosemarytiller/shared";
import type { AttemptHooks, StartedAttempt } from "./create_attempt_starter.ts";
import { AttemptResult } from "./enums.ts";
import type { AttemptEnd } from "./run_attempt.ts";

/** A call that may be sent to a second upstream while the first is silent. */
export interface HedgedCall {
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
  /** Whether only one upstream may work on the call, as of now. */
  isExclusive(): boolean;
  /** Calls `callback` after `delayMs`, unless cancelled. */
  after(delayMs: number, callback: () => void): CancelTimer;
}

/**
 * Time after which a standby that was sent takes over an exclusive call, in ms:
 * an upstream that cannot resume a stream refuses it at once.
 */
const HAND_OVER_MS = 300;

/**
 * Runs a call until it ends. While its upstream is silent, the call is also
 * sent to a standby upstream. Whichever sends an event or a complete response
 * first goes on, and the other attempt is aborted: a silent attempt is never
 * ended before another one has replaced it. In an exclusive call, the standby
 * replaces it when its response begins, or `HAND_OVER_MS` after it was sent and
 * not refused. Returns the end of the attempt that decided the call; throws a
 * `TillerError` if the first cannot be started.
 */
export async function runHedgedCall(call: HedgedCall): Promise<AttemptEnd> {
  let standby: StartedAttempt | undefined;
  /** Undefined while the call has no standby and none is searched. */
  let standbyStart: Promise<void> | undefined;
  let standbySearch = new AbortController();
  let cancelStandbyWatch: CancelTimer = () => {};
  let cancelHandOver: CancelTimer = () => {};

  function dropStandby(result = AttemptResult.Superseded): void {
    if (!standbyStart) return;
    const dropped = standby;
    standby = standbyStart = undefined;
    standbySearch.abort();
    cancelStandbyWatch();
    cancelHandOver();
    dropped?.abort(result);
  }

  /** Replaces the active attempt by the standby. */
  function promoteStandby(): void {
    const replaced = active;
    active = standby!;
    standby = standbyStart = undefined;
    cancelStandbyWatch();
    cancelHandOver();
    cancelWatch();
    cancelWatch = call.watch(active, onSilent);
    replaced.abort(AttemptResult.Stalled);
  }

  /** Whether an attempt may forward events; the other one is aborted. */
  function claimResponse(attempt: StartedAttempt | undefined): boolean {
    if (attempt && attempt === standby) promoteStandby();
    else if (attempt === active) dropStandby();
    return attempt === active;
  }

  function onSilent(): void {
    standbyStart ??= startStandby();
  }

  async function startStandby(): Promise<void> {
    const search = new AbortController();
    standbySearch = search;
    const takeOver = () => {
      if (standby && standby === started) promoteStandby();
    };
    const started: StartedAttempt | undefined = await call.startStandby({
      claimResponse: () => claimResponse(started),
      onSent() {
        if (!call.isExclusive()) return;
        cancelHandOver = call.after(HAND_OVER_MS, takeOver);
      },
      onAccepted() {
        if (call.isExclusive()) takeOver();
      },
    }, search.signal).catch(() => undefined);
    if (search.signal.aborted) {
      started?.abort(AttemptResult.Superseded);
      return;
    }
    standby = started;
    if (!started) {
      standbyStart = undefined;
      return;
    }
    cancelStandbyWatch = call.watch(started, () => {
      if (standby === started) dropStandby(AttemptResult.Stalled);
    });
    started.ended.then((end) => {
      if (standby !== started) return;
      if (isSuccess(end)) promoteStandby();
      else dropStandby();
    });
  }

  const first = call.start({ claimResponse: () => claimResponse(first) });
  let active = first;
  let cancelWatch = call.watch(active, onSilent);
  for (;;) {
    const attempt = active;
    const end = await attempt.ended;
    if (attempt !== active) continue;
    if (isSuccess(end) || end.result === AttemptResult.Aborted) {
      cancelWatch();
      dropStandby();
      return end;
    }
    await standbyStart;
    if (attempt !== active) continue;
    if (!standby) {
      cancelWatch();
      return end;
    }
    promoteStandby();
  }
}

/** Whether the upstream responded completely and without an error of its own. */
function isSuccess({ result, status }: AttemptEnd): boolean {
  return result === AttemptResult.Complete && status < 500;
}
