/** Share of the fleet's allowance that is used, for counts that differ. */
const SAFETY_SHARE = 0.7;
/** Buckets into which a window is divided. */
const BUCKETS = 10;

/** Bounds on repeats of a service's requests, summed over all VMs. */
export interface RetryBounds {
  /** Repeats allowed for each first send. */
  ratio: number;
  /** Repeats allowed besides, in a window, for the whole fleet. */
  slack: number;
  windowMs: number;
}

/** This VM's part of the fleet's allowance for repeats. */
export interface RetryAllowance {
  onFirstSend(nowMs: number): void;
  /** Takes one repeat; returns false when the allowance is used up. */
  spend(nowMs: number, vms: number): boolean;
}

/** Creates an allowance of which nothing was used. */
export function createRetryAllowance(bounds: RetryBounds): RetryAllowance {
  const bucketMs = bounds.windowMs / BUCKETS;
  const firsts = createBuckets();
  const repeats = createBuckets();

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

  return {
    onFirstSend: (nowMs) => firsts.add(nowMs),
    spend(nowMs, vms) {
      const allowed = SAFETY_SHARE *
        (bounds.ratio * firsts.sum(nowMs) + bounds.slack / vms);
      if (repeats.sum(nowMs) + 1 > allowed) return false;
      repeats.add(nowMs);
      return true;
    },
  };
}
