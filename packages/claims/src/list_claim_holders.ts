import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";

/** Most VMs that hold the claims of a key. */
export const MAX_HOLDERS = 5;

/**
 * VMs whose brokers hold the claims of a key: the first ones by rendezvous
 * hashing, at most `MAX_HOLDERS`.
 */
export function listClaimHolders(
  key: string,
  vms: readonly string[],
): string[] {
  return rankByRendezvous(key, vms).slice(0, MAX_HOLDERS);
}

/**
 * Write quorum: number of grants that a claim needs. Any two write quorums
 * share at least two holders (one if there is only one), so that they still
 * overlap if one of those lacks its record.
 */
export function claimWriteQuorum(holders: number): number {
  return Math.min(holders, Math.floor((holders + 1) / 2) + 1);
}

/**
 * Read quorum: smallest number such that any group of that many holders
 * includes one that recorded a given granted claim. It is one more than the
 * holders that may lack the claim.
 */
export function claimReadQuorum(holders: number): number {
  return holders - claimWriteQuorum(holders) + 1;
}
