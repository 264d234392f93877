import type {
  EngineModel,
  EngineSize,
  EngineSpeed,
} from "./create_engine_model.ts";
import type { PromptPart } from "./create_engine_model.ts";

/** A call that is to be placed on an engine. */
export interface EngineAsk {
  /** Tier, 0 the most urgent. */
  tier: number;
  parts: readonly PromptPart[];
  promptTokens: number;
  outputTokens: number;
  /** Time to the first event that earns full credit, in milliseconds. */
  targetMs: number;
  /** Time since the caller sent the request, in milliseconds. */
  waitedMs: number;
}

/** An engine that may be chosen. */
export interface EngineCandidate {
  model: EngineModel;
  size: EngineSize;
  /** Whether it stands in another data centre. */
  isRemote: boolean;
  /** Share of recent calls that failed there, 0 to 1. */
  failureShare: number;
}

/** The engine chosen, with what was predicted. */
export interface EngineChoice<T> {
  candidate: T;
  newTokens: number;
  /** Predicted time from now to the first event, in milliseconds. */
  predictedMs: number;
}

/** Cost of another data centre, in milliseconds of delay. */
const REMOTE_COST_MS = 4;
/** Cost of a failure that is certain, in milliseconds of delay. */
const FAILURE_COST_MS = 1500;
/** Share of its prompt time by which a call harms each stream beside it. */
const HARM_SHARE = 0.25;
/** Time that each call in the batch adds to a first event, in milliseconds. */
const BATCH_COST_MS = 0.6;
/** Share of an engine's memory beyond which calls would be preempted. */
const MEMORY_SHARE = 0.9;
/** Cost of a call that is likely to be preempted, in milliseconds. */
const MEMORY_COST_MS = 2000;

/** Waiting prompt time beyond which a tier is held back, by tier, in ms. */
const WAITING_BOUND_MS = [Infinity, 150, 60];

/** Bound of a tier on the prompt time that waits at an engine, in ms. */
export function waitingBoundMs(tier: number): number {
  return WAITING_BOUND_MS[Math.min(tier, WAITING_BOUND_MS.length - 1)]!;
}

/**
 * Chooses the engine of least cost: predicted time to the first event, harm
 * to the streams beside it, distance and recent failures. Cached parts of the
 * prompt cost nothing. Returns nothing while each engine is full or has more
 * prompts waiting than the tier may add to.
 */
export function chooseEngine<T extends EngineCandidate>(
  ask: EngineAsk,
  candidates: readonly T[],
  options: { speed: EngineSpeed; nowMs: number },
): EngineChoice<T> | undefined {
  const { speed, nowMs } = options;
  let best: EngineChoice<T> | undefined;
  let bestCost = Infinity;
  const boundMs = waitingBoundMs(ask.tier);
  for (const candidate of candidates) {
    const { model, size } = candidate;
    if (model.callCount() >= size.slots) continue;
    const waitingMs = model.waitingTokens(Infinity, nowMs) / speed.tokensPerMs;
    if (waitingMs > boundMs) continue;
    const newTokens = ask.promptTokens - model.cachedTokens(ask.parts);
    const readMs = newTokens / speed.tokensPerMs;
    const aheadMs = model.waitingTokens(ask.tier, nowMs) / speed.tokensPerMs;
    const predictedMs = speed.baseMs + aheadMs + readMs +
      model.callCount() * BATCH_COST_MS;
    const memory = model.memoryTokens() + ask.promptTokens + ask.outputTokens;
    let cost = predictedMs + waitingMs * 0.5;
    cost += readMs * HARM_SHARE * model.streamWeight(ask.tier);
    cost += candidate.failureShare * FAILURE_COST_MS;
    if (candidate.isRemote) cost += REMOTE_COST_MS;
    if (memory > size.memoryTokens * MEMORY_SHARE) cost += MEMORY_COST_MS;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { candidate, newTokens, predictedMs };
  }
  return best;
}
