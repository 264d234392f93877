import type { PromptPart } from "@rosemarytiller/policy";
import type { PublishedItem } from "@rosemarytiller/peers";
import type { RouteKind } from "./enums.ts";

/** A share of a route's requests that goes to one service. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Requests of one host and path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time to the answer, or a stream's first event, for full credit, in ms. */
  targetMs: number;
  /** Tier, 0 the most urgent. */
  tier: number;
  targets: RouteTarget[];
  /** Upstreams to which one request may be sent at most. */
  maxAttempts: number;
  /** Whether callers need no key. */
  isOpen: boolean;
  /** Whether a stream may be resumed at another upstream. */
  isResumable: boolean;
  /** Longest pause between events that is still on time, in milliseconds. */
  maxPauseMs: number;
}

/** What is known of a service's model engines. */
export interface EngineDefinition {
  slots: number;
  memoryTokens: number;
  bytesPerToken: number;
  /** Whether an engine can keep a copy of another's running call. */
  keepsCopies: boolean;
}

/** A service and how its upstreams are treated. */
export interface ServiceDefinition {
  name: string;
  /** Connections that an upstream takes from all VMs together. */
  maxConnections: number;
  /** Time for which a started upstream is cold, in milliseconds. */
  coldMs: number;
  /** Requests a second that a cold upstream bears; 0 without a bound. */
  coldPerSecond: number;
  /** Nothing for a plain service. */
  engine: EngineDefinition | undefined;
}

/** A client account with its keys. */
export interface Account {
  name: string;
  /** Goes before the route's tier. */
  tier: number | undefined;
  keys: string[];
}

/** Bounds on what callers send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A whole version of what the operators publish. */
export interface Configuration {
  version: number;
  routes: Route[];
  services: ServiceDefinition[];
  /** Nothing when callers need no key. */
  accounts: Account[] | undefined;
  limits: CallerLimits;
}

/** An upstream as it registered itself. */
export interface UpstreamEntry {
  id: string;
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  slots: number;
  isDraining: boolean;
  /** How much longer it stays cold, in milliseconds. */
  coldMs: number;
  /** Time of its start; distinguishes runs under one identifier. */
  bornMs: number | undefined;
}

/** Kinds of published item. */
export enum FactKind {
  Configuration = "configuration",
  Upstream = "upstream",
  /** The data centre is taken out of service while the item exists. */
  DataCentreOut = "data-centre-out",
}

/** What a published item says; nothing as its value when it was removed. */
export type PublishedFact =
  | { kind: FactKind.Configuration; value: Configuration | undefined }
  | { kind: FactKind.Upstream; id: string; value: UpstreamEntry | undefined }
  | { kind: FactKind.DataCentreOut; dataCentre: string; isOut: boolean };

/** Port: reads a published item; nothing for one that means nothing here. */
export type DecodeItem = (item: PublishedItem) => PublishedFact | undefined;

/** What a prompt is made of. */
export interface Prompt {
  promptTokens: number;
  /** Most tokens of output. */
  outputTokens: number;
  /** Output tokens that are likely, by the caller's word. */
  likelyOutputTokens: number;
  parts: PromptPart[];
}

/** What a caller's headers say. */
export interface RequestFacts {
  /** Identifier of the request; nothing if the caller sent none. */
  id: string | undefined;
  /** How long the caller waits, in milliseconds. */
  deadlineMs: number | undefined;
  /** API key. */
  key: string | undefined;
  prompt: Prompt | undefined;
  /** Last event that the caller has, when it resumes a stream itself. */
  lastEventId: string | undefined;
  /** Headers to pass on: names and values by turns. */
  forwarded: string[];
}

/** What the system adds to a call. */
export interface CallFacts {
  deadlineMs: number;
  upstreamId: string;
  account: string | undefined;
  /** Order among calls, 0 the most urgent. */
  urgency: number;
  lastEventId: string | undefined;
  /** Address of the upstream that is to keep a copy of the call. */
  copyTo: string | undefined;
  /** Address and name of a copy from which the call goes on. */
  copyFrom: string | undefined;
}

/** What the head of an upstream's answer says. */
export interface AnswerFacts {
  /** Identifier of the request that is answered. */
  id: string | undefined;
  /** The upstream did not run the request and never will. */
  isNotRun: boolean;
  /** Bears the mark of an upstream's own answer. */
  isSealed: boolean;
  /** How much longer the upstream stays cold, in milliseconds. */
  coldMs: number | undefined;
}

/** Port: the headers that callers and upstreams speak. */
export interface WireProtocol {
  /** Reads a caller's headers, given as names and values by turns. */
  readRequest(rawHeaders: readonly string[]): RequestFacts;
  /** Headers of a call, added to those passed on. */
  callHeaders(facts: CallFacts): string[];
  /** Reads an answer's head; header names are in lower case. */
  readAnswer(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): AnswerFacts;
}
