import type { EngineSpeed } from "./create_engine_model.ts";

/** Weight of a new observation in the running estimates. */
const GAIN = 0.05;
/** Prompt tokens from which a first event tells the reading speed. */
const LONG_PROMPT_TOKENS = 3000;
/** Prompt tokens up to which a first event tells the base time. */
const SHORT_PROMPT_TOKENS = 1200;
/** Speed that is taken before anything was observed, in tokens per ms. */
const INITIAL_TOKENS_PER_MS = 60;
/** Base time that is taken before anything was observed, in ms. */
const INITIAL_BASE_MS = 90;
/** Bounds of the speed, against outliers, in tokens per ms. */
const SPEED_RANGE = [5, 500] as const;
/** Bounds of the base time, against outliers, in ms. */
const BASE_RANGE = [10, 400] as const;

/** Speed of a service's engines, learnt from first events. */
export interface SpeedEstimate {
  readonly speed: EngineSpeed;
  /** Notes the time to a first event behind `tokens` of waiting prompts. */
  observe(tokens: number, elapsedMs: number): void;
}

/** Creates the estimate for engines of which nothing was observed. */
export function createSpeedEstimate(): SpeedEstimate {
  const speed: EngineSpeed = {
    tokensPerMs: INITIAL_TOKENS_PER_MS,
    baseMs: INITIAL_BASE_MS,
  };
  return {
    speed,
    observe(tokens, elapsedMs) {
      if (tokens <= SHORT_PROMPT_TOKENS) {
        const sample = elapsedMs - tokens / speed.tokensPerMs;
        speed.baseMs += GAIN * (clamp(sample, BASE_RANGE) - speed.baseMs);
        return;
      }
      if (tokens < LONG_PROMPT_TOKENS || elapsedMs <= speed.baseMs) return;
      const sample = clamp(tokens / (elapsedMs - speed.baseMs), SPEED_RANGE);
      speed.tokensPerMs += GAIN * (sample - speed.tokensPerMs);
    },
  };
}

function clamp(value: number, [low, high]: readonly [number, number]): number {
  return Math.min(high, Math.max(low, value));
}
