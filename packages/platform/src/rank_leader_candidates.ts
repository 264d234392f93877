import type { PublishedVm } from "@rosemarytiller/link";
import { VmState } from "@rosemarytiller/shared";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";

/** Returns the live VMs of kind `entry`; leaving VMs are left out. */
export function listLiveEntryVms(vms: readonly PublishedVm[]): PublishedVm[] {
  return vms.filter((vm) => vm.kind === "entry" && vm.state === VmState.Live);
}

/**
 * Ranks the live entry VMs as candidates for the leader of a pool, preferred
 * first: those of the given data centre, then all others, each group by
 * rendezvous hashing.
 */
export function rankLeaderCandidates(
  pool: string,
  options: { dataCentre: string; vms: readonly PublishedVm[] },
): PublishedVm[] {
  const entries = listLiveEntryVms(options.vms);
  const byName = new Map(entries.map((vm) => [vm.name, vm]));
  const ranked = rankByRendezvous(pool, [...byName.keys()])
    .map((name) => byName.get(name)!);
  const near = ranked.filter((vm) => vm.dataCentre === options.dataCentre);
  const far = ranked.filter((vm) => vm.dataCentre !== options.dataCentre);
  return [...near, ...far];
}
