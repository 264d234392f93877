/** Share of the fleet's allowance that is used, as VMs' counts may differ. */
const SAFETY_SHARE = 0.7;
/** Number of buckets in a sliding window. */
const BUCKETS = 10;

/**
 * Bounds on how often the VMs send a service's requests again, summed over all
 * VMs.
 */
export interface RetryBounds {
  /** Retries allowed for each first send. */
  ratio: number;
  /** Further retries allowed in a window, for the whole fleet. */
  slack: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
}

/** This VM's part of the fleet's allowance for retries. */
export interface RetryAllowance {
  onFirstSend(nowMs: number): void;
  /** Whether `spend` would return true now. */
  hasLeft(nowMs: number, vms: number): boolean;
  /**
   * Uses one retry of the allowance; returns false if none is left. The slack
   * is divided by `vms`, the number of VMs in the fleet.
   */
  spend(nowMs: number, vms: number): boolean;
}

/** Creates an allowance that counts sends and retries in a sliding window. */
export function createRetryAllowance(bounds: RetryBounds): RetryAllowance {
  const bucketMs = bounds.windowMs / BUCKETS;
  const firstSends = createBuckets();
  const retries = createBuckets();

  function createBuckets() {
    const counts = new Array<number>(BUCKETS).fill(0);
    let current = 0;
    function advance(nowMs: number): void {
      const bucket = Math.floor(nowMs / bucketMs);
      const steps = Math.min(BUCKETS, bucket - current);
      for (let step = 1; step <= steps; step++) {
        counts[(bucket - steps + step) % BUCKETS] = 0;
      }
      current = bucket;
    }
    return {
      add(nowMs: number): void {
        advance(nowMs);
        counts[current % BUCKETS]!++;
      },
      sum(nowMs: number): number {
        advance(nowMs);
        let sum = 0;
        for (const count of counts) sum += count;
        return sum;
      },
    };
  }

  function hasLeft(nowMs: number, vms: number): boolean {
    const allowed = SAFETY_SHARE *
      (bounds.ratio * firstSends.sum(nowMs) + bounds.slack / vms);
    return retries.sum(nowMs) + 1 <= allowed;
  }

  return {
    onFirstSend: (nowMs) => firstSends.add(nowMs),
    hasLeft,
    spend(nowMs, vms) {
      if (!hasLeft(nowMs, vms)) return false;
      retries.add(nowMs);
      return true;
    },
  };
}
