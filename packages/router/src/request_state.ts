import type { CallRank } from "@rosemarytiller/policy";
import type { CallerRequest, CallerResponse } from "./caller_exchange.ts";
import type { QuarantineTrial } from "./create_quarantine_trials.ts";
import type { Upstream } from "./create_registry.ts";
import type { SendHistory } from "./create_send_history.ts";
import type { Account, Route, ServiceDefinition } from "./ports.ts";
import type { StreamState } from "./run_attempt.ts";

/** State of a request in progress, over all its attempts. */
export interface RequestState {
  id: string;
  route: Route;
  service: ServiceDefinition;
  account: Account | undefined;
  /** How tight the route's target is; see `RequestClassification`. */
  rank: CallRank;
  /** Priority among requests, 0 the most urgent. */
  urgency: number;
  request: CallerRequest;
  response: CallerResponse;
  /** Monotonic time at which the deadline passes, in milliseconds. */
  expiresMs: number;
  /** Identify identical requests; see `fingerprintsOf`. */
  fingerprints: string[];
  /** Parts of its prompt that other requests may share, in their order. */
  parts: string[];
  /** Aborted when the caller disconnects or the deadline passes. */
  signal: AbortSignal;
  abort(): void;
  /** Upstreams that got the request or could not be connected to. */
  tried: Set<string>;
  /** Hosts of the VMs that the request was passed on to. */
  relayedTo: Set<string>;
  /** All sends of the request; decides which further ones are allowed. */
  sendHistory: SendHistory;
  /** Identifiers of the crashes that broken calls of the request may be. */
  brokenCalls: string[];
  /** Set if the request is quarantined and sent once nevertheless. */
  trial: QuarantineTrial | undefined;
  stream: StreamState;
  /** Copy of the newest run that was sent; undefined while or once it is used. */
  backup: BackupCopy | undefined;
}

/** Copy of a run's KV cache, from which it can be continued once. */
export interface BackupCopy {
  /** Upstream that keeps the copy. */
  upstream: Upstream;
  name: string;
}
