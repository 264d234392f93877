import {
  keepLink,
  type KeptLink,
  type Link,
  type LinkIdentity,
} from "@rosemarytiller/link";
import type { Clock } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";
import { selectPeers } from "./select_peers.ts";

/** Links that a broker opens to a few of the other brokers. */
export interface PeerLinks {
  /** Opens and closes links after a change of the VM list. */
  update(): void;
  /** VMs to which links are kept. */
  vms(): string[];
  close(): void;
}

/** What the links of a broker need. */
export interface PeerLinksOptions {
  identity: LinkIdentity;
  dataCentre: string;
  /** Addresses of brokers to ask before a VM list is known. */
  seeds: readonly string[];
  /** Addresses by VM name that replace those of the VM list. */
  linkAddresses: Record<string, string>;
  clock: Clock;
  serve(link: Link): Promise<void>;
}

/** Creates the links of a broker to its peers. */
export function createPeerLinks(
  view: FleetView,
  options: PeerLinksOptions,
): PeerLinks {
  const { identity, dataCentre, linkAddresses } = options;
  const peers = new Map<string, { vm: string; link: KeptLink }>();
  const seeds = options.seeds.map(keep);

  function keep(address: string): KeptLink {
    return keepLink(address, identity, options);
  }

  function update(): void {
    const self = { vm: identity.vm, dataCentre };
    const wanted = new Map<string, string>();
    for (const vm of selectPeers(self, view.vms())) {
      wanted.set(linkAddresses[vm.name] ?? vm.broker, vm.name);
    }
    for (const [address, { link }] of peers) {
      if (wanted.has(address)) continue;
      link.close();
      peers.delete(address);
    }
    for (const [address, vm] of wanted) {
      if (!peers.has(address)) peers.set(address, { vm, link: keep(address) });
    }
    // Seeds have done their part once the list names the peers.
    if (peers.size > 0) { for (const seed of seeds.splice(0)) seed.close(); }
  }

  return {
    update,
    vms: () => [...peers.values()].map((peer) => peer.vm),
    close() {
      for (const { link } of peers.values()) link.close();
      for (const seed of seeds) seed.close();
    },
  };
}
