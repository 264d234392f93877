import type { Member, PeerNetwork, ServiceDemand } from "@rosemarytiller/peers";
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
  /** What this VM's heartbeats report. */
  demand(): ServiceDemand[];
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

/**
 * Time in which the demand of earlier requests halves, in milliseconds; much
 * longer than reports take, so that a burst everywhere looks like one.
 */
const DEMAND_HALF_LIFE_MS = 15_000;
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

  function demandOf(
    { heartbeat }: Member,
    service: string,
  ): ServiceDemand | undefined {
    return heartbeat.demand?.find(([name]) => name === service);
  }

  /** Demand of this data centre; VMs without a report count like the others. */
  function localDemand(service: string): number {
    let sum = tokensPerSecond(demands.get(service));
    let reports = 1;
    let vms = 1;
    for (const member of network.reachableMembers()) {
      if (member.dataCentre !== dataCentre) continue;
      vms++;
      const demand = demandOf(member, service);
      if (!demand) continue;
      reports++;
      sum += demand[1];
    }
    return sum * vms / reports;
  }

  /** Demand of the other data centres by the latest report of one of its VMs. */
  function remoteDemands(service: string): Map<string, number> {
    const latest = new Map<string, Member>();
    for (const member of network.reachableMembers()) {
      const { dataCentre: name, heartbeatMs } = member;
      if (name === dataCentre || !demandOf(member, service)) continue;
      const known = latest.get(name);
      if (!known || known.heartbeatMs < heartbeatMs) latest.set(name, member);
    }
    const demandByCentre = new Map<string, number>();
    for (const [name, member] of latest) {
      demandByCentre.set(name, demandOf(member, service)![2]);
    }
    return demandByCentre;
  }

  function listLoads(service: string): DataCentreLoad[] {
    const capacities = new Map<string, number>();
    for (const { entry, warmUpUntilMs } of registry.eligible(service)) {
      if (warmUpUntilMs > clock.now()) continue;
      const capacity = capacities.get(entry.dataCentre) ?? 0;
      capacities.set(entry.dataCentre, capacity + 1);
    }
    const loads: DataCentreLoad[] = [];
    const demandByCentre = remoteDemands(service);
    demandByCentre.set(dataCentre, localDemand(service));
    // Nothing is passed on to a data centre of unknown demand.
    for (const [name, demand] of demandByCentre) {
      const capacity = capacities.get(name) ?? 0;
      loads.push({ dataCentre: name, demand, capacity });
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
      const list: ServiceDemand[] = [];
      for (const [service, own] of demands) {
        list.push([
          service,
          Math.round(tokensPerSecond(own)),
          Math.round(localDemand(service)),
        ]);
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
