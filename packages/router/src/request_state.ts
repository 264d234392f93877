import type { CallRank } from "@rosemarytiller/policy";
import type { CallerAnswer, CallerRequest } from "./caller_answer.ts";
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
  rank: CallRank;
  /** Priority among requests, 0 the most urgent. */
  urgency: number;
  request: CallerRequest;
  answer: CallerAnswer;
  /** Monotonic time at which the deadline passes, in milliseconds. */
  expiresMs: number;
  /** Hash by which crashes are attributed to equal requests. */
  fingerprint: string;
  /** Aborted when the caller disconnects or the deadline passes. */
  signal: AbortSignal;
  abort(): void;
  /** Upstreams that the request was sent to or could not be sent to. */
  tried: Set<string>;
  /** Number of times that the request was sent, whatever the outcome. */
  sends: number;
  /** Sends minus those that the upstream declared not executed. */
  possibleRuns: number;
  stream: StreamState;
  /** Upstream that keeps a backup copy of the call, and the copy's name. */
  backup: { upstream: Upstream; name: string } | undefined;
}

/** Whether a route's requests may be executed more than once. */
export function isRetryable(route: Route): boolean {
  if (route.kind === RouteKind.Stream) return route.isResumable;
  return route.kind === RouteKind.Idempotent;
}
