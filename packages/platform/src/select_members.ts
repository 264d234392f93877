import type { PublishedVm } from "@rosemarytiller/link";

/** Minimum size of a group of members; a smaller group is widened. */
export const MEMBERS_MIN = 8;

/**
 * Selects the members of the pools of a data centre: the names of the entry VMs
 * whose backing, their vote for a leader, counts. These are the entry VMs of
 * the data centre, of its region, or all: the first group with at least
 * `MEMBERS_MIN` VMs, else all. A leaving VM counts while it is listed.
 */
export function selectMembers(
  vms: readonly PublishedVm[],
  dataCentre: string,
): string[] {
  const region = vms.find((vm) => vm.dataCentre === dataCentre)?.region;
  const entries = vms.filter((vm) => vm.kind === "entry");
  const local = entries.filter((vm) => vm.dataCentre === dataCentre);
  if (local.length >= MEMBERS_MIN) return local.map((vm) => vm.name);
  const regional = entries.filter((vm) => vm.region === region);
  if (regional.length >= MEMBERS_MIN) return regional.map((vm) => vm.name);
  return entries.map((vm) => vm.name);
}
