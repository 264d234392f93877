/** Retries allowed for each first attempt. */
export const RETRY_SHARE = 0.1;
/** Largest number of unused retries; a new budget has as many. */
export const RETRY_BURST = 64;

/**
 * Bounds the permit requests for retries to a share of those for first
 * attempts.
 */
export interface RetryBudget {
  onFirstAttempt(): void;
  /** Takes one retry out of the budget; returns false if none is left. */
  spend(): boolean;
}

/** Creates a budget with `RETRY_BURST` retries. */
export function createRetryBudget(): RetryBudget {
  let left = RETRY_BURST;
  return {
    onFirstAttempt() {
      left = Math.min(RETRY_BURST, left + RETRY_SHARE);
    },
    spend() {
      if (left < 1) return false;
      left--;
      return true;
    },
  };
}
