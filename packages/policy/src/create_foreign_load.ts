/** Age at which a load report tells nothing any more, in milliseconds. */
export const REPORT_STALE_MS = 2000;
/** How long own calls are remembered beyond a report's age. */
const HISTORY_SLACK_MS = 500;
/** Part of the way that the estimate falls with each report. */
const FALL_WEIGHT = 0.25;

/** Load of an upstream as it reports it. */
export interface LoadReport {
  /** Calls that run there. */
  running: number;
  /** Calls that wait there. */
  waiting: number;
  /** Most age of the numbers, from the question on, in milliseconds. */
  ageMs: number;
  /** Number of the upstream's start. */
  instance: string;
}

/** Calls at an upstream that this leader did not grant. */
export interface ForeignLoad {
  /** Notes how many own calls are in flight. */
  note(outstanding: number, nowMs: number): void;
  /** Compares a report with the most own calls of its time. */
  onReport(report: LoadReport, nowMs: number): void;
  /** Calls of others, estimated. */
  calls(): number;
}

/** Creates the estimate, which rises at once and falls slowly. */
export function createForeignLoad(): ForeignLoad {
  const history: { atMs: number; outstanding: number }[] = [];
  let estimate = 0;

  function forgetBefore(limitMs: number): void {
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
    note(outstanding, nowMs) {
      if (history.at(-1)?.outstanding === outstanding) return;
      history.push({ atMs: nowMs, outstanding });
      forgetBefore(nowMs - REPORT_STALE_MS - HISTORY_SLACK_MS);
    },
    onReport({ running, waiting, ageMs }, nowMs) {
      const weight = Math.max(0, 1 - ageMs / REPORT_STALE_MS);
      const own = ownPeak(nowMs - ageMs - HISTORY_SLACK_MS);
      const foreign = Math.max(0, running + waiting - own) * weight;
      if (foreign > estimate) estimate = foreign;
      else estimate += (foreign - estimate) * FALL_WEIGHT;
    },
    calls: () => Math.round(estimate),
  };
}
