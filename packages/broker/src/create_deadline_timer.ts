import type { CancelTimer, Clock } from "@rosemarytiller/shared";

/** A timer for one deadline that may be moved at any time. */
export interface DeadlineTimer {
  /** Replaces the deadline, a monotonic time; `undefined` clears it. */
  set(dueMs: number | undefined): void;
}

/**
 * Creates a timer that runs `action` once for each deadline that passes. No
 * deadline is set at first.
 */
export function createDeadlineTimer(
  clock: Clock,
  action: () => void,
): DeadlineTimer {
  let current: { dueMs: number; cancel: CancelTimer } | undefined;
  return {
    set(dueMs) {
      if (dueMs === current?.dueMs) return;
      current?.cancel();
      current = undefined;
      if (dueMs === undefined) return;
      const cancel = clock.after(Math.ceil(dueMs - clock.now()), () => {
        current = undefined;
        action();
      });
      current = { dueMs, cancel };
    },
  };
}
