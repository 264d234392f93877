import type { Clock } from "@rosemarytiller/shared";

/** Time in which a process that slept reads what came meanwhile. */
export const WAKE_GRACE_MS = 20;

/** Aborts a call to an upstream that stays silent for too long. */
export interface SilenceGuard {
  /** Aborted on silence, or together with the call's own signal. */
  readonly signal: AbortSignal;
  /** Whether silence aborted it. */
  hasFired(): boolean;
  /** Starts to wait for the next bytes. */
  arm(limitMs: number): void;
  /** The upstream need not send anything now. */
  disarm(): void;
  /** Ends the guard. */
  close(): void;
}

/** Creates the guard of one call. */
export function createSilenceGuard(
  signal: AbortSignal,
  options: { clock: Clock },
): SilenceGuard {
  const { clock } = options;
  const controller = new AbortController();
  let deadlineMs = Infinity;
  let timerDueMs = Infinity;
  let cancel = () => {};
  let fired = false;
  let isGrace = false;

  // One timer serves many tokens: it is only moved when it comes due.
  function schedule(): void {
    cancel();
    timerDueMs = deadlineMs;
    cancel = clock.after(deadlineMs - clock.now(), onDue);
  }

  function onDue(): void {
    timerDueMs = Infinity;
    if (deadlineMs === Infinity) return;
    if (clock.now() < deadlineMs) {
      schedule();
      return;
    }
    if (!isGrace) {
      isGrace = true;
      deadlineMs = clock.now() + WAKE_GRACE_MS;
      schedule();
      return;
    }
    fired = true;
    controller.abort(new Error("the upstream stayed silent"));
  }

  return {
    signal: AbortSignal.any([signal, controller.signal]),
    hasFired: () => fired,
    arm(limitMs) {
      isGrace = false;
      deadlineMs = clock.now() + limitMs;
      if (deadlineMs < timerDueMs) schedule();
    },
    disarm() {
      deadlineMs = Infinity;
    },
    close() {
      deadlineMs = Infinity;
      cancel();
    },
  };
}
