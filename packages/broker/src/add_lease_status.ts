import type { PoolStatus } from "@rosemarytiller/admin";
import type { Leadership } from "./create_leadership.ts";

/**
 * Returns a pool's status with its lease, its backers and, for each upstream,
 * the share of the limit and the unaccounted in-flight calls.
 */
export function addLeaseStatus(
  status: PoolStatus,
  leadership: Leadership,
): PoolStatus {
  const { lease, backers, share, unseen } = leadership.status(status.pool);
  const upstreams = status.upstreams.map((upstream) => ({
    ...upstream,
    share: share(upstream.name),
    unseen: unseen(upstream.name),
  }));
  return { ...status, lease, backers, upstreams };
}
