import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";

/** Most VMs that hold the claims of a key. */
export const MAX_HOLDERS = 5;

/** VMs whose brokers hold the claims of a key, by rendezvous hashing. */
export function listClaimHolders(
  key: string,
  vms: readonly string[],
): string[] {
  return rankByRendezvous(key, vms).slice(0, MAX_HOLDERS);
}

/** Grants that a claim needs, so that any two claims meet at a holder. */
export function claimQuorum(holders: number): number {
  return Math.min(holders, Math.floor((holders + 1) / 2) + 1);
}

/** Holders that a granted claim may lack, plus one: no such set misses it. */
export function claimWitnesses(holders: number): number {
  return holders - claimQuorum(holders) + 1;
}
