/** Demand and capacity of a data centre for one service. */
export interface DataCentreLoad {
  dataCentre: string;
  /** Work that its callers request, in any unit. */
  demand: number;
  /** Capacity of its upstreams, in any unit. */
  capacity: number;
}

/** Excess of demand up to which a data centre keeps all of its work. */
const MAX_EXCESS_SHARE = 0.05;

/**
 * Shares of the work of the data centre `own` that others should take, so that
 * the demand for each unit of capacity is the same everywhere. Only those with
 * less demand than their part of the capacity take some; the result is empty if
 * `own` has no excess.
 */
export function overflowShares(
  own: string,
  loads: readonly DataCentreLoad[],
): Map<string, number> {
  const shares = new Map<string, number>();
  let demand = 0;
  let capacity = 0;
  for (const load of loads) {
    demand += load.demand;
    capacity += load.capacity;
  }
  if (demand <= 0 || capacity <= 0) return shares;
  const roomOf = (load: DataCentreLoad) =>
    load.capacity * demand / capacity - load.demand;
  const ownLoad = loads.find(({ dataCentre }) => dataCentre === own);
  if (!ownLoad || ownLoad.demand <= 0) return shares;
  const excessShare = -roomOf(ownLoad) / ownLoad.demand;
  if (excessShare <= MAX_EXCESS_SHARE) return shares;
  let room = 0;
  for (const load of loads) room += Math.max(0, roomOf(load));
  for (const load of loads) {
    const share = excessShare * Math.max(0, roomOf(load)) / room;
    if (share > 0) shares.set(load.dataCentre, share);
  }
  return shares;
}
