import {
  type FieldReader,
  listOf,
  objectOf,
  orElse,
  readBoolean,
  readBytes,
  readCount,
  readList,
  readNumber,
  readText,
  tupleOf,
  withDefault,
} from "@rosemarytiller/shared";
import type {
  PublishedChanges,
  PublishedItem,
} from "./create_published_items.ts";
import type { SharedFact } from "./create_shared_facts.ts";

/** Kinds of datagram between the VMs. */
export enum PeerMessageKind {
  /** Heartbeat with the sender's in-flight calls and published revision. */
  Heartbeat = 1,
  /** Changes of the sender's calls, and upstreams that it saw fail. */
  Load = 2,
  /** Published items that changed. */
  Items = 3,
  /** Asks which software version began a stream; see `StreamStartedEvent`. */
  StreamQuery = 4,
}

/** Kinds of change of a call or an upstream. */
export enum LoadEventKind {
  Started = 1,
  FirstEvent = 2,
  Ended = 3,
  /**
   * A response is overdue and the upstream sends nothing to any VM or, for a
   * longer time, nothing to the sender of this event.
   */
  Stalled = 5,
  /** A stream that its caller can resume at any VM began. */
  StreamStarted = 6,
  /** A fact that all VMs are to know; see `SharedFact`. */
  Fact = 8,
  /** An upstream has prefilled parts that no VM of its data centre knew cached. */
  PartsCached = 9,
  /** Load of an upstream, for VMs that do not know each of its calls. */
  UpstreamLoad = 10,
}

/** How a call ended, as reported to the other VMs. */
export enum CallEnd {
  /** The upstream responded completely, with a status below 500. */
  Completed = 0,
  /** The upstream failed the call: 5xx, broken, stalled or not executed. */
  Failed = 1,
  /**
   * Not sent, or aborted because the caller disconnected or the deadline
   * passed; counts neither as success nor as failure of the upstream.
   */
  Other = 2,
  /** The upstream declined the call, mostly for lack of room. */
  Declined = 3,
}

/** Whether an end counts as a failure of the upstream. */
export function isFailure(end: CallEnd): boolean {
  return end === CallEnd.Failed || end === CallEnd.Declined;
}

/** A call was sent to an upstream. */
export interface StartedEvent {
  kind: LoadEventKind.Started;
  /** Call number, unique within an incarnation of the sender. */
  call: number;
  upstream: string;
  /** Order among calls, 0 the most urgent. */
  urgency: number;
  /** Prompt tokens that the upstream has not cached. */
  newTokens: number;
  /** Tokens of memory that the call is predicted to take at its end. */
  memoryTokens: number;
  /** Maximum pause between events that are on time, in ms; may be infinite. */
  maxPauseMs: number;
  /** Identifier and size in tokens of each part of the prompt. */
  parts: [string, number][];
}

/** The first event of a call's response arrived. */
export interface FirstEventReceivedEvent {
  kind: LoadEventKind.FirstEvent;
  call: number;
  upstream: string;
}

/** A call ended. */
export interface EndedEvent {
  kind: LoadEventKind.Ended;
  call: number;
  upstream: string;
  end: CallEnd;
}

/** A fact became known to the sender. */
export interface FactEvent extends SharedFact {
  kind: LoadEventKind.Fact;
}

/** An upstream stalled. */
export interface StalledEvent {
  kind: LoadEventKind.Stalled;
  upstream: string;
}

/** A stream that its caller can resume began; also the reply to a query. */
export interface StreamStartedEvent {
  kind: LoadEventKind.StreamStarted;
  /** Identifier of the caller's request. */
  id: string;
  /** Software version of the upstream that sent the first event. */
  softwareVersion: string;
  /** Time for which the caller can resume it, in milliseconds. */
  keepMs: number;
}

/**
 * An upstream caches the leading parts of a prompt. Sent to all VMs of a large
 * fleet, which otherwise know the calls to their own data centre's upstreams.
 */
export interface PartsCachedEvent {
  kind: LoadEventKind.PartsCached;
  upstream: string;
  /** Identifier and size in tokens of each part, in their order. */
  parts: [string, number][];
}

/**
 * Load of an upstream by all calls that the sender knows. In a large fleet, VMs
 * report the upstreams of their data centre to VMs of the others.
 */
export interface UpstreamLoadEvent {
  kind: LoadEventKind.UpstreamLoad;
  upstream: string;
  /** Prompt tokens still to be prefilled; 0 at a plain service. */
  queuedTokens: number;
  /** Calls that run or are queued there. */
  calls: number;
  /** Tokens of memory that these calls occupy or will occupy. */
  memoryTokens: number;
}

/** A change of a call or an upstream that a VM sends to the others. */
export type LoadEvent =
  | StartedEvent
  | FirstEventReceivedEvent
  | EndedEvent
  | StalledEvent
  | StreamStartedEvent
  | PartsCachedEvent
  | UpstreamLoadEvent
  | FactEvent;

/**
 * What an upstream, or one of a service, said about itself in its last response
 * to any VM: whom it is about, the value (0 for none) and the response's age in
 * milliseconds.
 */
export type Statement = [subject: string, value: number, ageMs: number];

/**
 * Demand of callers for a service, in prompt tokens a second: at the sender, and
 * at all VMs of its data centre as the sender knows them.
 */
export type ServiceDemand = [service: string, own: number, all: number];

/**
 * Demand of a client account for a service at the sender, in prompt tokens a
 * second; `pool` numbers the requests that compete with each other.
 */
export type AccountDemand = [
  service: string,
  pool: number,
  account: string,
  current: number,
  usual: number,
];

/** Number of VMs in the sender's data centre, and in all. */
export type KnownVms = [local: number, all: number];

/** Content of a VM's heartbeat. */
export interface Heartbeat {
  dataCentre: string;
  /** Highest published revision that the sender has applied in its era. */
  revision: number;
  /** Time since the platform last confirmed that revision, in ms. */
  confirmedAgeMs: number;
  /** Hosts from which the sender recently received messages, up to a limit. */
  members: string[];
  /** The sender's in-flight calls: upstream and call numbers. */
  calls: [string, number[]][];
  /** Era of `revision`; undefined from VMs of older versions, counts as 0. */
  era?: number;
  /**
   * Version of the configuration in effect at the sender, 0 if it has none;
   * undefined from VMs of older versions.
   */
  configurationVersion?: number;
  /** Digest of the sender's facts; undefined from VMs of older versions. */
  factsDigest?: number;
  /**
   * Limits in calls a second that upstreams named for all VMs together;
   * undefined from VMs of older versions.
   */
  callLimits?: Statement[];
  /**
   * Calls a second that each upstream of a brittle service may decline;
   * undefined from VMs of older versions.
   */
  brittleServices?: Statement[];
  /**
   * Services whose upstreams the sender does not reach; undefined from VMs of
   * older versions, which take no relayed requests.
   */
  lostServices?: string[];
  /**
   * Time since the platform last responded to a VM that had read it without a
   * failure for a while, in ms; undefined from VMs of older versions.
   */
  steadyReadAgeMs?: number;
  /**
   * Time for which entries that were removed may be back, as the platform was
   * away from the sender, in ms; undefined from VMs of older versions.
   */
  keepRemovedMs?: number;
  /** Demand by service; undefined from VMs of older versions. */
  demand?: ServiceDemand[];
  /** Whether a planned stop has begun; undefined from VMs of older versions. */
  isStopping?: boolean;
  /** Largest demand by account; undefined from VMs of older versions. */
  accountDemand?: AccountDemand[];
  /**
   * VMs that the sender knows, itself included: of its data centre and in all;
   * undefined from VMs of older versions.
   */
  knownVms?: KnownVms;
}

/** Changes that a reader of the platform's store forwards as they arrive. */
export interface PushedItems extends PublishedChanges {
  /** `items` has every change after this revision, up to `head`. */
  after: number;
  /** As in a heartbeat. */
  steadyReadAgeMs?: number;
  /**
   * Time for which the sender keeps the entries that are removed, in ms;
   * undefined from VMs of older versions.
   */
  keepRemovedMs?: number;
}

/** A datagram as encoded: kind, incarnation of the sender, content. */
export type PeerMessage = [
  kind: PeerMessageKind,
  incarnation: number,
  content: unknown,
];

const readParts = listOf(tupleOf<[string, number]>(readText, readNumber));
const readStatements = listOf(
  tupleOf<Statement>(readText, readNumber, readNumber),
);
const readDemand = listOf(
  tupleOf<ServiceDemand>(readText, readNumber, readNumber),
);
const readAccountDemand = listOf(
  tupleOf<AccountDemand>(
    readText,
    readNumber,
    readText,
    readNumber,
    readNumber,
  ),
);
const readCalls = listOf(
  tupleOf<[string, number[]]>(readText, listOf(readNumber)),
);

/** Readers of a load event's fields after its kind, in their encoded order. */
const LOAD_EVENT_FIELDS = new Map<
  unknown,
  Record<string, FieldReader<unknown>>
>(
  [
    [LoadEventKind.Started, {
      call: readNumber,
      upstream: readText,
      urgency: readNumber,
      newTokens: readNumber,
      memoryTokens: readNumber,
      maxPauseMs: readNumber,
      parts: readParts,
    }],
    [LoadEventKind.FirstEvent, { call: readNumber, upstream: readText }],
    [LoadEventKind.Ended, {
      call: readNumber,
      upstream: readText,
      end: readNumber,
    }],
    [LoadEventKind.Fact, { values: listOf(readText), remainingMs: readNumber }],
    [LoadEventKind.Stalled, { upstream: readText }],
    [LoadEventKind.StreamStarted, {
      id: readText,
      softwareVersion: readText,
      keepMs: readNumber,
    }],
    [LoadEventKind.PartsCached, { upstream: readText, parts: readParts }],
    [LoadEventKind.UpstreamLoad, {
      upstream: readText,
      queuedTokens: readNumber,
      calls: readNumber,
      memoryTokens: readNumber,
    }],
  ],
);

/** Reads a field that VMs of older versions do not send. */
function added<T>(read: FieldReader<T>): FieldReader<T | undefined> {
  return orElse<T | undefined>(read, undefined);
}

/** Readers of a heartbeat's fields, in their encoded order. */
const HEARTBEAT_FIELDS: { [Name in keyof Heartbeat]-?: FieldReader<unknown> } =
  {
    dataCentre: readText,
    revision: readCount,
    confirmedAgeMs: readNumber,
    members: listOf(readText),
    calls: readCalls,
    era: added(readCount),
    configurationVersion: added(readCount),
    factsDigest: added(readCount),
    callLimits: added(readStatements),
    lostServices: added(listOf(readText)),
    brittleServices: added(readStatements),
    steadyReadAgeMs: added(readNumber),
    keepRemovedMs: added(readNumber),
    demand: added(readDemand),
    isStopping: added(readBoolean),
    accountDemand: added(readAccountDemand),
    knownVms: added(tupleOf<KnownVms>(readCount, readCount)),
  };
const HEARTBEAT_NAMES = Object.keys(HEARTBEAT_FIELDS) as (keyof Heartbeat)[];

/** Encodes as a list, as field names would take up most of a datagram. */
export function encodeLoadEvent(event: LoadEvent): unknown[] {
  const fields = event as unknown as Record<string, unknown>;
  const list: unknown[] = [event.kind];
  const readers = LOAD_EVENT_FIELDS.get(event.kind)!;
  for (const name of Object.keys(readers)) list.push(fields[name]);
  return list;
}

/**
 * Decodes a load event; returns `undefined` for an unknown kind. Throws a
 * `FieldError` if a field is missing or of another type.
 */
export function decodeLoadEvent(value: unknown): LoadEvent | undefined {
  const list = readList(value);
  const kind = list[0];
  const readers = LOAD_EVENT_FIELDS.get(kind);
  if (!readers) return undefined;
  const event: Record<string, unknown> = { kind };
  for (const [at, [name, read]] of Object.entries(readers).entries()) {
    event[name] = read(list[at + 1]);
  }
  return event as unknown as LoadEvent;
}

/** Encodes a heartbeat without field names. */
export function encodeHeartbeat(heartbeat: Heartbeat): unknown[] {
  return HEARTBEAT_NAMES.map((name) => heartbeat[name]);
}

/**
 * Decodes a heartbeat; fields of later versions that are missing, or of another
 * type, are `undefined`. Throws a `FieldError` if another field is.
 */
export function decodeHeartbeat(value: unknown): Heartbeat {
  const list = readList(value);
  const fields: Record<string, unknown> = {};
  for (const [at, name] of HEARTBEAT_NAMES.entries()) {
    fields[name] = HEARTBEAT_FIELDS[name](list[at]);
  }
  return fields as unknown as Heartbeat;
}

/** A published item or its removal, as another VM encoded it. */
export const readPublishedItem: FieldReader<PublishedItem> = objectOf({
  key: readText,
  revision: readCount,
  value: withDefault(readBytes, undefined),
});

const CHANGES_FIELDS = {
  era: withDefault(readCount, 0),
  head: readCount,
  isWhole: readBoolean,
  items: listOf(readPublishedItem),
};

/** Changes of published items, as another VM encoded them. */
export const readChanges: FieldReader<PublishedChanges> = objectOf(
  CHANGES_FIELDS,
);

/** Changes that another VM pushed. */
export const readPush: FieldReader<PushedItems> = objectOf({
  ...CHANGES_FIELDS,
  after: readCount,
  steadyReadAgeMs: withDefault(readNumber, Infinity),
  keepRemovedMs: withDefault(readNumber, 0),
});

/** Facts, as another VM encoded them. */
export const readFacts: FieldReader<SharedFact[]> = listOf(
  objectOf({ values: listOf(readText), remainingMs: readNumber }),
);
