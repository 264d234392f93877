import { resolvePools } from "@rosemarytiller/document";
import type { Settings } from "@rosemarytiller/settings";
import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { Call } from "./call.ts";
import type { Permit, PermitClient } from "./create_permit_client.ts";

/** Dependencies and limits of a permit request. */
export interface AcquireOptions {
  settings: Settings;
  permits: PermitClient;
  /** Upstreams that the request should not be sent to again. */
  avoid: string[];
  /** Whether this is a retry of the request. */
  retry: boolean;
  /** Monotonic time until which the request may wait, in milliseconds. */
  waitUntilMs: number;
  signal: AbortSignal;
}

/** Kinds of refusal after which another pool would not help. */
const FINAL_KINDS = new Set([ErrorKind.Quarantined, ErrorKind.Internal]);

/**
 * Requests a permit from the allowed pools in turn, nearest data centre first.
 * Throws `TillerError` if no pool grants one.
 */
export async function acquirePermit(
  call: Call,
  options: AcquireOptions,
): Promise<Permit> {
  const { permits, avoid, retry, waitUntilMs, signal } = options;
  const pools = resolvePools(call.document, call.requestClass, {
    target: call.target,
    from: options.settings.dataCentre,
  });
  const refusals: TillerError[] = [];
  for (const pool of pools) {
    try {
      return await permits.acquire(call, pool, {
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
  throw mergeRefusals(refusals) ?? new TillerError(
    ErrorKind.NoUpstream,
    `no data centre that class "${call.requestClass.name}" allows is in ` +
      `service for "${call.target}"; retry later`,
  );
}

/**
 * Merges refusals into one: the first that is not `no-upstream`, as it says
 * more, else the first, with the shortest retry delay of all.
 */
function mergeRefusals(
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
