/** An upstream with room. */
export interface UpstreamCandidate {
  name: string;
  /** Calls in progress there. */
  outstanding: number;
  /** Calls that it may have now. */
  limit: number;
}

/** Picks the upstream with the smallest share of its limit in use. */
export function chooseUpstream(
  candidates: readonly UpstreamCandidate[],
): UpstreamCandidate | undefined {
  let best: UpstreamCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.outstanding >= candidate.limit) continue;
    if (!best || usedShare(candidate) < usedShare(best)) best = candidate;
  }
  return best;
}

function usedShare(candidate: UpstreamCandidate): number {
  return candidate.outstanding / candidate.limit;
}
