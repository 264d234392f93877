import { createReportedLoad, type EngineLoad } from "./create_reported_load.ts";

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
  /** Tokens that were queued before the call or have overtaken it. */
  aheadTokens: number;
  startedMs: number;
  /** Time at which its prefill is presumed to have ended; undefined before. */
  presumedDoneMs: number | undefined;
  hasFirstEvent: boolean;
}

/** Calls that a prefill delays alike. */
interface CallGroup {
  urgency: number;
  maxPauseMs: number;
  callCount: number;
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
  /**
   * Time that most pauses between two events of a stream do not exceed while the
   * engine prefills, in milliseconds.
   */
  pauseMs: number;
}

/** Estimated state of one engine, derived from all calls that are known. */
export interface EngineModel {
  /**
   * Adds a call with the parts of its prompt, or replaces the one with the same
   * key. Parts that the engine does not cache are in its cache for the calls
   * after it, and can be fetched from there once its first event has come.
   */
  start(
    key: string,
    work: EngineWork,
    options: { nowMs: number; parts: readonly PromptPart[] },
  ): void;
  /** Records a call's first event, which shows that its prefill is done. */
  onFirstEvent(key: string, nowMs: number): void;
  end(key: string, nowMs: number): void;
  /** Parts that are cached through calls that are not known here. */
  addCached(parts: readonly PromptPart[]): void;
  /** Load that a VM of the engine's data centre reports, of all calls there. */
  onReport(load: EngineLoad, nowMs: number): void;
  /** Time since the last such report in ms, infinite without one. */
  reportAgeMs(nowMs: number): number;
  /** Removes the calls whose keys begin with `owner` and aren't in `keys`. */
  reconcile(owner: string, keys: ReadonlySet<string>): void;
  /** Prompt tokens still to be prefilled for calls as urgent or more. */
  queuedPrefillTokens(urgency: number, nowMs: number): number;
  /**
   * Prefill speed in prompt tokens per millisecond, as the latest first events
   * show it; without any, that of the service.
   */
  tokensPerMs(nowMs: number): number;
  /** Calls that run or are queued at the engine, by the last known time. */
  callCount(): number;
  /** Tokens of memory that calls occupy or will occupy. */
  memoryTokens(): number;
  /** Streams that a long prefill of this urgency would delay, weighted. */
  interferenceWeight(urgency: number): number;
  /** Sum of `weightOf` over the longest on-time pauses of all calls, in ms. */
  sumPauses(weightOf: (maxPauseMs: number) => number): number;
  /** Share of recent time in which the engine did prefill, 0 to 1. */
  prefillUtilization(nowMs: number): number;
  /** Tokens of the leading parts that are cached once the calls ahead are read. */
  cachedTokens(parts: readonly PromptPart[]): number;
  /** Tokens of the leading parts that are cached now. */
  fetchableTokens(parts: readonly PromptPart[]): number;
}

/** Weight of a stream that isn't more urgent; more urgent ones weigh 1. */
const NOT_MORE_URGENT_WEIGHT = 0.4;
/** Allowed pause above which a prefill hardly harms a stream, in ms. */
const MAX_SENSITIVE_PAUSE_MS = 400;
/** Time constant of the average prefill utilization, in milliseconds. */
const UTILIZATION_SPAN_MS = 1500;
/** Weight of a first event in the engine's prefill speed. */
const SPEED_WEIGHT = 0.3;
/** Fewest tokens before a first event from which the speed is estimated. */
const MIN_SPEED_TOKENS = 2000;
/** Range of the speed seen by one first event, in shares of the service's. */
const SPEED_SHARE_RANGE = [0.1, 1.5] as const;
/** Time constant with which the speed returns to the service's, in ms. */
const SPEED_MEMORY_MS = 4000;
/** Usual time from the end of a prefill to the first event's arrival, in ms. */
const CONFIRM_MS = 150;
/**
 * Time after which a missing first event no longer shows that the engine is
 * behind, in milliseconds: its report may be lost.
 */
const MAX_CONFIRM_MS = 2000;
/** Share of an engine's memory that calls and cached parts may fill. */
const MAX_FILL_SHARE = 0.85;

/**
 * Creates the model of an idle engine. It assumes that the engine prefills one
 * prompt after the other, the more urgent first. Under load it is slower than
 * alone: the reported first events correct the speed, and while one is overdue,
 * the prompts behind it count as not prefilled.
 */
export function createEngineModel(
  size: EngineSize,
  speed: EngineSpeed,
): EngineModel {
  const calls = new Map<string, TrackedCall>();
  /** Calls without a first event, the only ones that may need prefill. */
  const waiting = new Set<TrackedCall>();
  /** Groups of all calls, by urgency and pause. */
  const groups = new Map<string, CallGroup>();
  /** Cached parts with their tokens, the least recently used first. */
  const cache = new Map<string, number>();
  let cacheTokens = 0;
  /** Calls that are to prefill parts of the cache, by the part's identifier. */
  const prefilling = new Map<string, string>();
  let reservedTokens = 0;
  /** Calls of other VMs, where these do not report each of them. */
  const reported = createReportedLoad();
  let advancedMs = 0;
  let utilization = 0;
  /** Difference to the service's speed at `observedMs`, in tokens per ms. */
  let speedDifference = 0;
  let observedMs = 0;

  function tokensPerMs(nowMs: number): number {
    const decay = Math.exp((observedMs - nowMs) / SPEED_MEMORY_MS);
    return speed.tokensPerMs + speedDifference * Math.min(1, decay);
  }

  /** Corrects the speed by the time until a call's first event. */
  function observeSpeed(call: TrackedCall, nowMs: number): void {
    const tokens = call.aheadTokens + call.newTokens;
    if (tokens < MIN_SPEED_TOKENS) return;
    const elapsedMs = Math.max(1, nowMs - call.startedMs - speed.baseMs);
    const [low, high] = SPEED_SHARE_RANGE;
    const observed = Math.min(
      high * speed.tokensPerMs,
      Math.max(low * speed.tokensPerMs, tokens / elapsedMs),
    );
    const current = tokensPerMs(nowMs);
    speedDifference = current + SPEED_WEIGHT * (observed - current) -
      speed.tokensPerMs;
    observedMs = nowMs;
  }

  /** Whether a first event is overdue, so that the engine is behind. */
  function isBehind(nowMs: number): boolean {
    for (const { presumedDoneMs } of waiting) {
      if (presumedDoneMs === undefined) continue;
      const overdueMs = nowMs - presumedDoneMs - speed.baseMs;
      if (overdueMs > CONFIRM_MS && overdueMs < MAX_CONFIRM_MS) return true;
    }
    return false;
  }

  /** Applies the prefill that the engine has done up to now. */
  function advance(nowMs: number): void {
    const elapsedMs = nowMs - advancedMs;
    if (elapsedMs <= 0) return;
    advancedMs = nowMs;
    const rate = tokensPerMs(nowMs);
    const decay = Math.exp(-elapsedMs / UTILIZATION_SPAN_MS);
    if (isBehind(nowMs)) {
      utilization = utilization * decay + 1 - decay;
      return;
    }
    let budget = elapsedMs * rate;
    const queued = [];
    for (const call of waiting) {
      if (call.remainingTokens > 0) queued.push(call);
    }
    queued.sort((left, right) =>
      left.urgency - right.urgency || left.startedMs - right.startedMs
    );
    for (const call of queued) {
      const tokens = Math.min(budget, call.remainingTokens);
      call.remainingTokens -= tokens;
      budget -= tokens;
      if (call.remainingTokens <= 0) call.presumedDoneMs = nowMs;
      if (budget <= 0) break;
    }
    const idleMs = budget / rate;
    utilization = utilization * decay + (1 - decay) * (1 - idleMs / elapsedMs);
  }

  function changeGroup(
    { urgency, maxPauseMs }: EngineWork,
    difference: number,
  ): void {
    const name = `${urgency} ${maxPauseMs}`;
    const group = groups.get(name);
    const callCount = (group?.callCount ?? 0) + difference;
    if (callCount <= 0) groups.delete(name);
    else if (group) group.callCount = callCount;
    else groups.set(name, { urgency, maxPauseMs, callCount });
  }

  function removeCall(key: string): void {
    const call = calls.get(key);
    if (!call) return;
    reservedTokens -= call.memoryTokens;
    calls.delete(key);
    waiting.delete(call);
    changeGroup(call, -1);
    // Its prefill may not have begun.
    if (!call.hasFirstEvent) settleParts(key, { isPrefilled: false });
  }

  /** Ends the prefill of a call's parts, which are cached from now on or not. */
  function settleParts(key: string, options: { isPrefilled: boolean }): void {
    for (const [id, owner] of prefilling) {
      if (owner !== key) continue;
      prefilling.delete(id);
      if (options.isPrefilled) continue;
      cacheTokens -= cache.get(id) ?? 0;
      cache.delete(id);
    }
  }

  function addToCache(key: string, parts: readonly PromptPart[]): void {
    for (const part of parts) {
      const cached = cache.get(part.id);
      if (cached === undefined) prefilling.set(part.id, key);
      else cacheTokens -= cached;
      cache.delete(part.id);
      cache.set(part.id, part.tokens);
      cacheTokens += part.tokens;
    }
    evict();
  }

  function evict(): void {
    const capacity = Math.max(
      0,
      size.memoryTokens * MAX_FILL_SHARE - memoryTokens(),
    );
    for (const [id, tokens] of cache) {
      if (cacheTokens <= capacity) return;
      cache.delete(id);
      prefilling.delete(id);
      cacheTokens -= tokens;
    }
  }

  /** Load that other VMs' reports add to the calls known here. */
  function reportedLoad(): EngineLoad {
    return reported.current(advancedMs);
  }

  function memoryTokens(): number {
    return reservedTokens + reportedLoad().memoryTokens;
  }

  /** Own prompt tokens still to be prefilled for calls as urgent or more. */
  function ownQueuedTokens(urgency: number): number {
    let tokens = 0;
    for (const call of waiting) {
      if (call.urgency <= urgency) tokens += call.remainingTokens;
    }
    return tokens;
  }

  /** Tokens of the leading parts that are cached and meet a condition. */
  function sumLeading(
    parts: readonly PromptPart[],
    isUsable: (id: string) => boolean,
  ): number {
    let tokens = 0;
    for (const part of parts) {
      if (!cache.has(part.id) || !isUsable(part.id)) return tokens;
      tokens += part.tokens;
    }
    return tokens;
  }

  return {
    start(key, work, { nowMs, parts }) {
      advance(nowMs);
      removeCall(key);
      reservedTokens += work.memoryTokens;
      let aheadTokens = 0;
      for (const call of waiting) {
        if (call.remainingTokens <= 0) continue;
        if (call.urgency <= work.urgency) aheadTokens += call.remainingTokens;
        else call.aheadTokens += work.newTokens;
      }
      const started: TrackedCall = {
        ...work,
        remainingTokens: work.newTokens,
        aheadTokens,
        startedMs: nowMs,
        presumedDoneMs: work.newTokens > 0 ? undefined : nowMs,
        hasFirstEvent: false,
      };
      calls.set(key, started);
      waiting.add(started);
      changeGroup(started, 1);
      addToCache(key, parts);
    },
    onFirstEvent(key, nowMs) {
      advance(nowMs);
      const call = calls.get(key);
      if (!call || call.hasFirstEvent) return;
      observeSpeed(call, nowMs);
      call.hasFirstEvent = true;
      waiting.delete(call);
      settleParts(key, { isPrefilled: true });
      call.remainingTokens = 0;
    },
    end(key, nowMs) {
      advance(nowMs);
      removeCall(key);
    },
    addCached(parts) {
      for (const { id, tokens } of parts) {
        cacheTokens += tokens - (cache.get(id) ?? 0);
        cache.delete(id);
        cache.set(id, tokens);
      }
      evict();
    },
    onReport(load, nowMs) {
      advance(nowMs);
      const own = {
        queuedTokens: ownQueuedTokens(Infinity),
        calls: calls.size,
        memoryTokens: reservedTokens,
      };
      reported.onReport(load, { own, nowMs });
      evict();
    },
    reportAgeMs: reported.ageMs,
    reconcile(owner, keys) {
      for (const key of calls.keys()) {
        if (key.startsWith(owner) && !keys.has(key)) removeCall(key);
      }
    },
    queuedPrefillTokens(urgency, nowMs) {
      advance(nowMs);
      return ownQueuedTokens(urgency) + reportedLoad().queuedTokens;
    },
    tokensPerMs,
    callCount: () => calls.size + reportedLoad().calls,
    memoryTokens,
    interferenceWeight(urgency) {
      let weight = 0;
      for (const group of groups.values()) {
        if (group.maxPauseMs > MAX_SENSITIVE_PAUSE_MS) continue;
        weight += group.callCount *
          (group.urgency < urgency ? 1 : NOT_MORE_URGENT_WEIGHT);
      }
      return weight;
    },
    sumPauses(weightOf) {
      let sum = 0;
      for (const { maxPauseMs, callCount } of groups.values()) {
        sum += weightOf(maxPauseMs) * callCount;
      }
      return sum;
    },
    prefillUtilization(nowMs) {
      advance(nowMs);
      return utilization;
    },
    cachedTokens: (parts) => sumLeading(parts, () => true),
    fetchableTokens: (parts) => sumLeading(parts, (id) => !prefilling.has(id)),
  };
}
