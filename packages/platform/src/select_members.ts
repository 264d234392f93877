import type { PublishedVm } from "@rosemarytiller/link";

/** Fewest entry VMs whose backing decides a pool's leader, if there are. */
export const MEMBERS_MIN = 8;

/**
 * Names of the entry VMs whose backing counts for the pools of a data centre:
 * those of the data centre, of its region, or all, whichever are enough. VMs
 * that are leaving count until they are off the list.
 */
export function selectMembers(
  vms: readonly PublishedVm[],
  dataCentre: string,
): string[] {
  const region = vms.find((vm) => vm.dataCentre === dataCentre)?.region;
  const entries = vms.filter((vm) => vm.kind === "entry");
  const near = entries.filter((vm) => vm.dataCentre === dataCentre);
  if (near.length >= MEMBERS_MIN) return near.map((vm) => vm.name);
  const regional = entries.filter((vm) => vm.region === region);
  if (regional.length >= MEMBERS_MIN) return regional.map((vm) => vm.name);
  return entries.map((vm) => vm.name);
}
