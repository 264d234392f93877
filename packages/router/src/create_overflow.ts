import type { PeerNetwork } from "@rosemarytiller/peers";
import { type DataCentreLoad, overflowShares } from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Registry } from "./create_registry.ts";

/**
 * Balances the work of engines between the data centres of a large fleet, whose
 * VMs know the load of their own data centre's engines only.
 */
export interface Overflow {
  /** Counts a caller's request with this many prompt tokens. */
  onRequest(service: string, promptTokens: number): void;
  /** Prompt tokens a second that this VM's callers ask for, by service. */
  demand(): [string, number][];
  /**
   * Draws the data centre that may take a request of a service if the engines
   * here are busy; undefined if it should stay.
   */
  drawDataCentre(service: string): string | undefined;
}

/** Dependencies of the overflow. */
export interface OverflowOptions {
  clock: Clock;
  registry: Pick<Registry, "eligible">;
  network: Pick<PeerNetwork, "isLargeFleet" | "reachableMembers">;
  /** Data centre of this VM. */
  dataCentre: string;
  /** Random number of at least 0 and below 1; `Math.random` by default. */
  random?: () => number;
}

/** Time in which the demand of earlier requests halves, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 3000;
/** Time for which computed shares are used, in milliseconds. */
const SHARES_MS = 250;

interface Demand {
  /** Weighted prompt tokens, as of `atMs`. */
  tokens: number;
  atMs: number;
}

/** Creates the overflow of a VM without requests. */
export function createOverflow(options: OverflowOptions): Overflow {
  const { clock, registry, network, dataCentre } = options;
  const { random = Math.random } = options;
  const demands = new Map<string, Demand>();
  const sharesOf = new Map<
    string,
    { untilMs: number; shares: Map<string, number> }
  >();

  function weightedTokens({ tokens, atMs }: Demand): number {
    return tokens * 2 ** ((atMs - clock.now()) / DEMAND_HALF_LIFE_MS);
  }

  function tokensPerSecond(demand: Demand | undefined): number {
    if (!demand) return 0;
    return weightedTokens(demand) * Math.LN2 / DEMAND_HALF_LIFE_MS * 1000;
  }

  /** Demand of each data centre; its silent VMs count like the others there. */
  function listLoads(service: string): DataCentreLoad[] {
    const own = {
      sum: tokensPerSecond(demands.get(service)),
      known: 1,
      vms: 1,
    };
    const centres = new Map([[dataCentre, own]]);
    for (const { dataCentre: name, heartbeat } of network.reachableMembers()) {
      if (!name) continue;
      let centre = centres.get(name);
      if (!centre) centres.set(name, centre = { sum: 0, known: 0, vms: 0 });
      centre.vms++;
      if (!heartbeat.demand) continue;
      centre.known++;
      centre.sum += heartbeat.demand.find(([of]) => of === service)?.[1] ?? 0;
    }
    const capacities = new Map<string, number>();
    for (const { entry, warmUpUntilMs } of registry.eligible(service)) {
      if (warmUpUntilMs > clock.now()) continue;
      const capacity = capacities.get(entry.dataCentre) ?? 0;
      capacities.set(entry.dataCentre, capacity + 1);
    }
    const loads: DataCentreLoad[] = [];
    for (const [name, { sum, known, vms }] of centres) {
      // Nothing is passed on to a data centre of unknown demand.
      if (known === 0) continue;
      loads.push({
        dataCentre: name,
        demand: sum * vms / known,
        capacity: capacities.get(name) ?? 0,
      });
    }
    return loads;
  }

  function currentShares(service: string): Map<string, number> {
    const last = sharesOf.get(service);
    if (last && last.untilMs > clock.now()) return last.shares;
    const shares = overflowShares(dataCentre, listLoads(service));
    sharesOf.set(service, { untilMs: clock.now() + SHARES_MS, shares });
    return shares;
  }

  return {
    onRequest(service, promptTokens) {
      const last = demands.get(service);
      const tokens = (last ? weightedTokens(last) : 0) + promptTokens;
      demands.set(service, { tokens, atMs: clock.now() });
    },
    demand() {
      const list: [string, number][] = [];
      for (const [service, demand] of demands) {
        list.push([service, Math.round(tokensPerSecond(demand))]);
      }
      return list;
    },
    drawDataCentre(service) {
      if (!network.isLargeFleet()) return undefined;
      let position = random();
      for (const [name, share] of currentShares(service)) {
        if (position < share) return name;
        position -= share;
      }
      return undefined;
    },
  };
}
