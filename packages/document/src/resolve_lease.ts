import type { ServiceDocument } from "./document_schema.ts";
import {
  formatPool,
  listPools,
  listPoolUpstreams,
  parsePool,
} from "./pools.ts";

const known = new WeakMap<ServiceDocument, Map<string, string>>();

/**
 * Name of the lease that a pool belongs to. Pools that share an upstream have
 * one lease and so one leader, who alone sees all calls of the upstream; it is
 * named after the first of them.
 */
export function resolveLease(
  document: ServiceDocument | undefined,
  pool: string,
): string {
  if (!document) return pool;
  let leases = known.get(document);
  if (!leases) {
    leases = new Map();
    known.set(document, leases);
  }
  let lease = leases.get(pool);
  if (!lease) {
    lease = findLease(document, pool);
    leases.set(pool, lease);
  }
  return lease;
}

function findLease(document: ServiceDocument, pool: string): string {
  const { service, dataCentre } = parsePool(pool);
  const joined = new Set([pool]);
  // The set grows while it is walked, until no upstream leads further.
  for (const member of joined) {
    for (const [, upstream] of listPoolUpstreams(document, parsePool(member))) {
      for (const target of upstream.serves) {
        joined.add(formatPool({ service, target, dataCentre }));
      }
    }
  }
  return [...joined].sort()[0];
}

/** Names of all leases of a document. */
export function listLeases(document: ServiceDocument): Set<string> {
  const leases = new Set<string>();
  for (const pool of listPools(document)) {
    leases.add(resolveLease(document, formatPool(pool)));
  }
  return leases;
}
