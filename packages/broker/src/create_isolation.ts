import {
  FingerprintState,
  type Quarantine,
  type QueuedRequest,
  type RequestQueue,
} from "@rosemarytiller/policy";
import type { PoolUpstream } from "./create_pool_upstreams.ts";
import type { WaitingAsks } from "./create_waiting_asks.ts";

/** Keeps suspects and twins of a request in lanes of their own. */
export interface Isolation {
  /** Isolates a new request that is suspect or has twins in the pool. */
  onArrived(request: QueuedRequest, among: readonly PoolUpstream[]): void;
  /** Moves a waiting request to a lane of its own. */
  isolate(request: QueuedRequest): void;
  /** Isolated requests that wait. */
  waiting(): QueuedRequest[];
}

/** What the isolation of a pool needs. */
export interface IsolationOptions {
  queue: RequestQueue;
  asks: WaitingAsks;
  quarantine: Quarantine;
}

/** Creates the isolation of a pool. */
export function createIsolation(options: IsolationOptions): Isolation {
  const { queue, asks, quarantine } = options;
  /** Fingerprints that were isolated while they waited. */
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
    onArrived(request, among) {
      const { fingerprint } = request;
      const twins = asks.withFingerprint(fingerprint);
      for (const twin of twins) isolate(twin);
      const isLone = twins.length === 0 && !isRunning(fingerprint, among);
      if (isLone && isClear(fingerprint)) return;
      request.isolation = fingerprint;
      fingerprints.add(fingerprint);
    },
    waiting() {
      const requests: QueuedRequest[] = [];
      for (const fingerprint of fingerprints) {
        const twins = asks.withFingerprint(fingerprint);
        if (twins.length === 0) fingerprints.delete(fingerprint);
        requests.push(...twins);
      }
      return requests;
    },
  };
}

function isRunning(
  fingerprint: string,
  among: readonly PoolUpstream[],
): boolean {
  for (const { live } of among) {
    for (const permit of live.values()) {
      if (permit.fingerprint === fingerprint) return true;
    }
  }
  return false;
}
