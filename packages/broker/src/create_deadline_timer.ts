import type { CancelTimer, Clock } from "@rosemarytiller/shared";

/** Wakes at the earliest of changing deadlines. */
export interface DeadlineTimer {
  /** Sets the next deadline, a monotonic time; `undefined` for none. */
  set(dueMs: number | undefined): void;
}

/** Creates a timer without a deadline. */
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
