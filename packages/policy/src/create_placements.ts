import { LRUCache } from "lru-cache";

/** Prefixes whose last upstream is remembered. */
export const MAX_PREFIXES = 4096;

/** Remembers where prompts with the same beginning went. */
export interface Placements {
  note(prefix: string, upstream: string): void;
  /** Upstream that last got the prefix. */
  find(prefix: string): string | undefined;
  /** Forgets an upstream whose cache is empty. */
  forget(upstream: string): void;
}

/** Creates an empty memory of placements. */
export function createPlacements(): Placements {
  const upstreams = new LRUCache<string, string>({ max: MAX_PREFIXES });
  return {
    note(prefix, upstream) {
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
