/** What prolongs the pauses between the events of an engine's streams. */
export interface PaceLoad {
  /** Calls in the engine's batch. */
  calls: number;
  /** Share of the time in which the engine prefills prompts, 0 to 1. */
  prefillShare: number;
}

/** Estimated pause between two events of a stream, for a service's engines. */
export interface PaceEstimate {
  /** Records a pause between two events, in milliseconds. */
  observe(load: PaceLoad, pauseMs: number): void;
  /** Predicted pause in milliseconds. */
  predictMs(load: PaceLoad): number;
}

/** Pause before the first observation: base, per call, and under prefill, in ms. */
const INITIAL_PACE = [30, 0.5, 30];
/** Weight of the initial pace, in observations. */
const INITIAL_WEIGHT = 2;
/** Share of its weight that an observation keeps with each further one. */
const MEMORY_SHARE = 0.99;
/** Longest pause that is taken for the engine's pace, in milliseconds. */
const MAX_PAUSE_MS = 1000;
/** Scale of the calls, so that all inputs are of similar size. */
const CALLS_SCALE = 32;

/**
 * Creates the estimate: a linear function of the load, fitted by recursive least
 * squares with exponential forgetting.
 */
export function createPaceEstimate(): PaceEstimate {
  const [baseMs = 0, perCallMs = 0, prefillMs = 0] = INITIAL_PACE;
  const weights = [baseMs, perCallMs * CALLS_SCALE, prefillMs];
  /** Inverse of the weighted input covariance, row by row. */
  const inverse = weights.map((_, row) =>
    weights.map((_, column) => row === column ? 1 / INITIAL_WEIGHT : 0)
  );

  function inputsOf({ calls, prefillShare }: PaceLoad): number[] {
    return [1, calls / CALLS_SCALE, prefillShare];
  }

  function dot(left: readonly number[], right: readonly number[]): number {
    return left.reduce((sum, value, at) => sum + value * right[at]!, 0);
  }

  return {
    observe(load, pauseMs) {
      const inputs = inputsOf(load);
      const gains = inverse.map((row) => dot(row, inputs));
      const scale = MEMORY_SHARE + dot(inputs, gains);
      const error = Math.min(MAX_PAUSE_MS, pauseMs) - dot(weights, inputs);
      for (const [row, gain] of gains.entries()) {
        weights[row]! += gain / scale * error;
      }
      for (const [row, gain] of gains.entries()) {
        for (const [column, other] of gains.entries()) {
          const reduced = inverse[row]![column]! - gain * other / scale;
          inverse[row]![column] = Math.min(
            1 / INITIAL_WEIGHT,
            reduced / MEMORY_SHARE,
          );
        }
      }
    },
    predictMs: (load) => Math.max(0, dot(weights, inputsOf(load))),
  };
}
