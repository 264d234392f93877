import { createDrainRate, type RunningCalls } from "./create_drain_rate.ts";
import type { RequestQueue } from "./create_request_queue.ts";
import { createRetryBudget } from "./create_retry_budget.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** Largest number of queued requests of a pool, beyond the reserved places. */
export const MAX_QUEUED = 10_000;
/** Shortest time after which a refused caller should retry. */
export const MIN_RETRY_AFTER_MS = 500;
/** Longest time after which a refused caller should retry. */
export const MAX_RETRY_AFTER_MS = 30_000;
/** Largest relative jitter of a retry time, to either side. */
export const RETRY_AFTER_JITTER = 0.25;
/** Weight of the newest call in a class's average first-token time. */
const FIRST_TOKEN_WEIGHT = 0.1;
/** Least share of the queue time that slow first tokens leave for waiting. */
const MIN_USEFUL_WAIT_SHARE = 0.5;

/** Decides which requests may queue. */
export interface Admission {
  /**
   * Records an arriving request. Returns the reason if it is refused, else
   * `undefined`. `hasFreeCapacity` says whether a call could start at once.
   */
  refuseOnArrival(
    request: QueuedRequest,
    options: { isRetry: boolean; hasFreeCapacity: boolean; nowMs: number },
  ): string | undefined;
  /** Records a grant, before the request has left the queue. */
  onGranted(nowMs: number): void;
  /** Records a change of the queue, and whether calls may start at all. */
  onQueueChanged(nowMs: number, options: { canGrant: boolean }): void;
  /** Records the duration of a call that was answered completely. */
  onCallEnded(totalMs: number): void;
  /** Records a call's first-token time; a negative one is ignored. */
  onFirstToken(className: string, firstTokenMs: number): void;
  /** Longest wait, in milliseconds, after which an answer can be on time. */
  usefulWaitMs(
    className: string,
    options: { queueMs: number; targetMs: number },
  ): number;
  /** Expected wait of a new request, in milliseconds. */
  waitMs(request: WaitQuery, nowMs: number): number;
  /** Time after which a refused caller should retry, in ms, with jitter. */
  retryAfterMs(request: WaitQuery, nowMs: number): number;
}

/** A request whose wait is predicted; without a class, by its tier alone. */
export interface WaitQuery {
  tier: number;
  className?: string;
  floorShare?: number;
}

/** Options of `createAdmission`. */
export interface AdmissionOptions {
  queue: RequestQueue;
  running: RunningCalls;
  /** Source of random numbers from 0 to 1 for the jitter. */
  random?: () => number;
}

/**
 * Creates the admission to a pool's queue. It refuses retries beyond a budget,
 * and requests that can't start at once and whose expected wait ends after
 * their deadline.
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const { queue, running, random = Math.random } = options;
  const drainRate = createDrainRate();
  const retryBudget = createRetryBudget();
  const firstTokenMsByClass = new Map<string, number>();

  function waitMs(query: WaitQuery, nowMs: number): number {
    const { tier, className, floorShare = 0 } = query;
    const ahead = queue.sizeThrough(tier);
    const aheadInClass = className === undefined
      ? ahead
      : queue.sizeOfClass(className);
    return drainRate.predictMs({
      tier,
      ahead,
      aheadInClass,
      floorShare,
      endRate: (callMs) => running.endRate(callMs, nowMs),
    }, nowMs);
  }

  return {
    refuseOnArrival(request, { isRetry, hasFreeCapacity, nowMs }) {
      if (isRetry && !retryBudget.spend()) {
        return "too many requests are being retried; retry later";
      }
      if (!isRetry) retryBudget.onFirstAttempt();
      if (
        !hasFreeCapacity && waitMs(request, nowMs) > request.deadlineMs - nowMs
      ) {
        return "the expected wait is longer than the class allows; retry later";
      }
      drainRate.onArrived(request.tier, nowMs);
      return undefined;
    },
    onGranted: (nowMs) => drainRate.onGranted(nowMs),
    onCallEnded: drainRate.onCallEnded,
    onQueueChanged(nowMs, { canGrant }) {
      // While a leader has no share, its queue doesn't show how fast calls end.
      drainRate.setQueueing(canGrant && queue.size() > 0, nowMs);
    },
    onFirstToken(className, firstTokenMs) {
      if (firstTokenMs < 0) return;
      const averageMs = firstTokenMsByClass.get(className) ?? firstTokenMs;
      const change = (firstTokenMs - averageMs) * FIRST_TOKEN_WEIGHT;
      firstTokenMsByClass.set(className, averageMs + change);
    },
    usefulWaitMs(className, { queueMs, targetMs }) {
      const excess = (firstTokenMsByClass.get(className) ?? 0) - targetMs;
      const useful = queueMs - Math.max(0, excess);
      return Math.max(queueMs * MIN_USEFUL_WAIT_SHARE, useful);
    },
    waitMs,
    retryAfterMs(query, nowMs) {
      const expected = waitMs(query, nowMs);
      const bounded = Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(MIN_RETRY_AFTER_MS, expected),
      );
      const spread = 1 + RETRY_AFTER_JITTER * (2 * random() - 1);
      return Math.round(bounded * spread);
    },
  };
}
