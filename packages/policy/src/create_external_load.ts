/** Age from which a load report carries no weight, in milliseconds. */
export const REPORT_STALE_MS = 2000;
/** Margin beyond a report's age in which own calls are considered, in ms. */
const HISTORY_SLACK_MS = 500;
/** Weight of a report that lowers the estimate. */
const FALL_WEIGHT = 0.25;

/** Load of an upstream, as it reports it. */
export interface LoadReport {
  /** Calls that run there. */
  running: number;
  /** Calls that are queued there. */
  waiting: number;
  /**
   * Upper bound of the numbers' age, in milliseconds. A pool gets it with the
   * time since the poll was sent.
   */
  ageMs: number;
  /** Identifier of the upstream's start; differs after a restart. */
  instance: string;
}

/** Estimate of an upstream's load from other processes. */
export interface ExternalLoad {
  /** Records the number of own calls in flight. */
  recordOutstanding(outstanding: number, nowMs: number): void;
  /**
   * Compares a report with the most own calls in flight since it was measured,
   * with a margin of `HISTORY_SLACK_MS`.
   */
  onReport(report: LoadReport, nowMs: number): void;
  /** Estimated number of calls in flight that this leader didn't grant. */
  calls(): number;
}

/** Creates the estimate, which rises at once and falls slowly. */
export function createExternalLoad(): ExternalLoad {
  const history: { atMs: number; outstanding: number }[] = [];
  let estimate = 0;

  function dropBefore(limitMs: number): void {
    while (history.length > 1 && history[1].atMs <= limitMs) history.shift();
  }

  function ownPeak(sinceMs: number): number {
    let peak = 0;
    for (const [index, { outstanding }] of history.entries()) {
      const untilMs = history[index + 1]?.atMs ?? Infinity;
      if (untilMs >= sinceMs) peak = Math.max(peak, outstanding);
    }
    return peak;
  }

  return {
    recordOutstanding(outstanding, nowMs) {
      if (history.at(-1)?.outstanding === outstanding) return;
      history.push({ atMs: nowMs, outstanding });
      dropBefore(nowMs - REPORT_STALE_MS - HISTORY_SLACK_MS);
    },
    onReport({ running, waiting, ageMs }, nowMs) {
      const weight = Math.max(0, 1 - ageMs / REPORT_STALE_MS);
      const own = ownPeak(nowMs - ageMs - HISTORY_SLACK_MS);
      const others = Math.max(0, running + waiting - own) * weight;
      if (others > estimate) estimate = others;
      else estimate += (others - estimate) * FALL_WEIGHT;
    },
    calls: () => Math.round(estimate),
  };
}
