import {
  createReconnectingLink,
  type Link,
  type LinkIdentity,
  type ReconnectingLink,
} from "@rosemarytiller/link";
import type { Clock } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";
import { selectPeers } from "./select_peers.ts";

/** Links that a broker keeps open to the peers `selectPeers` chooses. */
export interface PeerLinks {
  /** Opens and closes links to match the VM list; to call after each change. */
  update(): void;
  /** Names of the VMs of the peers, without seeds. */
  vms(): string[];
  /** Closes all links, those to seeds included. */
  close(): void;
}

/** Options of `createPeerLinks`. */
export interface PeerLinksOptions {
  identity: LinkIdentity;
  dataCentre: string;
  /** Addresses of brokers to link to until the VM list has a peer. */
  seeds: readonly string[];
  /** Broker addresses by VM name that override those of the VM list. */
  linkAddresses: Record<string, string>;
  clock: Clock;
  /**
   * Handles a link once it is open; resolves when the link has closed. The link
   * is opened again when this resolves or rejects.
   */
  serve(link: Link): Promise<void>;
}

/**
 * Opens links to the seeds. `update` replaces them with links to the selected
 * peers once there are any.
 */
export function createPeerLinks(
  view: FleetView,
  options: PeerLinksOptions,
): PeerLinks {
  const { identity, dataCentre, linkAddresses } = options;
  const peers = new Map<string, { vm: string; link: ReconnectingLink }>();
  const seeds = options.seeds.map(openReconnectingLink);

  function openReconnectingLink(address: string): ReconnectingLink {
    return createReconnectingLink(address, identity, options);
  }

  function update(): void {
    const self = { vm: identity.vm, dataCentre };
    const selected = new Map<string, string>();
    for (const vm of selectPeers(self, view.vms())) {
      selected.set(linkAddresses[vm.name] ?? vm.broker, vm.name);
    }
    for (const [address, { link }] of peers) {
      if (selected.has(address)) continue;
      link.close();
      peers.delete(address);
    }
    for (const [address, vm] of selected) {
      if (!peers.has(address)) {
        peers.set(address, { vm, link: openReconnectingLink(address) });
      }
    }
    // Seeds are only needed until the VM list names the peers.
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
