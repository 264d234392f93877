import type { PoolStatus } from "@rosemarytiller/admin";
import type { Leadership } from "./create_leadership.ts";

/** Adds what the leadership knows to the status of a pool. */
export function addLease(
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
