import { readFileSync } from "node:fs";
import process from "node:process";

/**
 * Processes that a test has started and whose waits for a core its run clocks
 * leave out, by process ID.
 */
const startedProcesses = new Set<number>();

/** Registers a process for run clocks; returns a function that removes it. */
export function addRunClockProcess(pid: number): () => void {
  startedProcesses.add(pid);
  return () => void startedProcesses.delete(pid);
}

/** Options of `createRunClock`. */
export interface RunClockOptions {
  /** Returns the monotonic time in milliseconds. */
  now?: () => number;
  /** Returns the processes whose waits for a core are left out. */
  processes?: () => Iterable<number>;
  /**
   * Returns for how long a process has waited for a core since its start, in
   * milliseconds.
   */
  readWaitMs?: (pid: number) => number;
}

/**
 * Creates a monotonic clock in milliseconds, starting at 0, that leaves out the
 * time in which this process or one of the registered ones was ready to run but
 * another process had its core. A time limit on this clock holds on a busy
 * machine, too; a process that sleeps, hangs or computes for too long still
 * exceeds it. Of waits of several processes between two readings only the
 * longest is left out, so it should be read often. On systems other than Linux
 * no time is left out.
 */
export function createRunClock(options: RunClockOptions = {}): () => number {
  const {
    now = () => performance.now(),
    processes = () => [process.pid, ...startedProcesses],
    readWaitMs = readCoreWaitMs,
  } = options;
  const waitsMs = new Map<number, number>();
  /** Waits that are not yet left out: the kernel counts a wait at its end. */
  const pendingMs = new Map<number, number>();
  let lastMs = now();
  let runMs = 0;

  function collectWaits(): number {
    let longestMs = 0;
    for (const pid of processes()) {
      const waitMs = readWaitMs(pid);
      const newMs = Math.max(0, waitMs - (waitsMs.get(pid) ?? waitMs));
      waitsMs.set(pid, waitMs);
      const pending = (pendingMs.get(pid) ?? 0) + newMs;
      pendingMs.set(pid, pending);
      longestMs = Math.max(longestMs, pending);
    }
    return longestMs;
  }

  collectWaits();
  return () => {
    const waitedMs = collectWaits();
    const nowMs = now();
    const elapsedMs = nowMs - lastMs;
    lastMs = nowMs;
    const leftOutMs = Math.min(elapsedMs, waitedMs);
    for (const [pid, pending] of pendingMs) {
      pendingMs.set(pid, Math.max(0, pending - leftOutMs));
    }
    runMs += elapsedMs - leftOutMs;
    return runMs;
  };
}

/**
 * Returns for how long the main thread of a process has waited for a core since
 * its start, in milliseconds; 0 if the system does not say.
 */
function readCoreWaitMs(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/task/${pid}/schedstat`, "utf8");
    return Number(text.split(" ")[1]) / 1e6;
  } catch {
    return 0;
  }
}
