import type { EngineSpeed } from "./create_engine_model.ts";

/** Weight of a new observation in the moving averages. */
const SMOOTHING_WEIGHT = 0.05;
/** Shortest prefill from which the prefill speed is estimated, in tokens. */
const LONG_PREFILL_TOKENS = 3000;
/** Longest prefill from which the base time is estimated, in tokens. */
const SHORT_PREFILL_TOKENS = 1200;
/** Prefill speed before the first observation, in tokens per millisecond. */
const INITIAL_TOKENS_PER_MS = 60;
/** Base time before the first observation, in milliseconds. */
const INITIAL_BASE_MS = 90;
/** Share of pauses under prefill that are at most the estimate. */
const PAUSE_QUANTILE = 0.85;
/** Largest change of the estimated pause by an observation, in ms. */
const PAUSE_STEP_MS = 6;
/** Bounds of an observed speed, against outliers, in tokens per ms. */
const SPEED_RANGE = [5, 500] as const;
/** Bounds of an observed base time, against outliers, in milliseconds. */
const BASE_RANGE = [10, 400] as const;

/** Speed of a service's engines, estimated from times to first events. */
export interface SpeedEstimate {
  /** Current estimate, which is updated in place. */
  readonly speed: EngineSpeed;
  /**
   * Records the time from the start of a call to its first event, with the
   * tokens to be prefilled until then: those queued before it and its own.
   */
  observe(tokens: number, elapsedMs: number): void;
  /** Records the time between two events while the engine did prefill. */
  observePause(pauseMs: number): void;
}

/** Creates an estimate that begins with the initial speed and base time. */
export function createSpeedEstimate(): SpeedEstimate {
  const speed: EngineSpeed = {
    tokensPerMs: INITIAL_TOKENS_PER_MS,
    baseMs: INITIAL_BASE_MS,
    pauseMs: 0,
  };
  return {
    speed,
    observe(tokens, elapsedMs) {
      if (tokens <= SHORT_PREFILL_TOKENS) {
        const sample = elapsedMs - tokens / speed.tokensPerMs;
        speed.baseMs += SMOOTHING_WEIGHT *
          (clamp(sample, BASE_RANGE) - speed.baseMs);
        return;
      }
      if (tokens < LONG_PREFILL_TOKENS || elapsedMs <= speed.baseMs) return;
      const sample = clamp(tokens / (elapsedMs - speed.baseMs), SPEED_RANGE);
      speed.tokensPerMs += SMOOTHING_WEIGHT * (sample - speed.tokensPerMs);
    },
    observePause(pauseMs) {
      const isLonger = pauseMs > speed.pauseMs;
      const share = isLonger ? PAUSE_QUANTILE : PAUSE_QUANTILE - 1;
      speed.pauseMs = Math.max(0, speed.pauseMs + PAUSE_STEP_MS * share);
    },
  };
}

function clamp(value: number, [low, high]: readonly [number, number]): number {
  return Math.min(high, Math.max(low, value));
}
