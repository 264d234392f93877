import {
  FingerprintState,
  type Quarantine,
  type QueuedRequest,
  type RequestQueue,
} from "@rosemarytiller/policy";
import type { PoolUpstream } from "./create_pool_upstreams.ts";
import type { PendingRequests } from "./create_pending_requests.ts";

/**
 * Gives suspects, and requests that share a fingerprint with another one of the
 * pool, a queue lane per fingerprint.
 */
export interface Isolation {
  /**
   * Isolates a new request if it is suspect or if another request with its
   * fingerprint is pending or runs on one of `upstreams`. Pending requests with
   * its fingerprint are isolated, too. Call it before the request is added to
   * the pending ones.
   */
  onArrived(
    request: QueuedRequest,
    upstreams: readonly PoolUpstream[],
  ): void;
  /** Moves a queued request to the lane of its fingerprint. */
  isolate(request: QueuedRequest): void;
  /** Pending requests whose fingerprint was isolated. */
  pending(): QueuedRequest[];
}

/** Queue, pending requests and quarantine of a pool. */
export interface IsolationOptions {
  queue: RequestQueue;
  pendingRequests: PendingRequests;
  quarantine: Quarantine;
}

/** Creates the isolation of a pool; no fingerprint is isolated at first. */
export function createIsolation(options: IsolationOptions): Isolation {
  const { queue, pendingRequests, quarantine } = options;
  /** Isolated fingerprints; removed once no request with them is pending. */
  const fingerprints = new Set<string>();

  function isolate(request: QueuedRequest): void {
    if (request.isolation || !queue.remove(request.id)) return;
    request.isolation = request.fingerprint;
    fingerprints.add(request.fingerprint);
    queue.add(request);
  }

  function isClear(fingerprint: string): boolean {
    return quarantine.stateOf(fingerprint) === FingerprintState.Clear;
  }

  return {
    isolate,
    onArrived(request, upstreams) {
      const { fingerprint } = request;
      const duplicates = pendingRequests.withFingerprint(fingerprint);
      for (const duplicate of duplicates) isolate(duplicate);
      const isUnique = duplicates.length === 0 &&
        !isRunning(fingerprint, upstreams);
      if (isUnique && isClear(fingerprint)) return;
      request.isolation = fingerprint;
      fingerprints.add(fingerprint);
    },
    pending() {
      const requests: QueuedRequest[] = [];
      for (const fingerprint of fingerprints) {
        const duplicates = pendingRequests.withFingerprint(fingerprint);
        if (duplicates.length === 0) fingerprints.delete(fingerprint);
        requests.push(...duplicates);
      }
      return requests;
    },
  };
}

function isRunning(
  fingerprint: string,
  upstreams: readonly PoolUpstream[],
): boolean {
  for (const { live } of upstreams) {
    for (const permit of live.values()) {
      if (permit.fingerprint === fingerprint) return true;
    }
  }
  return false;
}
