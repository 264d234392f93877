import type { Upstream } from "./create_registry.ts";
import type { EngineDefinition, Prompt } from "./ports.ts";

/** A call of which a second engine might keep a copy. */
export interface CopyOptions {
  engine: EngineDefinition | undefined;
  prompt: Prompt | undefined;
  /** Upstreams that may take calls. */
  others: readonly Upstream[];
  nowMs: number;
}

/** Largest copy of a call's memory that is worth its transfer, in bytes. */
const MAX_COPY_BYTES = 64 * 1024 * 1024;
/** Fewest output tokens for which a copy is kept: shorter calls soon end. */
const MIN_COPY_OUTPUT_TOKENS = 100;
/** Cost of another data centre, in shares of an engine's memory. */
const FAR_COST = 0.2;

/**
 * Chooses who keeps a copy of a long, small call at `upstream`, to go on from
 * when that breaks; nothing where a copy does not pay or nobody can keep it.
 */
export function chooseCopyHolder(
  upstream: Upstream,
  options: CopyOptions,
): Upstream | undefined {
  const { engine, prompt, others, nowMs } = options;
  if (!engine?.keepsCopies || !prompt) return undefined;
  if (prompt.outputTokens < MIN_COPY_OUTPUT_TOKENS) return undefined;
  const tokens = prompt.promptTokens + prompt.outputTokens;
  if (tokens * engine.bytesPerToken > MAX_COPY_BYTES) return undefined;
  let best: Upstream | undefined;
  let bestCost = Infinity;
  for (const other of others) {
    if (other === upstream || other.coldUntilMs > nowMs) continue;
    const isFar = other.entry.dataCentre !== upstream.entry.dataCentre;
    const share = other.model.memoryTokens() / engine.memoryTokens;
    const cost = share + (isFar ? FAR_COST : 0);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = other;
  }
  return best;
}
