import type { PublishedVm } from "@rosemarytiller/link";
import { VmState } from "@rosemarytiller/shared";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";

/** Live entry VMs of a list. */
export function listEntryVms(vms: readonly PublishedVm[]): PublishedVm[] {
  return vms.filter((vm) => vm.kind === "entry" && vm.state === VmState.Live);
}

/**
 * Candidates to lead a pool, first choice first: the VMs of the pool's data
 * centre by rendezvous hashing, then all others.
 */
export function rankLeaders(
  pool: string,
  options: { dataCentre: string; vms: readonly PublishedVm[] },
): PublishedVm[] {
  const entries = listEntryVms(options.vms);
  const byName = new Map(entries.map((vm) => [vm.name, vm]));
  const ranked = rankByRendezvous(pool, [...byName.keys()])
    .map((name) => byName.get(name)!);
  const near = ranked.filter((vm) => vm.dataCentre === options.dataCentre);
  const far = ranked.filter((vm) => vm.dataCentre !== options.dataCentre);
  return [...near, ...far];
}
