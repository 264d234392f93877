import { CallOutcome } from "@rosemarytiller/shared";

/** Load of an upstream as it reports it. */
export interface LoadReport {
  /** Calls that run there. */
  running: number;
  /** Calls that wait there. */
  waiting: number;
  /** Age of the numbers when they were sent, in milliseconds. */
  ageMs: number;
  /** Number of the upstream's start. */
  instance: string;
}

/** A finished call as the limit sees it. */
export interface FinishedCall {
  outcome: CallOutcome;
  /** Time to the first token; -1 if none came. */
  firstTokenMs: number;
  totalMs: number;
}

/** How many calls an upstream may have at once. */
export interface UpstreamLimit {
  /** Calls that it may have now. */
  current(): number;
  onFinished(call: FinishedCall, nowMs: number): void;
  onReport(report: LoadReport, nowMs: number): void;
  /** Sets new bounds from a new revision of the document. */
  setBounds(bounds: LimitBounds): void;
}

/** Bounds of a limit, from the document. */
export interface LimitBounds {
  coldConcurrent: number;
  maxConcurrent: number;
}

/** Creates the limit of an upstream that has just been seen. */
export function createUpstreamLimit(initial: LimitBounds): UpstreamLimit {
  let bounds = initial;
  let limit = bounds.coldConcurrent;
  let instance = "";
  let completed = 0;
  function cool(): void {
    limit = bounds.coldConcurrent;
    completed = 0;
  }
  return {
    current: () => Math.min(limit, bounds.maxConcurrent),
    onFinished(call) {
      if (COOLING_OUTCOMES.has(call.outcome)) {
        cool();
        return;
      }
      if (call.outcome !== CallOutcome.Complete) return;
      completed++;
      if (completed < limit) return;
      limit = Math.min(limit * 2, bounds.maxConcurrent);
      completed = 0;
    },
    onReport(report) {
      if (instance && report.instance !== instance) cool();
      instance = report.instance;
    },
    setBounds(next) {
      bounds = next;
      limit = Math.min(limit, bounds.maxConcurrent);
    },
  };
}

const COOLING_OUTCOMES = new Set([
  CallOutcome.ConnectFailed,
  CallOutcome.Crashed,
]);
