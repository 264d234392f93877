import type { AskMessage, Link } from "@rosemarytiller/link";
import type { QueuedRequest } from "@rosemarytiller/policy";

/** An ask that has no answer yet. */
export interface WaitingAsk {
  ask: AskMessage;
  link: Link;
  request: QueuedRequest;
}

/** The asks of a pool that have no answer yet. */
export interface WaitingAsks {
  add(waiting: WaitingAsk): void;
  /** Removes an ask, by its identifier. */
  take(id: string): WaitingAsk | undefined;
  withFingerprint(fingerprint: string): QueuedRequest[];
  all(): Iterable<WaitingAsk>;
}

/** Creates an empty list. */
export function createWaitingAsks(): WaitingAsks {
  const asks = new Map<string, WaitingAsk>();
  const byFingerprint = new Map<string, Map<string, QueuedRequest>>();
  return {
    add(waiting) {
      const { request } = waiting;
      const { id, fingerprint } = request;
      asks.set(id, waiting);
      const twins = byFingerprint.get(fingerprint);
      if (twins) twins.set(id, request);
      else byFingerprint.set(fingerprint, new Map([[id, request]]));
    },
    take(id) {
      const waiting = asks.get(id);
      if (!waiting) return undefined;
      asks.delete(id);
      const { fingerprint } = waiting.request;
      const twins = byFingerprint.get(fingerprint)!;
      twins.delete(id);
      if (twins.size === 0) byFingerprint.delete(fingerprint);
      return waiting;
    },
    withFingerprint: (fingerprint) => [
      ...byFingerprint.get(fingerprint)?.values() ?? [],
    ],
    all: () => asks.values(),
  };
}
