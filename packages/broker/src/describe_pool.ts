import type { UpstreamStatus } from "@rosemarytiller/admin";
import type { PoolSummary } from "@rosemarytiller/link";
import type { Admission } from "@rosemarytiller/policy";
import type { PoolUpstreams } from "./create_pool_upstreams.ts";
import type { PendingRequests } from "./create_pending_requests.ts";

/** Number of tiers; tier 1 is the highest. */
export const TIER_COUNT = 4;
/** Upper bound of the expected waits in a pool summary, in milliseconds. */
const MAX_SUMMARY_WAIT_MS = 600_000;

/** Status of a pool's upstreams that may receive new calls. */
export function describeUpstreams(
  upstreams: PoolUpstreams,
  nowMs: number,
): UpstreamStatus[] {
  return upstreams.current().map(({ name, entry, limit, live }) => ({
    name,
    address: entry.address,
    limit: limit.current(nowMs),
    live: live.size,
  }));
}

/**
 * Free capacity and expected wait per tier of a pool, from which entries choose
 * between pools.
 */
export function summarizePool(
  pool: string,
  options: { upstreams: PoolUpstreams; admission: Admission; nowMs: number },
): PoolSummary {
  const { upstreams, admission, nowMs } = options;
  const waitMs: number[] = [];
  for (let tier = 1; tier <= TIER_COUNT; tier++) {
    const expectedMs = admission.waitMs({ tier }, nowMs);
    waitMs.push(Math.min(MAX_SUMMARY_WAIT_MS, Math.round(expectedMs)));
  }
  return { pool, free: upstreams.freeCapacity(), waitMs };
}

/**
 * Counts the pending permit requests by class. `classes` holds all classes that
 * have had one so far.
 */
export function countByClass(
  pendingRequests: PendingRequests,
  classes: Iterable<string>,
): Record<string, number> {
  const lengths: Record<string, number> = {};
  // A class whose queue has emptied is reported as 0 instead of being left out.
  for (const className of classes) lengths[className] = 0;
  for (const { message: { className } } of pendingRequests.all()) {
    lengths[className]++;
  }
  return lengths;
}
