import type {
  EngineModel,
  EngineSize,
  EngineSpeed,
} from "./create_engine_model.ts";
import type { PromptPart } from "./create_engine_model.ts";

/** How tight a call's latency target is among those of its service. */
export enum CallRank {
  Tight = 0,
  Middle = 1,
  Loose = 2,
}

/** Targets up to this multiple of the tightest one are tight. */
const TIGHT_RATIO = 1.25;
/** Targets up to this multiple of the tightest one are in the middle. */
const MIDDLE_RATIO = 2;

/** Ranks a target against the tightest one of its service, both in ms. */
export function rankTarget(targetMs: number, tightestMs: number): CallRank {
  const ratio = targetMs / tightestMs;
  if (ratio <= TIGHT_RATIO) return CallRank.Tight;
  return ratio <= MIDDLE_RATIO ? CallRank.Middle : CallRank.Loose;
}

/** Number of ranks, each with an urgency of its own within a tier. */
const RANK_COUNT = 3;

/** Urgency of a call, by tier and then by rank; 0 is the most urgent. */
export function urgencyOf(tier: number, rank: CallRank): number {
  return tier * RANK_COUNT + rank;
}

/** A call for which an engine is to be chosen. */
export interface EngineRequest {
  /** Order among calls, 0 the most urgent. */
  urgency: number;
  rank: CallRank;
  parts: readonly PromptPart[];
  promptTokens: number;
  /** Expected output tokens. */
  outputTokens: number;
  /** Longest on-time pause between two events, in milliseconds. */
  maxPauseMs: number;
}

/** An engine that may be chosen. */
export interface EngineCandidate {
  model: EngineModel;
  size: EngineSize;
  /** Cost of its distance, in milliseconds of delay. */
  remoteCostMs: number;
  /** Share of recent calls that failed there, 0 to 1. */
  failureShare: number;
  /**
   * Tokens of the leading parts that another engine presumably caches and this
   * one can fetch; 0 if there is none.
   */
  fetchableTokens: number;
}

/** The engine chosen for a call, with the predictions for it. */
export interface EngineChoice<T> {
  candidate: T;
  /** Uncached prompt tokens, which the engine has to prefill. */
  uncachedTokens: number;
  /** Leading tokens of the prompt to fetch from another engine, 0 for none. */
  fetchedTokens: number;
  /** Time of the fetch, in milliseconds. */
  fetchMs: number;
  /** Predicted time from now to the first event, in milliseconds. */
  predictedMs: number;
  /** Cost by which it was chosen, in milliseconds of delay. */
  costMs: number;
  /**
   * Whether the call should queue outside the engine, because too much prefill
   * is queued there for its rank or the memory is nearly full; never set for a
   * tight call.
   */
  shouldQueue: boolean;
}

/** Cost of a failure that is certain, in milliseconds of delay. */
const FAILURE_COST_MS = 1500;
/** Cost of interference with each stream, as a share of the prefill time. */
const INTERFERENCE_SHARE = 0.25;
/** Cost of each millisecond of prefill queued there, also if less urgent. */
const QUEUED_PREFILL_COST_SHARE = 0.5;
/** Cost of each millisecond of the call's own prefill, besides the delay. */
const PREFILL_COST_SHARE = 1.2;
/** Time of an output token on an engine that isn't prefilling, in ms. */
const DECODE_TOKEN_MS = 7;
/** Cost of each millisecond by which other calls' prefill delays the output. */
const DECODE_DELAY_COST_SHARE = 0.08;
/** Upper bound of the prefill utilization that the cost is based on. */
const MAX_PREFILL_UTILIZATION = 0.85;
/** Cost of a stream that is certain to pause for too long, in ms of delay. */
const LATE_PAUSE_COST_MS = 1000;
/**
 * Range of the usual pause under prefill, in shares of the longest on-time one,
 * from harmless to certainly too long.
 */
const PAUSE_SHARE_RANGE = [0.6, 1.1] as const;
/** Range of a prefill's time, in ms, from harmless to fully harmful. */
const HARMFUL_PREFILL_RANGE_MS = [50, 200] as const;
/** Cost of each millisecond of a fetch, besides the delay. */
const FETCH_COST_SHARE = 1;
/** Least share of the prefill time that a fetch has to save. */
const MIN_FETCH_SAVING_SHARE = 0.5;
/** Delay of a first event by each call in the batch, in milliseconds. */
const BATCH_COST_MS = 0.6;
/** Share of an engine's memory beyond which calls would be preempted. */
const PREEMPTION_MEMORY_SHARE = 0.9;
/** Cost of a call that is likely to be preempted, in milliseconds. */
const PREEMPTION_COST_MS = 2000;

/** Queued prefill beyond which calls that aren't loose are likely late, in ms. */
const LATE_PREFILL_MS = 300;

/** Longest queued prefill, in ms, at which a call of a rank may be sent. */
const MAX_QUEUED_PREFILL_MS: Record<CallRank, number> = {
  [CallRank.Tight]: Infinity,
  [CallRank.Middle]: 150,
  [CallRank.Loose]: 80,
};

/**
 * Chooses the engine of least cost: predicted time to the first event, queued
 * prefill, own prefill, interference with concurrent streams, recent failures,
 * delay of the output by other calls' prefill, distance and likely preemption.
 * Cached parts of the prompt cost nothing; those that another engine caches are
 * fetched from there where that saves time. Returns `undefined` while each
 * engine is full. An engine is an upstream that runs a model and whose
 * state an `EngineModel` estimates.
 */
export function chooseEngine<T extends EngineCandidate>(
  request: EngineRequest,
  candidates: readonly T[],
  options: { speed: EngineSpeed; fetchMsPerToken: number; nowMs: number },
): EngineChoice<T> | undefined {
  const { speed, fetchMsPerToken, nowMs } = options;
  let best: EngineChoice<T> | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const { model, size } = candidate;
    if (model.callCount() >= size.slots) continue;
    const tokensPerMs = model.tokensPerMs(nowMs);
    const queuedMs = model.queuedPrefillTokens(Infinity, nowMs) / tokensPerMs;
    const cachedTokens = model.cachedTokens(request.parts);
    const fetch = planFetch(candidate.fetchableTokens - cachedTokens, {
      fetchMsPerToken,
      tokensPerMs,
    });
    const uncachedTokens = request.promptTokens - cachedTokens - fetch.tokens;
    const prefillMs = uncachedTokens / tokensPerMs;
    const aheadMs = model.queuedPrefillTokens(request.urgency, nowMs) /
      tokensPerMs;
    const predictedMs = speed.baseMs + aheadMs + fetch.ms + prefillMs +
      model.callCount() * BATCH_COST_MS;
    const memory = model.memoryTokens() + request.promptTokens +
      request.outputTokens;
    let cost = predictedMs + queuedMs * QUEUED_PREFILL_COST_SHARE;
    cost += prefillMs * PREFILL_COST_SHARE + fetch.ms * FETCH_COST_SHARE;
    cost += prefillMs * INTERFERENCE_SHARE *
      model.interferenceWeight(request.urgency);
    cost += pauseCostMs(request, model, { prefillMs, queuedMs, speed, nowMs });
    cost += candidate.failureShare * FAILURE_COST_MS;
    const utilization = Math.min(
      model.prefillUtilization(nowMs),
      MAX_PREFILL_UTILIZATION,
    );
    const decodeMs = request.outputTokens * DECODE_TOKEN_MS;
    cost += decodeMs * utilization / (1 - utilization) *
      DECODE_DELAY_COST_SHARE;
    cost += candidate.remoteCostMs;
    const isMemoryFull = memory > size.memoryTokens * PREEMPTION_MEMORY_SHARE;
    if (isMemoryFull) cost += PREEMPTION_COST_MS;
    if (cost >= bestCost) continue;
    bestCost = cost;
    const shouldQueue = queuedMs > MAX_QUEUED_PREFILL_MS[request.rank] ||
      (isMemoryFull && request.rank !== CallRank.Tight);
    best = {
      candidate,
      uncachedTokens,
      fetchedTokens: fetch.tokens,
      fetchMs: fetch.ms,
      predictedMs,
      costMs: cost,
      shouldQueue,
    };
  }
  return best;
}

/**
 * Whether an engine has no room for calls of a rank: loose ones get no more for
 * now, and the others are likely to be late.
 */
export function isEngineBusy(
  model: EngineModel,
  options: { isLoose: boolean; nowMs: number },
): boolean {
  const { isLoose, nowMs } = options;
  const queuedMs = model.queuedPrefillTokens(Infinity, nowMs) /
    model.tokensPerMs(nowMs);
  return queuedMs >
    (isLoose ? MAX_QUEUED_PREFILL_MS[CallRank.Loose] : LATE_PREFILL_MS);
}

/**
 * Cost of pauses that become too long: those of the engine's streams through the
 * call's prefill, unless prompts that are queued there prolong them anyway, and
 * those of the call through the engine's other prefill.
 */
function pauseCostMs(
  request: EngineRequest,
  model: EngineModel,
  options: {
    prefillMs: number;
    queuedMs: number;
    speed: EngineSpeed;
    nowMs: number;
  },
): number {
  const { prefillMs, queuedMs, speed, nowMs } = options;
  const harmOf = (maxPauseMs: number) =>
    shareOf(speed.pauseMs / maxPauseMs, PAUSE_SHARE_RANGE);
  const added = shareOf(prefillMs, HARMFUL_PREFILL_RANGE_MS) *
    (1 - shareOf(queuedMs, HARMFUL_PREFILL_RANGE_MS));
  const others = added > 0 ? added * model.sumPauses(harmOf) : 0;
  const own = harmOf(request.maxPauseMs) * model.prefillUtilization(nowMs);
  return (others + own) * LATE_PAUSE_COST_MS;
}

/** Position of a value in a range, 0 to 1. */
function shareOf(value: number, [low, high]: readonly [number, number]) {
  return Math.min(1, Math.max(0, (value - low) / (high - low)));
}

/** Fetches tokens that would take much longer to prefill, all or none. */
function planFetch(
  tokens: number,
  options: { fetchMsPerToken: number; tokensPerMs: number },
): { tokens: number; ms: number } {
  const { fetchMsPerToken, tokensPerMs } = options;
  const fetchMs = tokens * fetchMsPerToken;
  const savedMs = tokens / tokensPerMs;
  const isWorthwhile = tokens > 0 &&
    fetchMs <= savedMs * (1 - MIN_FETCH_SAVING_SHARE);
  return isWorthwhile ? { tokens, ms: fetchMs } : { tokens: 0, ms: 0 };
}
