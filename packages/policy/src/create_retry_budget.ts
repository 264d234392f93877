/** Retries allowed for each first try. */
export const RETRY_SHARE = 0.1;
/** Most retries saved up; as many are there at the start. */
export const RETRY_BURST = 64;

/** Bounds retries to a share of first tries. */
export interface RetryBudget {
  onFirstTry(): void;
  /** Takes one retry out of the budget; returns false when it is spent. */
  spend(): boolean;
}

/** Creates a full budget. */
export function createRetryBudget(): RetryBudget {
  let left = RETRY_BURST;
  return {
    onFirstTry() {
      left = Math.min(RETRY_BURST, left + RETRY_SHARE);
    },
    spend() {
      if (left < 1) return false;
      left--;
      return true;
    },
  };
}
