import { LRUCache } from "lru-cache";

/** Largest number of prefixes that are remembered. */
export const MAX_PREFIXES = 4096;

/** Upstreams by the prompt prefix that they probably have in their caches. */
export interface Placements {
  /** Records the upstream of a prompt; an empty prefix is ignored. */
  record(prefix: string, upstream: string): void;
  /** Upstream that was last sent the prefix. */
  find(prefix: string): string | undefined;
  /** Removes an upstream, such as after a crash that emptied its cache. */
  forget(upstream: string): void;
}

/** Creates empty placements; the least recently used prefix is evicted. */
export function createPlacements(): Placements {
  const upstreams = new LRUCache<string, string>({ max: MAX_PREFIXES });
  return {
    record(prefix, upstream) {
      if (prefix) upstreams.set(prefix, upstream);
    },
    find: (prefix) => upstreams.get(prefix),
    forget(upstream) {
      for (const [prefix, name] of [...upstreams.entries()]) {
        if (name === upstream) upstreams.delete(prefix);
      }
    },
  };
}
