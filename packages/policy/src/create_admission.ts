import { createDrainRate } from "./create_drain_rate.ts";
import type { RequestQueue } from "./create_request_queue.ts";
import { createRetryBudget } from "./create_retry_budget.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** Waiting requests of a pool, reserved places aside. */
export const MAX_WAITING = 10_000;
/** Bounds of the time after which a refused caller should come back. */
export const MIN_RETRY_AFTER_MS = 500;
export const MAX_RETRY_AFTER_MS = 30_000;
/** How far a return time is spread to both sides. */
export const RETRY_AFTER_JITTER = 0.25;
/** Weight of the newest call in a class's typical first-token time. */
const FIRST_TOKEN_WEIGHT = 0.1;
/** Part of the queue time that a slow first token leaves at least. */
const MIN_WAIT_SHARE = 0.5;

/** Decides which requests may wait. */
export interface Admission {
  /** Notes a request that came; returns why it is refused, if it is. */
  refuseOnArrival(
    request: QueuedRequest,
    options: { retry: boolean; hasRoom: boolean; nowMs: number },
  ): string | undefined;
  /** Notes a grant, before the request has left the queue. */
  onGranted(nowMs: number): void;
  /** Notes that requests came or left, and whether calls may start at all. */
  onQueueChanged(nowMs: number, options: { canGrant: boolean }): void;
  /** Notes the length of a call that ended whole. */
  onCallEnded(totalMs: number): void;
  /** Notes the first-token time of a call that ended. */
  onFirstToken(className: string, firstTokenMs: number): void;
  /** Longest wait after which the answer can still be in time. */
  usefulWaitMs(
    className: string,
    options: { queueMs: number; targetMs: number },
  ): number;
  /** Expected wait of a new request. */
  waitMs(request: WaitQuestion, nowMs: number): number;
  /** When a refused caller should come back. */
  retryAfterMs(request: WaitQuestion, nowMs: number): number;
}

/** A request whose wait is asked for; without a class, by tier alone. */
export interface WaitQuestion {
  tier: number;
  className?: string;
  floorShare?: number;
}

/** What an admission needs. */
export interface AdmissionOptions {
  queue: RequestQueue;
  /** Calls of the pool in progress. */
  outstanding: () => number;
  /** Numbers from 0 to 1 for the jitter. */
  random?: () => number;
}

/** Creates the admission to a queue. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { queue, outstanding, random = Math.random } = options;
  const drain = createDrainRate();
  const budget = createRetryBudget();
  const firstTokens = new Map<string, number>();

  function waitMs(question: WaitQuestion, nowMs: number): number {
    const { tier, className, floorShare = 0 } = question;
    const ahead = queue.sizeThrough(tier);
    const aheadInClass = className === undefined
      ? ahead
      : queue.sizeOfClass(className);
    return drain.predictMs({
      tier,
      ahead,
      aheadInClass,
      floorShare,
      outstanding: outstanding(),
    }, nowMs);
  }

  return {
    refuseOnArrival(request, { retry, hasRoom, nowMs }) {
      if (retry && !budget.spend()) return "the retry budget is spent";
      if (!retry) budget.onFirstTry();
      if (!hasRoom && waitMs(request, nowMs) > request.deadlineMs - nowMs) {
        return "the expected wait is too long";
      }
      drain.onArrived(request.tier, nowMs);
      return undefined;
    },
    onGranted: (nowMs) => drain.onGranted(nowMs),
    onCallEnded: drain.onCallEnded,
    onQueueChanged(nowMs, { canGrant }) {
      // A leader that has no share yet says nothing of how fast calls end.
      drain.setWaiting(canGrant && queue.size() > 0, nowMs);
    },
    onFirstToken(className, firstTokenMs) {
      if (firstTokenMs < 0) return;
      const known = firstTokens.get(className) ?? firstTokenMs;
      const change = (firstTokenMs - known) * FIRST_TOKEN_WEIGHT;
      firstTokens.set(className, known + change);
    },
    usefulWaitMs(className, { queueMs, targetMs }) {
      const excess = (firstTokens.get(className) ?? 0) - targetMs;
      const useful = queueMs - Math.max(0, excess);
      return Math.max(queueMs * MIN_WAIT_SHARE, useful);
    },
    waitMs,
    retryAfterMs(question, nowMs) {
      const expected = waitMs(question, nowMs);
      const bounded = Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(MIN_RETRY_AFTER_MS, expected),
      );
      const spread = 1 + RETRY_AFTER_JITTER * (2 * random() - 1);
      return Math.round(bounded * spread);
    },
  };
}
