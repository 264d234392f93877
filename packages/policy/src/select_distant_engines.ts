/** An engine of another data centre, as this VM knows it. */
export interface DistantEngine {
  dataCentre: string;
  /** Whether it presumably caches all shared parts of the prompt. */
  hasSession: boolean;
  /** Age of the last report of its load in ms, infinite without one. */
  reportAgeMs: number;
}

/** What the engines of this data centre offer a request. */
export interface LocalOffer {
  /** Whether one of them presumably caches all shared parts of the prompt. */
  hasSession: boolean;
  /** Whether none of them is predicted to begin the response in time. */
  isBusy: boolean;
}

/** Options of `selectDistantEngines`. */
export interface DistantEngineOptions {
  local: LocalOffer;
  /** Age beyond which a report says nothing more, in milliseconds. */
  maxReportAgeMs: number;
  /** Random number of at least 0 and below 1; `Math.random` by default. */
  random?: () => number;
}

/**
 * Engines of each data centre that are considered when those here are busy. The
 * better one of two random engines is rarely crowded, even by the same report.
 */
const RANDOM_ENGINES = 2;

/**
 * Selects the engines of other data centres that a request is weighed for,
 * beside those here: the ones that cache its session, if none here does, and, if
 * the engines here are busy, two random ones of each data centre. Parts that many
 * sessions share are no reason: all VMs would choose the engine that is the first
 * to cache one. An engine whose load is
 * not known lately is never selected, so that a data centre that is cut off or
 * has no VM gets nothing.
 */
export function selectDistantEngines<T extends DistantEngine>(
  engines: readonly T[],
  options: DistantEngineOptions,
): T[] {
  const { local, maxReportAgeMs, random = Math.random } = options;
  const selected: T[] = [];
  const othersByCentre = new Map<string, T[]>();
  for (const engine of engines) {
    if (engine.reportAgeMs > maxReportAgeMs) continue;
    if (engine.hasSession && !local.hasSession) {
      selected.push(engine);
      continue;
    }
    if (!local.isBusy) continue;
    const others = othersByCentre.get(engine.dataCentre);
    if (others) others.push(engine);
    else othersByCentre.set(engine.dataCentre, [engine]);
  }
  for (const others of othersByCentre.values()) {
    for (let count = 0; count < RANDOM_ENGINES; count++) {
      if (others.length === 0) break;
      const at = Math.floor(random() * others.length);
      selected.push(...others.splice(at, 1));
    }
  }
  return selected;
}
