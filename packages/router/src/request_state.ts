import type { CallRank } from "@rosemarytiller/policy";
import type { CallerRequest, CallerResponse } from "./caller_exchange.ts";
import type { Upstream } from "./create_registry.ts";
import { RouteKind } from "./enums.ts";
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
  /** Number of times that the request was sent, whatever the outcome. */
  sends: number;
  /** Number of sends after which the request may have been executed. */
  possibleRuns: number;
  /** Identifiers of the crashes that broken calls of the request may be. */
  brokenCalls: string[];
  stream: StreamState;
  /** Upstream that keeps a backup copy of the call, and the copy's name. */
  backup: { upstream: Upstream; name: string } | undefined;
}

/** Whether a route's requests may be executed more than once. */
export function isRetryable(route: Route): boolean {
  if (route.kind === RouteKind.Stream) return route.isResumable;
  return route.kind === RouteKind.Idempotent;
}
