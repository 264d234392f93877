/** Largest extra load of a preferred upstream, as a share of its limit. */
export const MAX_AFFINITY_EXTRA_LOAD = 0.375;
/** Largest factor by which a slow first token raises an upstream's load. */
export const MAX_SLOWNESS = 4;

/** An upstream that a request may go to. */
export interface UpstreamCandidate {
  name: string;
  /** Calls in progress there. */
  outstanding: number;
  /** Calls that it may have at once. */
  limit: number;
  /** Its recent first-token time in milliseconds, if known. */
  firstTokenMs?: number;
}

/** Options of `chooseUpstream`. */
export interface ChooseOptions {
  /** Upstream that probably has the prompt's prefix in its cache. */
  preferred?: string;
}

/**
 * Chooses the upstream with the least load among those with free capacity. The
 * preferred one is chosen while its load is at most `MAX_AFFINITY_EXTRA_LOAD`
 * above that. Returns `undefined` if none has free capacity.
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
  return extra <= MAX_AFFINITY_EXTRA_LOAD ? preferred : best;
}

function findFastest(candidates: readonly UpstreamCandidate[]): number {
  let fastestMs = Infinity;
  for (const { firstTokenMs } of candidates) {
    if (firstTokenMs) fastestMs = Math.min(fastestMs, firstTokenMs);
  }
  return fastestMs;
}

/** Share of the limit in use with one more call, scaled up if it is slow. */
function loadOf(candidate: UpstreamCandidate, fastestMs: number): number {
  const { outstanding, limit, firstTokenMs = 0 } = candidate;
  const slowness = firstTokenMs > 0 ? firstTokenMs / fastestMs : 1;
  return (outstanding + 1) / limit * Math.min(MAX_SLOWNESS, slowness);
}
