import type { PublishedChanges } from "./create_published_items.ts";

/** Kinds of datagram between the VMs. */
export enum PeerMessageKind {
  /** Sign of life with the sender's calls and what it knows to be published. */
  Beat = 1,
  /** Changes of the sender's calls at upstreams. */
  Load = 2,
  /** Published items that changed. */
  Items = 3,
}

/** Kinds of change of a call at an upstream. */
export enum LoadEventKind {
  Started = 1,
  FirstEvent = 2,
  Ended = 3,
  /** An upstream broke while it ran a request with this fingerprint. */
  Crashed = 4,
  /** An upstream is overdue with several answers and says nothing. */
  Silent = 5,
}

/** How a call ended, as far as others need to know it. */
export enum CallEnd {
  Whole = 0,
  /** The upstream failed it. */
  Failed = 1,
  /** Ended by this system or its caller. */
  Other = 2,
}

/** A call was sent to an upstream. */
export interface StartedEvent {
  kind: LoadEventKind.Started;
  /** Number of the call, unique within the sender's run. */
  call: number;
  upstream: string;
  urgency: number;
  newTokens: number;
  memoryTokens: number;
  maxPauseMs: number;
  /** Identifier and size in tokens of each part of the prompt. */
  parts: [string, number][];
}

/** The first event of a call came. */
export interface FirstEventEvent {
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

/** An upstream broke under a request. */
export interface CrashedEvent {
  kind: LoadEventKind.Crashed;
  fingerprint: string;
  /** Identifier of the crash, the same for all requests in flight at it. */
  crash: string;
}

/** An upstream fell silent. */
export interface SilentEvent {
  kind: LoadEventKind.Silent;
  upstream: string;
}

/** A change that the VMs tell each other. */
export type LoadEvent =
  | StartedEvent
  | FirstEventEvent
  | EndedEvent
  | CrashedEvent
  | SilentEvent;

/** Sign of life of a VM. */
export interface Beat {
  dataCentre: string;
  /** Highest revision that the sender knows to be published. */
  revision: number;
  /** Time since the platform last confirmed that revision, in ms. */
  confirmedAgeMs: number;
  /** Hosts that the sender has heard of lately. */
  members: string[];
  /** The sender's calls: upstream and call numbers. */
  calls: [string, number[]][];
}

/** Changes that a reader passes on as it hears of them. */
export interface PushedItems extends PublishedChanges {
  /** Revision behind which the changes begin. */
  after: number;
}

/** A datagram as it is encoded: kind, run of the sender, content. */
export type PeerMessage =
  | [PeerMessageKind.Beat, number, unknown[]]
  | [PeerMessageKind.Load, number, unknown[][]]
  | [PeerMessageKind.Items, number, PushedItems];

/** Order of a load event's fields behind its kind, as they are encoded. */
const LOAD_FIELDS: Record<LoadEventKind, readonly string[]> = {
  [LoadEventKind.Started]: [
    "call",
    "upstream",
    "urgency",
    "newTokens",
    "memoryTokens",
    "maxPauseMs",
    "parts",
  ],
  [LoadEventKind.FirstEvent]: ["call", "upstream"],
  [LoadEventKind.Ended]: ["call", "upstream", "end"],
  [LoadEventKind.Crashed]: ["fingerprint", "crash"],
  [LoadEventKind.Silent]: ["upstream"],
};

/** Order of a beat's fields, as they are encoded. */
const BEAT_FIELDS: readonly (keyof Beat)[] = [
  "dataCentre",
  "revision",
  "confirmedAgeMs",
  "members",
  "calls",
];

/** Encodes without field names, which would be most of a datagram. */
export function encodeLoadEvent(event: LoadEvent): unknown[] {
  const fields = event as unknown as Record<string, unknown>;
  const list: unknown[] = [event.kind];
  for (const name of LOAD_FIELDS[event.kind]) list.push(fields[name]);
  return list;
}

/** Decodes a load event; nothing for a kind that is not known. */
export function decodeLoadEvent(list: unknown[]): LoadEvent | undefined {
  const kind = list[0] as LoadEventKind;
  const names = LOAD_FIELDS[kind];
  if (!names) return undefined;
  const event: Record<string, unknown> = { kind };
  for (const [at, name] of names.entries()) event[name] = list[at + 1];
  return event as unknown as LoadEvent;
}

/** Encodes a beat without field names. */
export function encodeBeat(beat: Beat): unknown[] {
  return BEAT_FIELDS.map((name) => beat[name]);
}

/** Decodes a beat. */
export function decodeBeat(list: unknown[]): Beat {
  const beat: Record<string, unknown> = {};
  for (const [at, name] of BEAT_FIELDS.entries()) beat[name] = list[at];
  return beat as unknown as Beat;
}
