import { performance } from "node:perf_hooks";

/** Cancels a timer. */
export type CancelTimer = () => void;

/** Port for time: monotonic time for decisions, wall time for records only. */
export interface Clock {
  /** Monotonic time of this process in milliseconds. */
  now(): number;
  /** Wall time in milliseconds since 1970; never used for decisions. */
  wall(): number;
  /** Runs `action` once `delayMs` have passed; returns a function that cancels it. */
  after(delayMs: number, action: () => void): CancelTimer;
}

/** Longest delay of one of Node's timers, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Creates a clock on the system time and timers of this process. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wall: () => Date.now(),
    after(delayMs, action) {
      const dueMs = performance.now() + delayMs;
      let timer: ReturnType<typeof setTimeout>;
      // Node counts from the start of the event loop's iteration and may fire
      // early by the time that has passed since then.
      function arm(leftMs: number): void {
        timer = setTimeout(() => {
          const remainingMs = dueMs - performance.now();
          if (remainingMs > 0) arm(remainingMs);
          else action();
        }, Math.min(Math.ceil(leftMs), MAX_TIMER_MS));
      }
      arm(delayMs);
      return () => clearTimeout(timer);
    },
  };
}

/** A clock for tests, whose time changes only through `advance`. */
export interface FakeClock extends Clock {
  /** Advances the time and runs the timers that fall due, in order of time. */
  advance(deltaMs: number): void;
}

/** Creates a fake clock; monotonic and wall time both start at `startMs`. */
export function createFakeClock(startMs = 0): FakeClock {
  let nowMs = startMs;
  let sequence = 0;
  const timers = new Map<number, { dueMs: number; action: () => void }>();
  function findNextDue(untilMs: number): number | undefined {
    let earliestId: number | undefined;
    for (const [id, timer] of timers) {
      if (timer.dueMs > untilMs) continue;
      if (
        earliestId === undefined || timer.dueMs < timers.get(earliestId)!.dueMs
      ) {
        earliestId = id;
      }
    }
    return earliestId;
  }
  return {
    now: () => nowMs,
    wall: () => nowMs,
    after(delayMs, action) {
      const id = sequence++;
      timers.set(id, { dueMs: nowMs + Math.max(0, delayMs), action });
      return () => void timers.delete(id);
    },
    advance(deltaMs) {
      const untilMs = nowMs + deltaMs;
      for (
        let id = findNextDue(untilMs);
        id !== undefined;
        id = findNextDue(untilMs)
      ) {
        const timer = timers.get(id)!;
        timers.delete(id);
        nowMs = Math.max(nowMs, timer.dueMs);
        timer.action();
      }
      // An action may have advanced the time further.
      nowMs = Math.max(nowMs, untilMs);
    },
  };
}

/** Resolves after `delayMs` on the given clock. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.after(delayMs, resolve));
}

/**
 * Runs `action` every `intervalMs`, first after one interval. Returns a
 * function that cancels it.
 */
export function repeat(
  clock: Clock,
  intervalMs: number,
  action: () => void,
): CancelTimer {
  let cancelled = false;
  let cancel = clock.after(intervalMs, tick);
  function tick(): void {
    if (cancelled) return;
    cancel = clock.after(intervalMs, tick);
    action();
  }
  return () => {
    cancelled = true;
    cancel();
  };
}
