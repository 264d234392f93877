/** Multiple of the baseline above which a first-token time may be slow. */
export const SLOW_FACTOR = 2;
/** Share of the class's target above which a first-token time may be slow. */
export const SLOW_TARGET_SHARE = 0.8;
/** Multiple of the recent first-token time above which a call has jumped. */
export const JUMP_FACTOR = 4;
/** Least rise that counts as a jump, in milliseconds. */
export const JUMP_MIN_MS = 50;
/** Consecutive jumps that mark a cold start. */
export const JUMP_CALLS = 3;

/** Weight of the newest call in the baseline, if it was faster. */
const BASELINE_FALL_WEIGHT = 0.3;
/** Weight of the newest call in the baseline, if it was slower. */
const BASELINE_RISE_WEIGHT = 0.02;
/** Weight of the newest call in the recent time. */
const RECENT_WEIGHT = 0.2;
/** Weight of the newest call in the recent time, if it jumped. */
const RECENT_JUMP_WEIGHT = 0.05;

/** How a call's first-token time compares with those of earlier calls. */
export enum FirstTokenPace {
  Normal = "normal",
  /** Later than both the upstream's baseline and the class's target allow. */
  Slow = "slow",
  /** Far later than those of the calls just before. */
  Jumped = "jumped",
  /** The last of several consecutive jumps: the upstream has cold-started. */
  ColdStart = "cold",
}

/** First-token times of an upstream, as a baseline and a recent average. */
export interface FirstTokenTrend {
  /** Adds a time and the target of the call's class, both in milliseconds. */
  add(firstTokenMs: number, targetMs: number): FirstTokenPace;
  /** Recent average, in milliseconds; 0 before the first answer. */
  recentMs(): number;
}

/** Creates a trend whose first time becomes the baseline. */
export function createFirstTokenTrend(): FirstTokenTrend {
  let baselineMs: number | undefined;
  let recentMs = 0;
  let jumps = 0;

  function update(firstTokenMs: number, hasJumped: boolean): void {
    baselineMs ??= firstTokenMs;
    const weight = firstTokenMs < baselineMs
      ? BASELINE_FALL_WEIGHT
      : BASELINE_RISE_WEIGHT;
    baselineMs += (firstTokenMs - baselineMs) * weight;
    const recentWeight = hasJumped ? RECENT_JUMP_WEIGHT : RECENT_WEIGHT;
    recentMs += (firstTokenMs - recentMs) * recentWeight;
  }

  return {
    add(firstTokenMs, targetMs) {
      if (baselineMs === undefined) recentMs = firstTokenMs;
      const slowMs = Math.max(
        SLOW_FACTOR * (baselineMs ?? firstTokenMs),
        SLOW_TARGET_SHARE * targetMs,
      );
      const hasJumped = firstTokenMs > JUMP_FACTOR * recentMs &&
        firstTokenMs - recentMs > JUMP_MIN_MS;
      update(firstTokenMs, hasJumped);
      jumps = hasJumped ? jumps + 1 : 0;
      if (jumps === JUMP_CALLS) return FirstTokenPace.ColdStart;
      if (hasJumped) return FirstTokenPace.Jumped;
      if (firstTokenMs > slowMs) return FirstTokenPace.Slow;
      return FirstTokenPace.Normal;
    },
    recentMs: () => recentMs,
  };
}
