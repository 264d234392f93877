import {
  createSharedFacts,
  type PeerNetwork,
  type SharedFacts,
} from "@rosemarytiller/peers";
import type { Clock } from "@rosemarytiller/shared";
import type { FactKind } from "./enums.ts";

/** Applies facts of one kind, of this VM and others. */
export interface FactHandler {
  /** Gets the values after the kind, and the VM that sent them, if another. */
  onAdded(values: string[], from: string | undefined): void;
  onRemoved?(values: string[]): void;
}

/** Dependencies of the router's facts. */
export interface RouterFactsOptions {
  clock: Clock;
  network: Pick<PeerNetwork, "publishFact">;
  /** Handler of each kind, looked up when a fact is added or removed. */
  handlers(): Record<FactKind, FactHandler>;
}

/**
 * Creates the facts that this VM shares with the others. Facts of a kind that
 * this version does not know are kept and passed on.
 */
export function createRouterFacts(options: RouterFactsOptions): SharedFacts {
  const { clock, network, handlers } = options;
  return createSharedFacts({
    now: clock.now,
    publish: network.publishFact,
    onAdded([kind, ...values], from) {
      handlers()[kind as FactKind]?.onAdded(values, from);
    },
    onRemoved([kind, ...values]) {
      handlers()[kind as FactKind]?.onRemoved?.(values);
    },
  });
}
