import type { Clock } from "@rosemarytiller/shared";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Watches the memory of the process and frees garbage before it runs out. */
export interface MemoryWatch {
  /** Reads the memory in use; to be called every `MEMORY_CHECK_MS`. */
  check(): void;
  /** Whether so much memory is in use that callers must not get more. */
  isTight(): boolean;
}

/** Dependencies of the watch. */
export interface MemoryWatchOptions {
  clock: Clock;
  /** Memory that the process may use, in bytes. */
  memoryBytes: number;
  /** Memory in use, in bytes. */
  residentBytes(): number;
  /**
   * Whether callers were refused or closed lately, or upstreams sent very much,
   * whose garbage is left.
   */
  isCrowded(): boolean;
  /** Frees garbage at once; `createCollector` by default. */
  collect?: () => void;
}

/** Interval at which the memory in use is read, in milliseconds. */
export const MEMORY_CHECK_MS = 50;
/** Part of the memory beyond which it is tight. */
const TIGHT_SHARE = 0.8;
/** Part of the memory beyond which garbage is freed while it is crowded. */
const CROWDED_SHARE = 0.6;
/** Least time between two collections, in milliseconds. */
const COLLECT_INTERVAL_MS = 200;
/** The same while it is crowded, in durations of the last collection. */
const CROWDED_INTERVAL_FACTOR = 4;

/** Creates a watch of a process with memory left. */
export function createMemoryWatch(options: MemoryWatchOptions): MemoryWatch {
  const { clock, memoryBytes, residentBytes, isCrowded } = options;
  let { collect } = options;
  let isTight = false;
  let collectedMs = -Infinity;
  let durationMs = 0;

  return {
    check() {
      const usedShare = residentBytes() / memoryBytes;
      isTight = usedShare > TIGHT_SHARE;
      const hasCrowd = isCrowded();
      if (usedShare <= (hasCrowd ? CROWDED_SHARE : TIGHT_SHARE)) return;
      const startedMs = clock.now();
      const intervalMs = hasCrowd
        ? Math.min(COLLECT_INTERVAL_MS, CROWDED_INTERVAL_FACTOR * durationMs)
        : COLLECT_INTERVAL_MS;
      if (startedMs - collectedMs < intervalMs) return;
      collect ??= createCollector();
      collect();
      collectedMs = clock.now();
      durationMs = collectedMs - startedMs;
    },
    isTight: () => isTight,
  };
}

/**
 * Returns V8's garbage collector. V8 does not know the limit of the machine, and
 * by itself lets garbage grow beyond it.
 */
function createCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc");
}
