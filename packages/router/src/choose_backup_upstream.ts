import type { Upstream } from "./create_registry.ts";
import type { EngineDefinition, Prompt } from "./ports.ts";

/** A call that may get a backup copy of its KV cache at a second engine. */
export interface BackupOptions {
  engine: EngineDefinition | undefined;
  prompt: Prompt | undefined;
  /** Upstreams of the service that can admit calls. */
  others: readonly Upstream[];
  nowMs: number;
}

/** Largest KV cache that is worth transferring to a backup, in bytes. */
const MAX_BACKUP_BYTES = 64 * 1024 * 1024;
/** Lowest output limit, in tokens, for a backup: shorter calls end soon. */
const MIN_BACKUP_OUTPUT_TOKENS = 100;
/** Cost of another data centre, as a fraction of an engine's memory. */
const REMOTE_COST_SHARE = 0.2;

/**
 * Chooses the upstream that keeps a backup copy of a call at `upstream`, from
 * which the call can be resumed if `upstream` fails: one of the same software
 * version. Prefers free memory and the same data centre. Only calls with a high output limit and a small KV
 * cache get one; returns undefined for others and if no upstream can keep it.
 */
export function chooseBackupUpstream(
  upstream: Upstream,
  options: BackupOptions,
): Upstream | undefined {
  const { engine, prompt, others, nowMs } = options;
  if (!engine?.keepsBackups || !prompt) return undefined;
  if (prompt.outputTokens < MIN_BACKUP_OUTPUT_TOKENS) return undefined;
  const tokens = prompt.promptTokens + prompt.outputTokens;
  if (tokens * engine.bytesPerToken > MAX_BACKUP_BYTES) return undefined;
  let best: Upstream | undefined;
  let bestCost = Infinity;
  for (const other of others) {
    if (other === upstream || other.warmUpUntilMs > nowMs) continue;
    if (other.entry.softwareVersion !== upstream.entry.softwareVersion) {
      continue;
    }
    const isRemote = other.entry.dataCentre !== upstream.entry.dataCentre;
    const memoryShare = other.model.memoryTokens() / engine.memoryTokens;
    const cost = memoryShare + (isRemote ? REMOTE_COST_SHARE : 0);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = other;
  }
  return best;
}
