import type { PublishedVm } from "@rosemarytiller/link";
import { rankByRendezvous } from "@rosemarytiller/shared/rendezvous";
import { listLiveEntryVms } from "./rank_leader_candidates.ts";

/**
 * Selects the VMs to which a broker opens links: in its data centre those at
 * distances 1, 2, 4, ... up to half of a ring of the sorted names, and one VM
 * in each other data centre. A broker opens these links itself, without waiting
 * for peers to connect, so that it receives their digests right after its
 * start. Two brokers that select each other keep two links.
 */
export function selectPeers(
  self: { vm: string; dataCentre: string },
  vms: readonly PublishedVm[],
): PublishedVm[] {
  const byDataCentre = new Map<string, Map<string, PublishedVm>>();
  for (const vm of listLiveEntryVms(vms)) {
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
