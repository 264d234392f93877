import type { EngineModel } from "./create_engine_model.ts";

/** Load of an engine as a VM of its data centre knows it. */
export interface EngineLoad {
  /** Prompt tokens still to be prefilled. */
  queuedTokens: number;
  /** Calls that run or are queued at the engine. */
  calls: number;
  /** Tokens of memory that its calls occupy or will occupy. */
  memoryTokens: number;
}

/** Load of an engine elsewhere that other VMs' calls cause, by reports. */
export interface ReportedLoad {
  /** Replaces the last report; `own` is the load by this VM's own calls. */
  onReport(load: EngineLoad, options: { own: EngineLoad; nowMs: number }): void;
  /**
   * Reported load. Its prefill is not counted down: while calls go on to arrive,
   * an engine's queue stays more or less as it was reported.
   */
  current(nowMs: number): EngineLoad;
  /** Time since the last report in milliseconds, infinite without one. */
  ageMs(nowMs: number): number;
}

/**
 * Age beyond which a report says nothing more, in milliseconds: several times
 * the interval at which a VM gets one about the same engine.
 */
export const MAX_REPORT_AGE_MS = 1000;

const NO_LOAD: EngineLoad = { queuedTokens: 0, calls: 0, memoryTokens: 0 };

/** Reads the load of an engine from the model of a VM that knows its calls. */
export function loadOf(model: EngineModel, nowMs: number): EngineLoad {
  return {
    queuedTokens: Math.round(model.queuedPrefillTokens(Infinity, nowMs)),
    calls: model.callCount(),
    memoryTokens: Math.round(model.memoryTokens()),
  };
}

/** Creates the load of an engine of which nothing has been reported. */
export function createReportedLoad(): ReportedLoad {
  let others = NO_LOAD;
  let reportedMs = -Infinity;

  return {
    onReport(load, { own, nowMs }) {
      reportedMs = nowMs;
      others = {
        queuedTokens: Math.max(0, load.queuedTokens - own.queuedTokens),
        calls: Math.max(0, load.calls - own.calls),
        memoryTokens: Math.max(0, load.memoryTokens - own.memoryTokens),
      };
    },
    current: (nowMs) =>
      nowMs - reportedMs > MAX_REPORT_AGE_MS ? NO_LOAD : others,
    ageMs: (nowMs) => nowMs - reportedMs,
  };
}
