import type { UpstreamStatus } from "@rosemarytiller/admin";
import type { PoolSummary } from "@rosemarytiller/link";
import type { Admission } from "@rosemarytiller/policy";
import type { PoolUpstreams } from "./create_pool_upstreams.ts";
import type { WaitingAsks } from "./create_waiting_asks.ts";

/** Number of tiers. */
export const TIERS = 4;
/** Longest wait that a summary tells, in milliseconds. */
const MAX_SUMMARY_WAIT_MS = 600_000;

/** What a pool tells of its upstreams. */
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

/** Short state of a pool for entries that choose between pools. */
export function summarizePool(
  pool: string,
  options: { upstreams: PoolUpstreams; admission: Admission; nowMs: number },
): PoolSummary {
  const { upstreams, admission, nowMs } = options;
  const waitMs: number[] = [];
  for (let tier = 1; tier <= TIERS; tier++) {
    const expectedMs = admission.waitMs({ tier }, nowMs);
    waitMs.push(Math.min(MAX_SUMMARY_WAIT_MS, Math.round(expectedMs)));
  }
  return { pool, free: upstreams.free(), waitMs };
}

/** Waiting asks of each class, of those that waited before too. */
export function countByClass(
  waiting: WaitingAsks,
  classes: Iterable<string>,
): Record<string, number> {
  const lengths: Record<string, number> = {};
  // A class whose queue is empty again is told with 0, not left out.
  for (const className of classes) lengths[className] = 0;
  for (const { ask: { className } } of waiting.all()) lengths[className]++;
  return lengths;
}
