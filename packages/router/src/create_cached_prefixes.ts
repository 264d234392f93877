import type { PromptPart } from "@rosemarytiller/policy";
import type { Upstream } from "./create_registry.ts";

/** What a set of upstreams presumably caches of one prompt. */
export interface CachedPrefixes {
  /** Most leading tokens that an upstream of a software version caches. */
  longest(softwareVersion: string): number;
}

/** Looks up a prompt's leading parts at each upstream. */
export function createCachedPrefixes(
  upstreams: readonly Upstream[],
  parts: readonly PromptPart[],
): CachedPrefixes {
  const longest = new Map<string, number>();
  for (const { entry, model } of upstreams) {
    const known = longest.get(entry.softwareVersion) ?? 0;
    const tokens = model.fetchableTokens(parts);
    if (tokens > known) longest.set(entry.softwareVersion, tokens);
  }
  return { longest: (version) => longest.get(version) ?? 0 };
}
