/** A part of a prompt; engines keep parts that they have read. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a call asks of an engine. */
export interface EngineWork {
  /** Order among calls, 0 the most urgent. */
  urgency: number;
  /** Prompt tokens that the engine has to read. */
  newTokens: number;
  /** Tokens of memory that the call takes at its end. */
  memoryTokens: number;
  /** Longest pause between events that is still on time, in milliseconds. */
  maxPauseMs: number;
}

/** A call that an engine is believed to hold. */
interface HeldCall extends EngineWork {
  remainingTokens: number;
  startedMs: number;
}

/** Size of an engine. */
export interface EngineSize {
  /** Calls that run at once. */
  slots: number;
  /** Tokens that its memory holds. */
  memoryTokens: number;
}

/** Estimated speed of a service's engines. */
export interface EngineSpeed {
  /** Prompt tokens read in a millisecond. */
  tokensPerMs: number;
  /** Time to the first event of an empty prompt, in milliseconds. */
  baseMs: number;
}

/** What is believed of one engine, from all calls that are known. */
export interface EngineModel {
  start(key: string, work: EngineWork, nowMs: number): void;
  /** The call's first event came: its prompt has been read. */
  onFirstEvent(key: string, nowMs: number): void;
  end(key: string, nowMs: number): void;
  /** Forgets the calls of `owner` that are not among `keys`. */
  reconcile(owner: string, keys: ReadonlySet<string>): void;
  /** Prompt tokens still to be read of calls as urgent or more. */
  waitingTokens(urgency: number, nowMs: number): number;
  /** Calls that run or wait. */
  callCount(): number;
  /** Tokens of memory that are taken or promised. */
  memoryTokens(): number;
  /** Calls whose pauses a long prompt would lengthen, weighed. */
  streamWeight(urgency: number): number;
  /** Share of the last while in which it read prompts, 0 to 1. */
  readingShare(nowMs: number): number;
  /** Notes that the engine reads these parts. */
  remember(parts: readonly PromptPart[]): void;
  /** Tokens of the leading parts that are believed to be cached. */
  cachedTokens(parts: readonly PromptPart[]): number;
}

/** Weight of a stream of a less or equally urgent call, against 1. */
const SAME_URGENCY_WEIGHT = 0.4;
/** Pauses longer than this are hardly harmed by a prompt, in milliseconds. */
const TIGHT_PAUSE_MS = 400;
/** Span over which the share of reading is averaged, in milliseconds. */
const READING_SPAN_MS = 1500;
/** Share of an engine's memory that the cache is believed to reach. */
const CACHE_SHARE = 0.85;

/**
 * Creates the model of an idle engine. Prompts are read one after the other,
 * the more urgent first; the model drains them at the estimated speed and is
 * corrected by each first event that is seen.
 */
export function createEngineModel(
  size: EngineSize,
  speed: EngineSpeed,
): EngineModel {
  const calls = new Map<string, HeldCall>();
  /** Cached parts, the least recently used first. */
  const cache = new Map<string, number>();
  let cacheTokens = 0;
  let heldMemory = 0;
  let drainedMs = 0;
  let reading = 0;

  function drain(nowMs: number): void {
    const elapsedMs = nowMs - drainedMs;
    let budget = elapsedMs * speed.tokensPerMs;
    drainedMs = nowMs;
    if (budget <= 0) return;
    const waiting = [];
    for (const call of calls.values()) {
      if (call.remainingTokens > 0) waiting.push(call);
    }
    waiting.sort((left, right) =>
      left.urgency - right.urgency || left.startedMs - right.startedMs
    );
    for (const call of waiting) {
      const read = Math.min(budget, call.remainingTokens);
      call.remainingTokens -= read;
      budget -= read;
      if (budget <= 0) break;
    }
    const idleMs = budget / speed.tokensPerMs;
    const fade = Math.exp(-elapsedMs / READING_SPAN_MS);
    reading = reading * fade + (1 - fade) * (1 - idleMs / elapsedMs);
  }

  function drop(key: string): void {
    const call = calls.get(key);
    if (!call) return;
    heldMemory -= call.memoryTokens;
    calls.delete(key);
  }

  function evict(): void {
    const room = Math.max(0, size.memoryTokens * CACHE_SHARE - heldMemory);
    for (const [id, tokens] of cache) {
      if (cacheTokens <= room) return;
      cache.delete(id);
      cacheTokens -= tokens;
    }
  }

  return {
    start(key, work, nowMs) {
      drain(nowMs);
      drop(key);
      heldMemory += work.memoryTokens;
      calls.set(key, {
        ...work,
        remainingTokens: work.newTokens,
        startedMs: nowMs,
      });
    },
    onFirstEvent(key, nowMs) {
      drain(nowMs);
      const call = calls.get(key);
      if (call) call.remainingTokens = 0;
    },
    end(key, nowMs) {
      drain(nowMs);
      drop(key);
    },
    reconcile(owner, keys) {
      for (const key of calls.keys()) {
        if (key.startsWith(owner) && !keys.has(key)) drop(key);
      }
    },
    waitingTokens(urgency, nowMs) {
      drain(nowMs);
      let tokens = 0;
      for (const call of calls.values()) {
        if (call.urgency <= urgency) tokens += call.remainingTokens;
      }
      return tokens;
    },
    callCount: () => calls.size,
    memoryTokens: () => heldMemory,
    streamWeight(urgency) {
      let weight = 0;
      for (const call of calls.values()) {
        if (call.maxPauseMs > TIGHT_PAUSE_MS) continue;
        weight += call.urgency < urgency ? 1 : SAME_URGENCY_WEIGHT;
      }
      return weight;
    },
    readingShare(nowMs) {
      drain(nowMs);
      return reading;
    },
    remember(parts) {
      for (const part of parts) {
        const held = cache.get(part.id);
        if (held !== undefined) cacheTokens -= held;
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
