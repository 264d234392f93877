import type { PromptPart } from "@rosemarytiller/policy";
import type { Upstream } from "./create_registry.ts";

/**
 * Chooses the upstream from which `target` fetches the leading parts of a
 * prompt: one of the same software version that caches most of them, in the same
 * data centre if there is one. Equal ones are chosen at random, as each sends one
 * copy after the other. Returns undefined if none caches more than `target`.
 */
export function chooseFetchSource(
  target: Upstream,
  parts: readonly PromptPart[],
  upstreams: readonly Upstream[],
): Upstream | undefined {
  let mostTokens = target.model.cachedTokens(parts);
  let sources: Upstream[] = [];
  for (const upstream of upstreams) {
    if (upstream === target) continue;
    if (upstream.entry.softwareVersion !== target.entry.softwareVersion) {
      continue;
    }
    const tokens = upstream.model.fetchableTokens(parts);
    if (tokens < mostTokens || tokens === 0) continue;
    if (tokens > mostTokens) sources = [];
    else if (sources.length === 0) continue;
    mostTokens = tokens;
    sources.push(upstream);
  }
  const local = sources.filter(({ entry }) =>
    entry.dataCentre === target.entry.dataCentre
  );
  const list = local.length > 0 ? local : sources;
  return list[Math.floor(Math.random() * list.length)];
}
