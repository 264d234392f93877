import type { Clock } from "@rosemarytiller/shared";

/**
 * Delay added to every timeout that has passed. After a suspension of the
 * process, timers fire before sockets are read; the delay leaves time to read
 * data that arrived meanwhile.
 */
export const SUSPENSION_GRACE_MS = 20;

/** Aborts a call when its upstream sends nothing for too long. */
export interface IdleTimer {
  /** Aborted on timeout, or together with the signal of the call. */
  readonly signal: AbortSignal;
  /** Whether the timer has aborted the call. */
  hasFired(): boolean;
  /** Starts or restarts the timeout; call when data arrives, too. */
  arm(timeoutMs: number): void;
  /** Stops the timeout until the next `arm`. */
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

  // `arm` only moves the deadline, so that tokens need no timer each. A timer
  // that fires too early is rescheduled.
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
    controller.abort(new Error("the upstream sent nothing for too long"));
  }

  return {
    signal: AbortSignal.any([signal, controller.signal]),
    hasFired: () => fired,
    arm(timeoutMs) {
      isInGrace = false;
      deadlineMs = clock.now() + timeoutMs;
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
