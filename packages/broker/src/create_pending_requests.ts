import type { Link, PermitRequestMessage } from "@rosemarytiller/link";
import type { QueuedRequest } from "@rosemarytiller/policy";

/** A permit request that has been neither granted nor refused yet. */
export interface PendingRequest {
  message: PermitRequestMessage;
  /** Link on which the request came and is answered. */
  link: Link;
  request: QueuedRequest;
}

/** The pending permit requests of a pool. */
export interface PendingRequests {
  add(pending: PendingRequest): void;
  /** Removes and returns a pending request by the permit request's id. */
  remove(id: string): PendingRequest | undefined;
  withFingerprint(fingerprint: string): QueuedRequest[];
  all(): Iterable<PendingRequest>;
}

/** Creates an empty list, indexed by id and by fingerprint. */
export function createPendingRequests(): PendingRequests {
  const pendingById = new Map<string, PendingRequest>();
  const byFingerprint = new Map<string, Map<string, QueuedRequest>>();
  return {
    add(pending) {
      const { request } = pending;
      const { id, fingerprint } = request;
      pendingById.set(id, pending);
      const duplicates = byFingerprint.get(fingerprint);
      if (duplicates) duplicates.set(id, request);
      else byFingerprint.set(fingerprint, new Map([[id, request]]));
    },
    remove(id) {
      const pending = pendingById.get(id);
      if (!pending) return undefined;
      pendingById.delete(id);
      const { fingerprint } = pending.request;
      const duplicates = byFingerprint.get(fingerprint)!;
      duplicates.delete(id);
      if (duplicates.size === 0) byFingerprint.delete(fingerprint);
      return pending;
    },
    withFingerprint: (fingerprint) => [
      ...byFingerprint.get(fingerprint)?.values() ?? [],
    ],
    all: () => pendingById.values(),
  };
}
