import { CallOutcome } from "@rosemarytiller/shared";
import {
  createExternalLoad,
  type LoadReport,
  REPORT_STALE_MS,
} from "./create_external_load.ts";
import {
  createFirstTokenTrend,
  FirstTokenPace,
} from "./create_first_token_trend.ts";
import { createProbe } from "./create_probe.ts";

/** Complete answers that end a warm-up if the document sets no number. */
export const WARM_UP_CALLS = 8;
/** Factor on the limit after a window with too many slow calls. */
export const DECREASE_FACTOR = 0.8;
/** Largest share of slow calls in a window without a decrease. */
export const MAX_SLOW_SHARE = 0.1;
/** Largest factor by which crashes in slow start lengthen the next warm-up. */
const MAX_WARM_UP_FACTOR = 64;

/** A finished call, as reported to a limit. */
export interface FinishedCall {
  outcome: CallOutcome;
  /** Time to the first token; -1 if none came. */
  firstTokenMs: number;
  totalMs: number;
  /** First-token target of the call's class, in milliseconds. */
  targetMs?: number;
}

/** Adaptive limit on the concurrent calls of an upstream. */
export interface UpstreamLimit {
  /** Calls that this leader may have in flight now. */
  current(nowMs: number): number;
  /** Recent first-token time in milliseconds; 0 before the first answer. */
  firstTokenMs(): number;
  /** Records a call that ended, while it still counts as in flight. */
  onFinished(call: FinishedCall, nowMs: number): void;
  onReport(report: LoadReport, nowMs: number): void;
  /** Sets the bounds of a new revision of the document. */
  setBounds(bounds: LimitBounds): void;
}

/** Bounds of a limit, from the document. */
export interface LimitBounds {
  /** Concurrent calls during a warm-up, and least limit after it. */
  coldConcurrent: number;
  maxConcurrent: number;
  /** Complete answers that end a warm-up. */
  warmAfterCalls?: number;
}

/** Options of `createUpstreamLimit` besides the bounds. */
export interface UpstreamLimitOptions {
  /**
   * Calls of this leader in flight at the upstream. Without it, load from
   * other processes isn't estimated.
   */
  outstanding?: () => number;
}

/**
 * Creates the limit of an upstream that starts with a warm-up. After that the
 * limit doubles with each window of calls until the first decrease or the
 * maximum (slow start), and then grows by one. Slow calls, refusals and
 * queueing at the upstream lower it. A crash, a failed connection, a cold start
 * or a new instance begins another warm-up.
 */
export function createUpstreamLimit(
  initial: LimitBounds,
  options: UpstreamLimitOptions = {},
): UpstreamLimit {
  const { outstanding } = options;
  const trend = createFirstTokenTrend();
  const externalLoad = createExternalLoad();
  const probe = createProbe();
  let bounds = initial;
  let limit = bounds.coldConcurrent;
  /** Complete answers since the warm-up began. */
  let warmUpAnswers = 0;
  /** Factor on the length of the warm-up. */
  let warmUpFactor = 1;
  /** Whether the limit still doubles. */
  let isSlowStart = true;
  let instance: string | undefined;
  /** Calls that started before the window say nothing about its limit. */
  let windowStartMs = -Infinity;
  let completed = 0;
  let slow = 0;
  /**
   * State before the last failure, or at the start of a newer instance. If only
   * a connection broke, the warm-up is restored and the limit becomes half of
   * this one.
   */
  let beforeFailure = { limit, warmUpAnswers };

  function isWarmingUp(): boolean {
    const calls = bounds.warmAfterCalls ?? WARM_UP_CALLS;
    return warmUpAnswers < calls * warmUpFactor;
  }

  function beginWindow(next: number, nowMs: number): void {
    const { coldConcurrent, maxConcurrent } = bounds;
    const most = isWarmingUp() ? coldConcurrent : maxConcurrent;
    limit = Math.min(most, Math.max(coldConcurrent, next));
    windowStartMs = nowMs;
    completed = 0;
    slow = 0;
  }

  function restartWarmUp(nowMs: number): void {
    warmUpAnswers = 0;
    isSlowStart = true;
    beginWindow(bounds.coldConcurrent, nowMs);
  }

  function decrease(next: number, nowMs: number): void {
    if (isWarmingUp()) return;
    isSlowStart = false;
    beginWindow(next, nowMs);
  }

  function increase(nowMs: number): void {
    beginWindow(isSlowStart ? limit * 2 : limit + 1, nowMs);
    if (limit < bounds.maxConcurrent) return;
    isSlowStart = false;
    warmUpFactor = Math.max(1, warmUpFactor / 2);
  }

  function onFailure(startedMs: number, nowMs: number): void {
    const isGrowing = isSlowStart && !isWarmingUp();
    if (!probe.onFailure(startedMs, nowMs)) return;
    if (isGrowing) {
      warmUpFactor = Math.min(MAX_WARM_UP_FACTOR, warmUpFactor * 2);
    }
    beforeFailure = { limit, warmUpAnswers };
    restartWarmUp(nowMs);
  }

  function onAnswer(
    call: FinishedCall,
    startedMs: number,
    nowMs: number,
  ): void {
    probe.onSuccess(startedMs);
    const { firstTokenMs, targetMs = 0 } = call;
    const pace = trend.add(firstTokenMs, targetMs);
    if (pace === FirstTokenPace.ColdStart) {
      restartWarmUp(nowMs);
      return;
    }
    if (startedMs < windowStartMs || pace === FirstTokenPace.Jumped) return;
    if (isWarmingUp()) {
      warmUpAnswers++;
      if (!isWarmingUp()) increase(nowMs);
      return;
    }
    completed++;
    if (pace === FirstTokenPace.Slow) slow++;
    if (completed < limit) return;
    if (slow > completed * MAX_SLOW_SHARE) {
      decrease(limit * DECREASE_FACTOR, nowMs);
    } else increase(nowMs);
  }

  /**
   * Takes the running calls in the first report of an upstream as its limit,
   * if others already keep it busier than a warm-up would.
   */
  function startFrom(report: LoadReport, nowMs: number): void {
    const isFresh = report.ageMs < REPORT_STALE_MS;
    if (!isFresh || probe.isProbing() || report.running <= limit) return;
    warmUpAnswers = Infinity;
    beginWindow(report.running, nowMs);
  }

  /** Whether the same instance runs on after a single broken connection. */
  function isStillUp(report: LoadReport, nowMs: number): boolean {
    return probe.isProbing() && report.running > 0 &&
      nowMs - report.ageMs > probe.lastFailureMs();
  }

  return {
    current(nowMs) {
      if (probe.isProbing()) return probe.isCallAllowed(nowMs) ? 1 : 0;
      const bounded = Math.floor(Math.min(limit, bounds.maxConcurrent));
      const left = bounded - externalLoad.calls();
      return Math.max(isWarmingUp() ? 0 : 1, left);
    },
    firstTokenMs: trend.recentMs,
    onFinished(call, nowMs) {
      if (outstanding) externalLoad.recordOutstanding(outstanding(), nowMs);
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
        externalLoad.recordOutstanding(outstanding(), nowMs);
        externalLoad.onReport(report, nowMs);
      }
      const { running, waiting, ageMs } = report;
      if (instance === undefined) startFrom(report, nowMs);
      else if (instance !== report.instance) {
        restartWarmUp(nowMs);
        beforeFailure = { limit, warmUpAnswers };
      } else if (isStillUp(report, nowMs)) {
        probe.clear();
        warmUpAnswers = beforeFailure.warmUpAnswers;
        decrease(beforeFailure.limit / 2, nowMs);
      }
      instance = report.instance;
      const measuredMs = nowMs - ageMs;
      if (ageMs > REPORT_STALE_MS || measuredMs < windowStartMs) return;
      if (waiting > 0 && running < limit) decrease(running, nowMs);
    },
    setBounds(next) {
      bounds = next;
      limit = Math.min(limit, bounds.maxConcurrent);
    },
  };
}

const FAILURES = new Set([CallOutcome.ConnectFailed, CallOutcome.Crashed]);
