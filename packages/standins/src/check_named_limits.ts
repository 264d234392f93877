/** A time in which an upstream named a limit in all its responses. */
export interface NamedLimitRun {
  upstream: string;
  /** Calls a second that it takes from all VMs together. */
  perSecond: number;
  /** Time of the first response that named it, in ms; undefined if none did. */
  namedMs: number | undefined;
  /** Time at which the upstream ended it or stopped, in milliseconds. */
  endedMs: number;
  /** Times at which calls arrived, in milliseconds and in order. */
  arrivalsMs: number[];
}

/** Time after the first response from which the limit binds, in ms. */
const STABLE_MS = 3000;
/** Window in which calls are counted, in milliseconds. */
const WINDOW_MS = 4000;
/** Calls in a window that are always allowed. */
const SLACK_CALLS = 5;
/** Multiple of the limit that is allowed in a window. */
const ALLOWED_SHARE = 1.5;

/**
 * Returns a line for each upstream that got more calls than it allows: in any
 * `WINDOW_MS` that end `STABLE_MS` or more after the first response.
 */
export function checkNamedLimits(runs: readonly NamedLimitRun[]): string[] {
  const lines: string[] = [];
  for (const { upstream, perSecond, namedMs, endedMs, arrivalsMs } of runs) {
    if (namedMs === undefined) continue;
    const allowed = ALLOWED_SHARE * perSecond * WINDOW_MS / 1000 + SLACK_CALLS;
    const counted = arrivalsMs.filter((ms) => ms > namedMs && ms <= endedMs);
    for (const windowEndMs of counted) {
      if (windowEndMs < namedMs + STABLE_MS) continue;
      const calls = counted.filter((ms) =>
        ms > windowEndMs - WINDOW_MS && ms <= windowEndMs
      ).length;
      if (calls <= allowed) {
        continue;
      }
      lines.push(`${upstream}: ${calls} calls in a window, ${allowed} allowed`);
      break;
    }
  }
  return lines;
}
