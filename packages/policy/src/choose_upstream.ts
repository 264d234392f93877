/** Share of a limit by which a preferred upstream may be busier. */
export const AFFINITY_EXTRA_SHARE = 0.375;
/** Most factor by which slow first tokens count as load. */
export const MAX_SLOWNESS = 4;

/** An upstream that a request may go to. */
export interface UpstreamCandidate {
  name: string;
  /** Calls in progress there. */
  outstanding: number;
  /** Calls that it may have now. */
  limit: number;
  /** Its usual first-token time in milliseconds, if known. */
  firstTokenMs?: number;
}

/** What tips the choice. */
export interface ChooseOptions {
  /** Upstream that probably holds the prompt's prefix in its cache. */
  preferred?: string;
}

/**
 * Picks the upstream with the least load of those with room. The preferred one
 * is taken while it is at most `AFFINITY_EXTRA_SHARE` busier.
 */
export function chooseUpstream(
  candidates: readonly UpstreamCandidate[],
  options: ChooseOptions = {},
): UpstreamCandidate | undefined {
  const fastestMs = findFastest(candidates);
  let best: UpstreamCandidate | undefined;
  let bestLoad = Infinity;
  let preferred: UpstreamCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.outstanding >= candidate.limit) continue;
    if (candidate.name === options.preferred) preferred = candidate;
    const load = loadOf(candidate, fastestMs);
    if (load >= bestLoad) continue;
    best = candidate;
    bestLoad = load;
  }
  if (!preferred) return best;
  const extra = loadOf(preferred, fastestMs) - bestLoad;
  return extra <= AFFINITY_EXTRA_SHARE ? preferred : best;
}

function findFastest(candidates: readonly UpstreamCandidate[]): number {
  let fastestMs = Infinity;
  for (const { firstTokenMs } of candidates) {
    if (firstTokenMs) fastestMs = Math.min(fastestMs, firstTokenMs);
  }
  return fastestMs;
}

/** Part of the limit in use with one more call, more for a slow upstream. */
function loadOf(candidate: UpstreamCandidate, fastestMs: number): number {
  const { outstanding, limit, firstTokenMs = 0 } = candidate;
  const slowness = firstTokenMs > 0 ? firstTokenMs / fastestMs : 1;
  return (outstanding + 1) / limit * Math.min(MAX_SLOWNESS, slowness);
}
