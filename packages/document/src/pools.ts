import { ServiceState } from "@rosemarytiller/shared";
import type {
  RequestClass,
  ServiceDocument,
  UpstreamEntry,
} from "./document_schema.ts";

/** Identity of a pool: upstreams of one data centre that serve one target. */
export interface PoolName {
  /** Service whose document describes the pool. */
  service: string;
  /** Name of the model or plain service. */
  target: string;
  /** Data centre of the pool's upstreams. */
  dataCentre: string;
}

/** Formats as `service/target@dataCentre`, unique across all documents. */
export function formatPool(pool: PoolName): string {
  return `${pool.service}/${pool.target}@${pool.dataCentre}`;
}

/** Parses the result of `formatPool`; does not validate the text. */
export function parsePool(text: string): PoolName {
  const slash = text.indexOf("/");
  const at = text.lastIndexOf("@");
  return {
    service: text.slice(0, slash),
    target: text.slice(slash + 1, at),
    dataCentre: text.slice(at + 1),
  };
}

/** Lists a pool's upstreams as [name, upstream], in service or not. */
export function listPoolUpstreams(
  document: ServiceDocument,
  pool: PoolName,
): [string, UpstreamEntry][] {
  return Object.entries(document.upstreams).filter(([, upstream]) =>
    upstream.dataCentre === pool.dataCentre &&
    upstream.serves.includes(pool.target)
  );
}

/** Whether the upstream, its VM and its data centre are all in service. */
export function isUpstreamInService(
  document: ServiceDocument,
  name: string,
): boolean {
  const upstream = document.upstreams[name];
  if (!upstream || upstream.state !== ServiceState.InService) return false;
  if (document.vmsOutOfService.includes(upstream.vm)) return false;
  const dataCentre = document.dataCentres[upstream.dataCentre];
  return dataCentre?.state === ServiceState.InService;
}

/** Lists all pools of a document, in service or not. */
export function listPools(document: ServiceDocument): PoolName[] {
  const pools = new Map<string, PoolName>();
  for (const upstream of Object.values(document.upstreams)) {
    for (const target of upstream.serves) {
      const pool = {
        service: document.service,
        target,
        dataCentre: upstream.dataCentre,
      };
      pools.set(formatPool(pool), pool);
    }
  }
  return [...pools.values()];
}

/**
 * Lists the pools of a target in data centres that are in service and that the
 * class allows, nearest first: those of the data centre `from`, then those of
 * its region, then all others. Does not check the upstreams of the pools.
 */
export function resolvePools(
  document: ServiceDocument,
  requestClass: RequestClass,
  options: { target: string; from: string },
): PoolName[] {
  const { target, from } = options;
  const home = document.dataCentres[from]?.region;
  const distance = (dataCentre: string): number => {
    if (dataCentre === from) return 0;
    return document.dataCentres[dataCentre]?.region === home ? 1 : 2;
  };
  return listPools(document)
    .filter((pool) => pool.target === target)
    .filter((pool) =>
      isDataCentreAvailable(document, requestClass, pool.dataCentre)
    )
    .sort((left, right) =>
      distance(left.dataCentre) - distance(right.dataCentre)
    );
}

function isDataCentreAvailable(
  document: ServiceDocument,
  requestClass: RequestClass,
  dataCentre: string,
): boolean {
  const { dataCentres } = requestClass;
  if (dataCentres.length > 0 && !dataCentres.includes(dataCentre)) {
    return false;
  }
  return document.dataCentres[dataCentre]?.state === ServiceState.InService;
}
