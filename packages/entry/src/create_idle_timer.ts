import type { Clock } from "@rosemarytiller/shared";

/**
 * Time for which a process that was suspended reads the data that arrived
 * meanwhile, before a timeout that has passed takes effect.
 */
export const SUSPENSION_GRACE_MS = 20;

/** Aborts a call when its upstream sends nothing for too long. */
export interface IdleTimer {
  /** Aborted on timeout, or together with the signal of the call. */
  readonly signal: AbortSignal;
  /** Whether the timer has aborted the call. */
  hasFired(): boolean;
  /** Restarts the timeout; call when data arrives. */
  arm(limitMs: number): void;
  /** Suspends the timeout until the next `arm`. */
  disarm(): void;
  /** Cancels the timer for good. */
  close(): void;
}

/** Creates the idle timer of one call, disarmed. */
export function createIdleTimer(
  signal: AbortSignal,
  options: { clock: Clock },
): IdleTimer {
  const { clock } = options;
  const controller = new AbortController();
  let deadlineMs = Infinity;
  let timerDueMs = Infinity;
  let cancel = () => {};
  let fired = false;
  let isInGrace = false;

  // Tokens only move the deadline; a timer that fires early is rescheduled.
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
    if (!isInGrace) {
      isInGrace = true;
      deadlineMs = clock.now() + SUSPENSION_GRACE_MS;
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
      isInGrace = false;
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
