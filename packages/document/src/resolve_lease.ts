import type { ServiceDocument } from "./document_schema.ts";
import {
  formatPool,
  listPools,
  listPoolUpstreams,
  parsePool,
} from "./pools.ts";

/** Cache of the lease names by pool, for each document. */
const leasesByDocument = new WeakMap<ServiceDocument, Map<string, string>>();

/**
 * Returns the name of the lease that a pool belongs to. Pools that share an
 * upstream, directly or through other pools, share a lease and thus a leader,
 * so that one leader accounts for all calls of the upstream. The lease has the
 * name of the first of these pools in sort order. Without a document, each pool
 * has a lease of its own.
 */
export function resolveLease(
  document: ServiceDocument | undefined,
  pool: string,
): string {
  if (!document) return pool;
  let leases = leasesByDocument.get(document);
  if (!leases) {
    leases = new Map();
    leasesByDocument.set(document, leases);
  }
  let lease = leases.get(pool);
  if (!lease) {
    lease = computeLease(document, pool);
    leases.set(pool, lease);
  }
  return lease;
}

function computeLease(document: ServiceDocument, pool: string): string {
  const { service, dataCentre } = parsePool(pool);
  const connected = new Set([pool]);
  // The set grows during the iteration until no upstream adds another pool.
  for (const member of connected) {
    for (const [, upstream] of listPoolUpstreams(document, parsePool(member))) {
      for (const target of upstream.serves) {
        connected.add(formatPool({ service, target, dataCentre }));
      }
    }
  }
  return [...connected].sort()[0];
}

/** Lists the names of all leases of a document. */
export function listLeases(document: ServiceDocument): Set<string> {
  const leases = new Set<string>();
  for (const pool of listPools(document)) {
    leases.add(resolveLease(document, formatPool(pool)));
  }
  return leases;
}
