/** What crashes every upstream that begins to serve it. */
export enum CrashCause {
  /** One request, which callers send again. */
  Request = "request",
  /** A prompt part of requests that are not alike otherwise. */
  Part = "part",
}

/** A call that crashes its upstream. */
export interface CrashingRun {
  cause: CrashCause;
  arrivedMs: number;
  /** Undefined if the call ended before the crash. */
  crashedMs: number | undefined;
}

/** Crashes after which the cause is to be known at all VMs. */
const KNOWN_AFTER_CRASHES = { [CrashCause.Request]: 3, [CrashCause.Part]: 5 };
/** Time until then, in milliseconds. */
const SPREAD_MS = 3000;
/** Runs after that which are allowed. */
const MAX_LATE_RUNS = 3;

/**
 * Returns a line for each cause that was sent on although it was known. What is
 * known is lost at the times `allDownMs`, when no router runs.
 */
export function checkContainment(
  runs: readonly CrashingRun[],
  allDownMs: readonly number[] = [],
): string[] {
  const lines: string[] = [];
  const times = [-Infinity, ...allDownMs, Infinity];
  for (const [index, untilMs] of times.entries()) {
    const sinceMs = times[index - 1] ?? -Infinity;
    const between = runs.filter(({ arrivedMs }) =>
      arrivedMs > sinceMs && arrivedMs <= untilMs
    );
    lines.push(...checkRuns(between));
  }
  return lines;
}

function checkRuns(runs: readonly CrashingRun[]): string[] {
  const lines: string[] = [];
  for (const cause of Object.values(CrashCause)) {
    const own = runs.filter((run) => run.cause === cause);
    const crashes = own.map(({ crashedMs }) => crashedMs ?? Infinity)
      .sort((left, right) => left - right);
    const knownMs = (crashes[KNOWN_AFTER_CRASHES[cause] - 1] ?? Infinity) +
      SPREAD_MS;
    const late = own.filter(({ arrivedMs }) => arrivedMs > knownMs).length;
    if (late <= MAX_LATE_RUNS) continue;
    lines.push(
      `${cause}: ${late} runs after it was known, ${own.length} in all`,
    );
  }
  return lines;
}
