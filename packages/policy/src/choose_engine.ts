import type {
  EngineModel,
  EngineSize,
  EngineSpeed,
} from "./create_engine_model.ts";
import type { PromptPart } from "./create_engine_model.ts";

/** How tight a call's target is beside the others of its service. */
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

/** Urgencies between two tiers, one for each rank. */
const RANKS = 3;

/** Orders calls by tier, then by rank; 0 is the most urgent. */
export function urgencyOf(tier: number, rank: CallRank): number {
  return tier * RANKS + rank;
}

/** A call that is to be placed on an engine. */
export interface EngineAsk {
  /** Order among calls, 0 the most urgent. */
  urgency: number;
  rank: CallRank;
  parts: readonly PromptPart[];
  promptTokens: number;
  outputTokens: number;
}

/** An engine that may be chosen. */
export interface EngineCandidate {
  model: EngineModel;
  size: EngineSize;
  /** Cost of its distance, in milliseconds of delay. */
  remoteCostMs: number;
  /** Share of recent calls that failed there, 0 to 1. */
  failureShare: number;
}

/** The engine chosen, with what was predicted. */
export interface EngineChoice<T> {
  candidate: T;
  newTokens: number;
  /** Predicted time from now to the first event, in milliseconds. */
  predictedMs: number;
  /** So much waits there that the call had better wait outside. */
  mustWait: boolean;
}

/** Cost of a failure that is certain, in milliseconds of delay. */
const FAILURE_COST_MS = 1500;
/** Share of its prompt time by which a call harms each stream beside it. */
const HARM_SHARE = 0.25;
/** Cost of each millisecond of less urgent prompts that wait there. */
const WAITING_COST_SHARE = 0.5;
/** Cost of the engine's time that goes into a prompt, beside the delay. */
const READ_COST_SHARE = 1.2;
/** Time of an output token on an engine that reads no prompts, in ms. */
const TOKEN_MS = 7;
/** Cost of each millisecond by which prompts of others delay the output. */
const WRITE_COST_SHARE = 0.08;
/** Largest share of reading that is reckoned with. */
const MAX_READING_SHARE = 0.85;
/** Time that each call in the batch adds to a first event, in milliseconds. */
const BATCH_COST_MS = 0.6;
/** Share of an engine's memory beyond which calls would be preempted. */
const MEMORY_SHARE = 0.9;
/** Cost of a call that is likely to be preempted, in milliseconds. */
const MEMORY_COST_MS = 2000;

/** Prompt time that may wait at an engine before a call of a rank, in ms. */
const WAITING_BOUND_MS: Record<CallRank, number> = {
  [CallRank.Tight]: Infinity,
  [CallRank.Middle]: 150,
  [CallRank.Loose]: 80,
};

/**
 * Chooses the engine of least cost: predicted time to the first event, harm
 * to the streams beside it, distance and recent failures. Cached parts of the
 * prompt cost nothing. Returns nothing while each engine is full.
 */
export function chooseEngine<T extends EngineCandidate>(
  ask: EngineAsk,
  candidates: readonly T[],
  options: { speed: EngineSpeed; nowMs: number },
): EngineChoice<T> | undefined {
  const { speed, nowMs } = options;
  let best: EngineChoice<T> | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const { model, size } = candidate;
    if (model.callCount() >= size.slots) continue;
    const waitingMs = model.waitingTokens(Infinity, nowMs) / speed.tokensPerMs;
    const newTokens = ask.promptTokens - model.cachedTokens(ask.parts);
    const readMs = newTokens / speed.tokensPerMs;
    const aheadMs = model.waitingTokens(ask.urgency, nowMs) / speed.tokensPerMs;
    const predictedMs = speed.baseMs + aheadMs + readMs +
      model.callCount() * BATCH_COST_MS;
    const memory = model.memoryTokens() + ask.promptTokens + ask.outputTokens;
    let cost = predictedMs + waitingMs * WAITING_COST_SHARE;
    cost += readMs * READ_COST_SHARE;
    cost += readMs * HARM_SHARE * model.streamWeight(ask.urgency);
    cost += candidate.failureShare * FAILURE_COST_MS;
    const share = Math.min(model.readingShare(nowMs), MAX_READING_SHARE);
    const writeMs = ask.outputTokens * TOKEN_MS;
    cost += writeMs * share / (1 - share) * WRITE_COST_SHARE;
    cost += candidate.remoteCostMs;
    const isFull = memory > size.memoryTokens * MEMORY_SHARE;
    if (isFull) cost += MEMORY_COST_MS;
    if (cost >= bestCost) continue;
    bestCost = cost;
    const mustWait = waitingMs > WAITING_BOUND_MS[ask.rank] ||
      (isFull && ask.rank !== CallRank.Tight);
    best = { candidate, newTokens, predictedMs, mustWait };
  }
  return best;
}
