import { CallOutcome } from "@rosemarytiller/shared";
import {
  createFirstTokenTrend,
  FirstTokenPace,
} from "./create_first_token_trend.ts";
import {
  createForeignLoad,
  type LoadReport,
  REPORT_STALE_MS,
} from "./create_foreign_load.ts";
import { createProbe } from "./create_probe.ts";

/** Whole answers after which a cold upstream is warm, unless declared. */
export const WARM_CALLS = 8;
/** Part of the limit that is left when the upstream is congested. */
export const DECREASE_FACTOR = 0.8;
/** Part of a window's calls that may be slow. */
export const SLOW_SHARE = 0.1;
/** Most doublings of the warm-up after crashes in it. */
const MAX_PATIENCE = 64;

/** A finished call as the limit sees it. */
export interface FinishedCall {
  outcome: CallOutcome;
  /** Time to the first token; -1 if none came. */
  firstTokenMs: number;
  totalMs: number;
  /** First-token target of the call's class, in milliseconds. */
  targetMs?: number;
}

/** How many calls an upstream may have at once. */
export interface UpstreamLimit {
  /** Calls that it may have now. */
  current(nowMs: number): number;
  /** Usual first-token time of late; 0 before the first answer. */
  firstTokenMs(): number;
  /** Notes a call that ended, while it still counts as in flight. */
  onFinished(call: FinishedCall, nowMs: number): void;
  onReport(report: LoadReport, nowMs: number): void;
  /** Sets new bounds from a new revision of the document. */
  setBounds(bounds: LimitBounds): void;
}

/** Bounds of a limit, from the document. */
export interface LimitBounds {
  coldConcurrent: number;
  maxConcurrent: number;
  /** Whole answers after which a cold upstream is warm. */
  warmAfterCalls?: number;
}

/** What a limit needs beside its bounds. */
export interface UpstreamLimitOptions {
  /** Calls of this leader in flight at the upstream. */
  outstanding?: () => number;
}

/** Creates the limit of an upstream that has just been seen. */
export function createUpstreamLimit(
  initial: LimitBounds,
  options: UpstreamLimitOptions = {},
): UpstreamLimit {
  const { outstanding } = options;
  const trend = createFirstTokenTrend();
  const foreign = createForeignLoad();
  const probe = createProbe();
  let bounds = initial;
  let limit = bounds.coldConcurrent;
  /** Whole answers since the upstream was last taken for cold. */
  let warmAnswers = 0;
  /** Factor on the length of the warm-up. */
  let patience = 1;
  /** Whether the limit still doubles. */
  let slowStart = true;
  let instance: string | undefined;
  /** Calls that began earlier say nothing about the present limit. */
  let windowStartMs = -Infinity;
  let good = 0;
  let slow = 0;
  /** What a failure that proves to be none gives back. */
  let beforeFailure = { limit, warmAnswers };

  function isCold(): boolean {
    const calls = bounds.warmAfterCalls ?? WARM_CALLS;
    return warmAnswers < calls * patience;
  }

  function beginWindow(next: number, nowMs: number): void {
    const { coldConcurrent, maxConcurrent } = bounds;
    const most = isCold() ? coldConcurrent : maxConcurrent;
    limit = Math.min(most, Math.max(coldConcurrent, next));
    windowStartMs = nowMs;
    good = 0;
    slow = 0;
  }

  function cool(nowMs: number): void {
    warmAnswers = 0;
    slowStart = true;
    beginWindow(bounds.coldConcurrent, nowMs);
  }

  function decrease(next: number, nowMs: number): void {
    if (isCold()) return;
    slowStart = false;
    beginWindow(next, nowMs);
  }

  function increase(nowMs: number): void {
    beginWindow(slowStart ? limit * 2 : limit + 1, nowMs);
    if (limit < bounds.maxConcurrent) return;
    slowStart = false;
    patience = Math.max(1, patience / 2);
  }

  function onFailure(startedMs: number, nowMs: number): void {
    const isWarming = slowStart && !isCold();
    if (!probe.onFailure(startedMs, nowMs)) return;
    if (isWarming) patience = Math.min(MAX_PATIENCE, patience * 2);
    beforeFailure = { limit, warmAnswers };
    cool(nowMs);
  }

  function onAnswer(
    call: FinishedCall,
    startedMs: number,
    nowMs: number,
  ): void {
    probe.onSuccess(startedMs);
    const { firstTokenMs, targetMs = 0 } = call;
    const pace = trend.add(firstTokenMs, targetMs);
    if (pace === FirstTokenPace.Cold) {
      cool(nowMs);
      return;
    }
    if (startedMs < windowStartMs || pace === FirstTokenPace.Jumped) return;
    if (isCold()) {
      warmAnswers++;
      if (!isCold()) increase(nowMs);
      return;
    }
    good++;
    if (pace === FirstTokenPace.Slow) slow++;
    if (good < limit) return;
    if (slow > good * SLOW_SHARE) decrease(limit * DECREASE_FACTOR, nowMs);
    else increase(nowMs);
  }

  /** Takes the count of an upstream that this leader has not known. */
  function startFrom(report: LoadReport, nowMs: number): void {
    const fresh = report.ageMs < REPORT_STALE_MS;
    if (!fresh || probe.isProbing() || report.running <= limit) return;
    warmAnswers = Infinity;
    beginWindow(report.running, nowMs);
  }

  /** A lone broken connection: the same instance runs on. */
  function isStillUp(report: LoadReport, nowMs: number): boolean {
    return probe.isProbing() && report.running > 0 &&
      nowMs - report.ageMs > probe.failedMs();
  }

  return {
    current(nowMs) {
      if (probe.isProbing()) return probe.isOpen(nowMs) ? 1 : 0;
      const bounded = Math.floor(Math.min(limit, bounds.maxConcurrent));
      const left = bounded - foreign.calls();
      return Math.max(isCold() ? 0 : 1, left);
    },
    firstTokenMs: trend.recentMs,
    onFinished(call, nowMs) {
      if (outstanding) foreign.note(outstanding(), nowMs);
      const startedMs = nowMs - call.totalMs;
      if (FAILURES.has(call.outcome)) onFailure(startedMs, nowMs);
      else if (call.outcome === CallOutcome.Refused) {
        if (startedMs >= windowStartMs) decrease(limit / 2, nowMs);
      } else if (call.outcome === CallOutcome.Complete) {
        onAnswer(call, startedMs, nowMs);
      }
    },
    onReport(report, nowMs) {
      if (outstanding) {
        foreign.note(outstanding(), nowMs);
        foreign.onReport(report, nowMs);
      }
      const { running, waiting, ageMs } = report;
      if (instance === undefined) startFrom(report, nowMs);
      else if (instance !== report.instance) {
        cool(nowMs);
        beforeFailure = { limit, warmAnswers };
      } else if (isStillUp(report, nowMs)) {
        probe.clear();
        warmAnswers = beforeFailure.warmAnswers;
        decrease(beforeFailure.limit / 2, nowMs);
      }
      instance = report.instance;
      const takenMs = nowMs - ageMs;
      if (ageMs > REPORT_STALE_MS || takenMs < windowStartMs) return;
      if (waiting > 0 && running < limit) decrease(running, nowMs);
    },
    setBounds(next) {
      bounds = next;
      limit = Math.min(limit, bounds.maxConcurrent);
    },
  };
}

const FAILURES = new Set([CallOutcome.ConnectFailed, CallOutcome.Crashed]);
