import type { CallRank } from "@rosemarytiller/policy";
import type { CallerAnswer, CallerRequest } from "./caller_answer.ts";
import type { Upstream } from "./create_registry.ts";
import { RouteKind } from "./enums.ts";
import type { Account, Route, ServiceDefinition } from "./ports.ts";
import type { StreamState } from "./run_attempt.ts";

/** A request on its way. */
export interface RequestState {
  id: string;
  route: Route;
  service: ServiceDefinition;
  account: Account | undefined;
  rank: CallRank;
  /** Order among requests, 0 the most urgent. */
  urgency: number;
  request: CallerRequest;
  answer: CallerAnswer;
  giveUpMs: number;
  fingerprint: string;
  signal: AbortSignal;
  abort(): void;
  /** Upstreams that the request was sent to or could not reach. */
  tried: Set<string>;
  /** Sends so far, whatever became of them. */
  sends: number;
  /** Sends that no upstream has declared unrun. */
  possibleRuns: number;
  stream: StreamState;
  /** Upstream that keeps a copy of the running call, with its name. */
  copy: { holder: Upstream; call: string } | undefined;
}

/** Whether a route's requests may run more than once. */
export function isRepeatable(route: Route): boolean {
  if (route.kind === RouteKind.Stream) return route.isResumable;
  return route.kind === RouteKind.Idempotent;
}
