import type { PublishedVm } from "@rosemarytiller/link";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";
import { listEntryVms } from "./resolve_leader.ts";

/**
 * Chooses the VMs to which a broker opens links: inside its data centre those
 * at distances 1, 2, 4, ... on a ring of names, and one VM in each other data
 * centre. It waits for nobody else to open one, so that a starting broker hears
 * its peers at once; two that choose each other keep two links.
 */
export function selectPeers(
  self: { vm: string; dataCentre: string },
  vms: readonly PublishedVm[],
): PublishedVm[] {
  const byDataCentre = new Map<string, Map<string, PublishedVm>>();
  for (const vm of listEntryVms(vms)) {
    const group = byDataCentre.get(vm.dataCentre) ?? new Map();
    byDataCentre.set(vm.dataCentre, group.set(vm.name, vm));
  }
  const chosen: PublishedVm[] = [];
  for (const [dataCentre, group] of byDataCentre) {
    const names = [...group.keys()];
    const picked = dataCentre === self.dataCentre
      ? pickOnRing(self.vm, names)
      : rankByRendezvous(self.vm, names).slice(0, 1);
    for (const name of picked) chosen.push(group.get(name)!);
  }
  return chosen;
}

function pickOnRing(self: string, names: readonly string[]): string[] {
  const ring = [...new Set([...names, self])].sort();
  const start = ring.indexOf(self);
  const picked: string[] = [];
  for (let distance = 1; distance * 2 <= ring.length; distance *= 2) {
    picked.push(ring[(start + distance) % ring.length]);
  }
  return picked;
}
