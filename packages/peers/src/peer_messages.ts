/** Kinds of datagram between the VMs. */
export enum PeerMessageKind {
  /** Sign of life with the sender's calls and what it knows to be published. */
  Beat = 1,
  /** Changes of the sender's calls at upstreams. */
  Load = 2,
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

/** A datagram as it is encoded: kind, run of the sender, content. */
export type PeerMessage =
  | [PeerMessageKind.Beat, number, Beat]
  | [PeerMessageKind.Load, number, LoadEvent[]];
