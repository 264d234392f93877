import { performance } from "node:perf_hooks";

/** Cancels a timer. */
export type CancelTimer = () => void;

/** Port for time: monotonic for decisions, wall time for records only. */
export interface Clock {
  /** Monotonic time of this process in milliseconds. */
  now(): number;
  /** Wall time in milliseconds since 1970; never used for decisions. */
  wall(): number;
  /** Runs `action` after `delayMs`; returns its cancellation. */
  after(delayMs: number, action: () => void): CancelTimer;
}

/** Creates the clock of the running process. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wall: () => Date.now(),
    after(delayMs, action) {
      const timer = setTimeout(action, delayMs);
      return () => clearTimeout(timer);
    },
  };
}

/** A clock that tests move by hand. */
export interface FakeClock extends Clock {
  /** Moves time forward and runs the timers that come due, in order. */
  advance(deltaMs: number): void;
}

/** Creates a clock that stands still until it is advanced. */
export function createFakeClock(startMs = 0): FakeClock {
  let nowMs = startMs;
  let sequence = 0;
  const timers = new Map<number, { dueMs: number; action: () => void }>();
  function nextDue(untilMs: number): number | undefined {
    let best: number | undefined;
    for (const [id, timer] of timers) {
      if (timer.dueMs > untilMs) continue;
      if (best === undefined || timer.dueMs < timers.get(best)!.dueMs) {
        best = id;
      }
    }
    return best;
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
        let id = nextDue(untilMs);
        id !== undefined;
        id = nextDue(untilMs)
      ) {
        const timer = timers.get(id)!;
        timers.delete(id);
        nowMs = Math.max(nowMs, timer.dueMs);
        timer.action();
      }
      nowMs = untilMs;
    },
  };
}

/** Resolves after `delayMs` on the given clock. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.after(delayMs, resolve));
}

/** Repeats `action` every `intervalMs` until cancelled. */
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
