/** First-token time from which a call counts as slow, over the baseline. */
export const SLOW_FACTOR = 2;
/** Part of the class's target that a call may use before it is slow. */
export const SLOW_TARGET_SHARE = 0.8;
/** Sudden rise of the first-token time that marks a cold start. */
export const JUMP_FACTOR = 4;
/** Least rise that counts as a jump, in milliseconds. */
export const JUMP_MIN_MS = 50;
/** Calls in a row that must jump. */
export const JUMP_CALLS = 3;

const FALL_WEIGHT = 0.3;
const RISE_WEIGHT = 0.02;
const RECENT_WEIGHT = 0.2;
const JUMP_WEIGHT = 0.05;

/** How a call's first token came, against those before it. */
export enum FirstTokenPace {
  Normal = "normal",
  /** Later than the upstream's baseline and the class's target allow. */
  Slow = "slow",
  /** Far later than the calls just before. */
  Jumped = "jumped",
  /** The last of several jumps in a row: the upstream is cold. */
  Cold = "cold",
}

/** First-token times of an upstream. */
export interface FirstTokenTrend {
  /** Takes a time and the class's target, both in milliseconds. */
  add(firstTokenMs: number, targetMs: number): FirstTokenPace;
  /** Usual time of late, in milliseconds; 0 before the first answer. */
  recentMs(): number;
}

/** Creates the trend of an upstream that has answered nothing yet. */
export function createFirstTokenTrend(): FirstTokenTrend {
  let baselineMs: number | undefined;
  let recentMs = 0;
  let jumps = 0;

  function learn(firstTokenMs: number, jumped: boolean): void {
    baselineMs ??= firstTokenMs;
    const weight = firstTokenMs < baselineMs ? FALL_WEIGHT : RISE_WEIGHT;
    baselineMs += (firstTokenMs - baselineMs) * weight;
    const recentWeight = jumped ? JUMP_WEIGHT : RECENT_WEIGHT;
    recentMs += (firstTokenMs - recentMs) * recentWeight;
  }

  return {
    add(firstTokenMs, targetMs) {
      if (baselineMs === undefined) recentMs = firstTokenMs;
      const slowMs = Math.max(
        SLOW_FACTOR * (baselineMs ?? firstTokenMs),
        SLOW_TARGET_SHARE * targetMs,
      );
      const jumped = firstTokenMs > JUMP_FACTOR * recentMs &&
        firstTokenMs - recentMs > JUMP_MIN_MS;
      learn(firstTokenMs, jumped);
      jumps = jumped ? jumps + 1 : 0;
      if (jumps === JUMP_CALLS) return FirstTokenPace.Cold;
      if (jumped) return FirstTokenPace.Jumped;
      if (firstTokenMs > slowMs) return FirstTokenPace.Slow;
      return FirstTokenPace.Normal;
    },
    recentMs: () => recentMs,
  };
}
