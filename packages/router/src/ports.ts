import type { PromptPart } from "@rosemarytiller/policy";
import type { PublishedChanges, PublishedItem } from "@rosemarytiller/peers";
import type { RouteKind } from "./enums.ts";

/** A service of a route, with its weight among the route's services. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** Matches requests by host and path prefix and says how to treat them. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /**
   * Target for the time to the response, or to a stream's first event, in
   * milliseconds. A queued request that would miss it by too much is refused.
   */
  targetMs: number;
  /** Priority tier, 0 the most urgent. */
  tier: number;
  targets: WeightedService[];
  /**
   * Maximum number of sends of one request, each to another upstream. A resume
   * from a backup copy is not limited by it, but counts as a send.
   */
  maxAttempts: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
  /** Whether a stream may be resumed at another upstream. */
  isResumable: boolean;
  /** Longest on-time pause between two events, in milliseconds. */
  maxPauseMs: number;
}

/** The model engines of a service. */
export interface EngineDefinition {
  slots: number;
  memoryTokens: number;
  bytesPerToken: number;
  /**
   * Speed at which an engine fetches cached parts of a prompt from another one,
   * in bytes per millisecond; 0 if it can't.
   */
  fetchBytesPerMs: number;
  /** Whether an engine can keep a backup copy of another engine's call. */
  keepsBackups: boolean;
}

/** A service, with limits for its upstreams. */
export interface ServiceDefinition {
  name: string;
  /** Path of its upstreams' health requests. */
  healthPath: string;
  /** Connections that an upstream accepts, summed over all VMs. */
  maxConnections: number;
  /** Warm-up time of a started upstream, in milliseconds. */
  warmUpMs: number;
  /**
   * Maximum calls a second to an upstream in warm-up, summed over all VMs; 0
   * for no limit.
   */
  warmUpCallsPerSecond: number;
  /** Undefined for a plain service, whose upstreams are not model engines. */
  engine: EngineDefinition | undefined;
}

/** A client account with its API keys. */
export interface Account {
  name: string;
  /** Overrides the tier of the route. */
  tier: number | undefined;
  keys: string[];
}

/** Limits on what callers send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One complete version of the operators' configuration. */
export interface Configuration {
  version: number;
  routes: Route[];
  services: ServiceDefinition[];
  /** Undefined if API keys are not checked. */
  accounts: Account[] | undefined;
  limits: CallerLimits;
}

/** An upstream, as it registered itself. */
export interface UpstreamEntry {
  id: string;
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  slots: number;
  isDraining: boolean;
  /** Remaining warm-up time, in milliseconds. */
  warmUpMs: number;
  /** Start time; distinguishes processes that reuse an identifier. */
  startedMs: number | undefined;
  /** Version of its software, empty if it registers none. */
  softwareVersion: string;
}

/** Kinds of decoded published item. */
export enum DecodedItemKind {
  Configuration = "configuration",
  Upstream = "upstream",
  /** Takes a data centre out of service while the item exists. */
  DataCentreOut = "data-centre-out",
}

/** A decoded published item; `value` is undefined after its removal. */
export type DecodedItem =
  | { kind: DecodedItemKind.Configuration; value: Configuration | undefined }
  | {
    kind: DecodedItemKind.Upstream;
    id: string;
    value: UpstreamEntry | undefined;
    /** Why the entry names no upstream; undefined if it was removed. */
    refusal?: string;
  }
  | { kind: DecodedItemKind.DataCentreOut; dataCentre: string; isOut: boolean };

/**
 * Port: decodes a published item. Returns undefined for an item that the router
 * does not use; throws for one that is malformed. The core relies on the types
 * and ranges of what it returns.
 */
export type DecodeItem = (item: PublishedItem) => DecodedItem | undefined;

/** Size and parts of a request's prompt. */
export interface Prompt {
  promptTokens: number;
  /** Maximum number of output tokens. */
  outputTokens: number;
  /** Expected number of output tokens, as hinted by the caller. */
  likelyOutputTokens: number;
  parts: PromptPart[];
}

/** Data read from a caller's headers. */
export interface RequestMetadata {
  /** Request identifier; undefined if the caller sent none. */
  id: string | undefined;
  /** How long the caller waits for the response, in milliseconds. */
  deadlineMs: number | undefined;
  /** API key; undefined if the caller sent none. */
  apiKey: string | undefined;
  prompt: Prompt | undefined;
  /** Last event received by a caller that resumes a stream itself. */
  lastEventId: string | undefined;
  /** Identifier of the request that brought such a caller the first event. */
  resumedId: string | undefined;
  /** Headers to forward; names and values alternate. */
  forwardedHeaders: string[];
}

/** Data sent to an upstream in addition to the caller's headers. */
export interface CallMetadata {
  /** Remaining time of the request, in milliseconds. */
  deadlineMs: number;
  upstreamId: string;
  account: string | undefined;
  /** Priority among calls, 0 the most urgent. */
  urgency: number;
  lastEventId: string | undefined;
  /** Address of the upstream that keeps a backup copy of the call. */
  backupTo: string | undefined;
  /** Address and name of the backup copy from which the call resumes. */
  backupFrom: string | undefined;
  /** Address of the upstream from which cached parts are fetched. */
  fetchFrom?: string | undefined;
}

/** Data read from the status and headers of an upstream's response. */
export interface ResponseMetadata {
  /** Identifier of the request to which this is the response. */
  id: string | undefined;
  /** Whether the upstream did not execute the request and never will. */
  isNotRun: boolean;
  /**
   * Whether callers take the status as a statement that the request was not
   * executed; upstreams also use such a status after they have executed it.
   */
  isRefusalStatus: boolean;
  /** Whether a seal header shows that the upstream itself responded. */
  isSealed: boolean;
  /** Remaining warm-up time of the upstream, in milliseconds. */
  warmUpMs: number | undefined;
  /** Whether the upstream is about to stop and wants no new calls. */
  isLeaving: boolean;
  /** For how long a 503 asks this VM to send nothing, in milliseconds. */
  retryAfterMs?: number;
  /** Retry-after value of a 503 that can't be read. */
  invalidRetryAfter?: string;
  /**
   * Calls a second that the upstream takes from all VMs together, for as long
   * as its responses say so; undefined for no limit.
   */
  callsPerSecond?: number | undefined;
  /**
   * Calls a second for which the upstream may have no room before it falls over,
   * while its service is brittle; undefined otherwise.
   */
  maxDeclined?: number | undefined;
  /** Whether the upstream declined the call, mostly for lack of room. */
  isDeclined?: boolean;
}

/** Port: reads and writes the headers of callers and upstreams. */
export interface WireProtocol {
  /** Reads a caller's headers, in which names and values alternate. */
  readRequest(rawHeaders: readonly string[]): RequestMetadata;
  /** Headers to send with a call, in addition to the forwarded ones. */
  callHeaders(metadata: CallMetadata): string[];
  /** Reads a response's status and headers; names are in lower case. */
  readResponse(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): ResponseMetadata;
}

/** Port: watches the platform's published items. */
export interface PublishedSource {
  start(sink: PublishedSink): void;
  /**
   * Reads the changes up to now, besides the regular reads, and passes them to
   * the sink of `start`. Resolves with whether it has got all of them: false
   * before the first complete read, and if the platform does not respond soon.
   */
  readNow(): Promise<boolean>;
  stop(): void;
}

/** Receives what a source reads from the platform. */
export interface PublishedSink {
  /** Revision up to which all changes of the era have been received. */
  head(): number;
  /** Era of the changes received, 0 at first. */
  era(): number;
  /**
   * The platform responded; `changes` may be empty. The first of a newer era
   * must be the complete state.
   */
  onResponse(changes: PublishedChanges): void;
  /** Reading from the platform failed. */
  onReadError(reason: string): void;
  /** The platform sent an item that can't be told from others. */
  onItemRefused(reason: string): void;
  /** Whether reading can pause, because peers pass the changes on. */
  canPause(): boolean;
}
