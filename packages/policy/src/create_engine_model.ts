/** A part of a prompt. Engines cache the parts that they have prefilled. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Work of a call on an engine. */
export interface EngineWork {
  /** Order among calls, 0 the most urgent. */
  urgency: number;
  /** Uncached prompt tokens, which the engine has to prefill. */
  newTokens: number;
  /** Tokens that the call occupies in the engine's memory at its end. */
  memoryTokens: number;
  /** Longest pause between events that is still on time, in milliseconds. */
  maxPauseMs: number;
}

/** A call that is presumably in progress at the engine. */
interface TrackedCall extends EngineWork {
  /** Prompt tokens still to be prefilled. */
  remainingTokens: number;
  startedMs: number;
}

/** Capacity of an engine. */
export interface EngineSize {
  /** Number of concurrent calls. */
  slots: number;
  /** Capacity of its memory in tokens. */
  memoryTokens: number;
}

/** Estimated speed of a service's engines. */
export interface EngineSpeed {
  /** Prefill speed, in prompt tokens per millisecond. */
  tokensPerMs: number;
  /** Time to the first event of an empty prompt, in milliseconds. */
  baseMs: number;
}

/** Estimated state of one engine, derived from all calls that are known. */
export interface EngineModel {
  /** Adds a call, or replaces the one with the same key. */
  start(key: string, work: EngineWork, nowMs: number): void;
  /** Records a call's first event, which shows that its prefill is done. */
  onFirstEvent(key: string, nowMs: number): void;
  end(key: string, nowMs: number): void;
  /** Removes the calls whose keys begin with `owner` and aren't in `keys`. */
  reconcile(owner: string, keys: ReadonlySet<string>): void;
  /** Prompt tokens still to be prefilled for calls as urgent or more. */
  queuedPrefillTokens(urgency: number, nowMs: number): number;
  /** Calls that run or are queued at the engine. */
  callCount(): number;
  /** Tokens of memory that calls occupy or will occupy. */
  memoryTokens(): number;
  /** Streams that a long prefill of this urgency would delay, weighted. */
  interferenceWeight(urgency: number): number;
  /** Share of recent time in which the engine did prefill, 0 to 1. */
  prefillUtilization(nowMs: number): number;
  /** Adds parts to the cache, as the engine caches what it prefills. */
  addToCache(parts: readonly PromptPart[]): void;
  /** Tokens of the leading parts that are presumably cached. */
  cachedTokens(parts: readonly PromptPart[]): number;
}

/** Weight of a stream that isn't more urgent; more urgent ones weigh 1. */
const NOT_MORE_URGENT_WEIGHT = 0.4;
/** Allowed pause above which a prefill hardly harms a stream, in ms. */
const MAX_SENSITIVE_PAUSE_MS = 400;
/** Time constant of the average prefill utilization, in milliseconds. */
const UTILIZATION_SPAN_MS = 1500;
/** Share of an engine's memory that calls and cached parts may fill. */
const MAX_FILL_SHARE = 0.85;

/**
 * Creates the model of an idle engine. It assumes that the engine prefills one
 * prompt after the other, the more urgent first, at the estimated speed; each
 * first event that is reported corrects it.
 */
export function createEngineModel(
  size: EngineSize,
  speed: EngineSpeed,
): EngineModel {
  const calls = new Map<string, TrackedCall>();
  /** Cached parts with their tokens, the least recently used first. */
  const cache = new Map<string, number>();
  let cacheTokens = 0;
  let reservedTokens = 0;
  let advancedMs = 0;
  let utilization = 0;

  /** Applies the prefill that the engine has done up to now. */
  function advance(nowMs: number): void {
    const elapsedMs = nowMs - advancedMs;
    let budget = elapsedMs * speed.tokensPerMs;
    advancedMs = nowMs;
    if (budget <= 0) return;
    const queued = [];
    for (const call of calls.values()) {
      if (call.remainingTokens > 0) queued.push(call);
    }
    queued.sort((left, right) =>
      left.urgency - right.urgency || left.startedMs - right.startedMs
    );
    for (const call of queued) {
      const tokens = Math.min(budget, call.remainingTokens);
      call.remainingTokens -= tokens;
      budget -= tokens;
      if (budget <= 0) break;
    }
    const idleMs = budget / speed.tokensPerMs;
    const decay = Math.exp(-elapsedMs / UTILIZATION_SPAN_MS);
    utilization = utilization * decay + (1 - decay) * (1 - idleMs / elapsedMs);
  }

  function removeCall(key: string): void {
    const call = calls.get(key);
    if (!call) return;
    reservedTokens -= call.memoryTokens;
    calls.delete(key);
  }

  function evict(): void {
    const capacity = Math.max(
      0,
      size.memoryTokens * MAX_FILL_SHARE - reservedTokens,
    );
    for (const [id, tokens] of cache) {
      if (cacheTokens <= capacity) return;
      cache.delete(id);
      cacheTokens -= tokens;
    }
  }

  return {
    start(key, work, nowMs) {
      advance(nowMs);
      removeCall(key);
      reservedTokens += work.memoryTokens;
      calls.set(key, {
        ...work,
        remainingTokens: work.newTokens,
        startedMs: nowMs,
      });
    },
    onFirstEvent(key, nowMs) {
      advance(nowMs);
      const call = calls.get(key);
      if (call) call.remainingTokens = 0;
    },
    end(key, nowMs) {
      advance(nowMs);
      removeCall(key);
    },
    reconcile(owner, keys) {
      for (const key of calls.keys()) {
        if (key.startsWith(owner) && !keys.has(key)) removeCall(key);
      }
    },
    queuedPrefillTokens(urgency, nowMs) {
      advance(nowMs);
      let tokens = 0;
      for (const call of calls.values()) {
        if (call.urgency <= urgency) tokens += call.remainingTokens;
      }
      return tokens;
    },
    callCount: () => calls.size,
    memoryTokens: () => reservedTokens,
    interferenceWeight(urgency) {
      let weight = 0;
      for (const call of calls.values()) {
        if (call.maxPauseMs > MAX_SENSITIVE_PAUSE_MS) continue;
        weight += call.urgency < urgency ? 1 : NOT_MORE_URGENT_WEIGHT;
      }
      return weight;
    },
    prefillUtilization(nowMs) {
      advance(nowMs);
      return utilization;
    },
    addToCache(parts) {
      for (const part of parts) {
        const cached = cache.get(part.id);
        if (cached !== undefined) cacheTokens -= cached;
        cache.delete(part.id);
        cache.set(part.id, part.tokens);
        cacheTokens += part.tokens;
      }
      evict();
    },
    cachedTokens(parts) {
      let tokens = 0;
      for (const part of parts) {
        if (!cache.has(part.id)) return tokens;
        tokens += part.tokens;
      }
      return tokens;
    },
  };
}
