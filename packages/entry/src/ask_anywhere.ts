import { resolvePools } from "@rosemarytiller/document";
import type { Settings } from "@rosemarytiller/settings";
import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { Call } from "./call.ts";
import type { Permit, PermitClient } from "./create_permit_client.ts";

/** What is needed to ask for a permit. */
export interface AskOptions {
  settings: Settings;
  permits: PermitClient;
  /** Upstreams that this request should not get again. */
  avoid: string[];
  /** Whether this is a further try of the request. */
  retry: boolean;
  /** Monotonic time until which the request may wait. */
  waitUntilMs: number;
  signal: AbortSignal;
}

/** Refusals that no other pool can answer better. */
const FINAL_KINDS = new Set([ErrorKind.Quarantined, ErrorKind.Internal]);

/** Asks the allowed pools in turn, nearest first. */
export async function askAnywhere(
  call: Call,
  options: AskOptions,
): Promise<Permit> {
  const { permits, avoid, retry, waitUntilMs, signal } = options;
  const pools = resolvePools(call.document, call.requestClass, {
    target: call.target,
    from: options.settings.dataCentre,
  });
  const refusals: TillerError[] = [];
  for (const pool of pools) {
    try {
      return await permits.ask(call, pool, {
        avoid,
        retry,
        waitUntilMs,
        signal,
      });
    } catch (error) {
      if (!(error instanceof TillerError)) throw error;
      if (signal.aborted || FINAL_KINDS.has(error.kind)) throw error;
      refusals.push(error);
    }
  }
  throw joinRefusals(refusals) ?? new TillerError(
    ErrorKind.NoUpstream,
    `no data centre in service may serve "${call.target}"`,
  );
}

/** The refusal that says most, with the shortest time to come back. */
function joinRefusals(
  refusals: readonly TillerError[],
): TillerError | undefined {
  const [first] = refusals;
  if (!first) return undefined;
  const main = refusals.find((one) => one.kind !== ErrorKind.NoUpstream) ??
    first;
  const delays = refusals.flatMap((one) => one.retryAfterMs ?? []);
  const retryAfterMs = delays.length > 0 ? Math.min(...delays) : undefined;
  const { run, cause } = main;
  return new TillerError(main.kind, main.message, { run, retryAfterMs, cause });
}
