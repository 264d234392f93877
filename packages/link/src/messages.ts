import type { CallOutcome, ErrorKind, Role } from "@rosemarytiller/shared";

/** Kinds of message between the system's processes. */
export enum MessageKind {
  Hello = "hello",
  Proof = "proof",
  Ask = "ask",
  CancelAsk = "cancel-ask",
  Grant = "grant",
  Refuse = "refuse",
  Done = "done",
  Beat = "beat",
  Back = "back",
  Release = "release",
  Claim = "claim",
  ClaimVote = "claim-vote",
  ClaimOutcome = "claim-outcome",
  ClaimSync = "claim-sync",
  ClaimRecords = "claim-records",
  Digest = "digest",
  Fetch = "fetch",
  Documents = "documents",
  VmList = "vm-list",
  Quarantine = "quarantine",
}

/** First message of each side of a link. */
export interface HelloMessage {
  kind: MessageKind.Hello;
  /** VM of the sender. */
  vm: string;
  /** Role of the sender. */
  role: Role;
  /** Number of this start of the process, larger at each start. */
  incarnation: string;
  /** Random text that the other side must sign. */
  nonce: string;
  /** Hash of the field lists that the sender can read. */
  shapes?: string;
}

/** Proves that the sender holds the link key. */
export interface ProofMessage {
  kind: MessageKind.Proof;
  /** HMAC-SHA-256 over the other side's nonce and this side's name. */
  proof: string;
}

/** An entry asks the leader of a pool for a permit. */
export interface AskMessage {
  kind: MessageKind.Ask;
  /** Identifier of the ask, unique per entry process. */
  id: string;
  /** Request that the permit is for, for the time line. */
  request: string;
  pool: string;
  /** Name of the request's class. */
  className: string;
  client: string;
  /** Longest further wait in the queue, in milliseconds. */
  queueMs: number;
  /** Rough size of the prompt in tokens. */
  promptTokens: number;
  /** Hash of the prompt's beginning, for prefix-cache affinity. */
  prefix: string;
  /** Hash of the body, for quarantine. */
  fingerprint: string;
  /** Upstreams that this request should not get again. */
  avoid: string[];
  /** Whether this is a further try of the same request. */
  retry: boolean;
  /** Monotonic time of the entry when it sent this, in milliseconds. */
  stamp: number;
}

/** An entry no longer wants an ask answered. */
export interface CancelAskMessage {
  kind: MessageKind.CancelAsk;
  id: string;
}

/** A leader grants one call to one upstream. */
export interface GrantMessage {
  kind: MessageKind.Grant;
  /** Identifier of the ask. */
  id: string;
  /** Identifier of the permit. */
  permit: string;
  upstream: string;
  /**
   * Newest stamp of the entry that the leader had when it granted. The call
   * must start before this plus the grant's validity by the entry's clock.
   */
  stamp: number;
}

/** A leader refuses an ask. */
export interface RefuseMessage {
  kind: MessageKind.Refuse;
  id: string;
  error: ErrorKind;
  detail: string;
  /** When to come back, in milliseconds. */
  retryAfterMs: number;
}

/** An entry returns a permit with the call's outcome. */
export interface DoneMessage {
  kind: MessageKind.Done;
  permit: string;
  /** Empty where the entry no longer knows it. */
  pool: string;
  upstream: string;
  outcome: CallOutcome;
  /** Time to the first token or byte; -1 if none came. */
  firstTokenMs: number;
  /** Time of the whole call. */
  totalMs: number;
  /** Tokens received. */
  tokens: number;
}

/** A broker's regular message to each process linked to it. */
export interface BeatMessage {
  kind: MessageKind.Beat;
  /** Monotonic time of the broker when it sent this, in milliseconds. */
  stamp: number;
  /** Whether the next beats come seldom, for want of traffic. */
  idle: boolean;
  /** Leases that the broker wants to be backed for; absent if unchanged. */
  wants?: string[];
  /** Leases for which the broker is backed; absent if unchanged. */
  leads?: string[];
  /** Short state of the pools that the broker leads; at times empty. */
  pools: PoolSummary[];
  /** Revision of the documents in force at the broker. */
  revision: number;
  /** Revision of the VM list at the broker. */
  listRevision: number;
}

/** State of a pool as its leader publishes it. */
export interface PoolSummary {
  pool: string;
  /** Calls that could start now. */
  free: number;
  /** Expected wait in milliseconds for each tier, highest first. */
  waitMs: number[];
}

/** An entry backs a broker for pools and reports its live permits there. */
export interface BackMessage {
  kind: MessageKind.Back;
  /** Stamp of the beat that this answers; 0 before the first beat. */
  echo: number;
  /** Monotonic time of the entry when it sent this, in milliseconds. */
  stamp: number;
  /** Revision of the entry's VM list. */
  listRevision: number;
  /** Age of that list at the entry, in milliseconds. */
  listAgeMs: number;
  /** Whether no call of an earlier process of the VM can be in progress. */
  vouches: boolean;
  /** Leases for which the entry backs the broker; absent if unchanged. */
  terms?: [lease: string, term: number][];
  /** All live permits of the leases that were not told on this link before. */
  live?: Record<string, LivePermit[]>;
  /** Leases for which a broker of a higher rank has come back. */
  prefers?: string[];
}

/** A permit whose call is in progress. */
export interface LivePermit {
  permit: string;
  pool: string;
  upstream: string;
  className: string;
  client: string;
  fingerprint: string;
}

/** A leader counts the receiver no more for these leases. */
export interface ReleaseMessage {
  kind: MessageKind.Release;
  leases: string[];
  /** Whether the broker is about to stop. */
  stopping: boolean;
}

/** An entry claims an idempotency key. */
export interface ClaimMessage {
  kind: MessageKind.Claim;
  id: string;
  /** Hash of client, service and key. */
  key: string;
  /** Hash of the body, to tell another request under the same key. */
  fingerprint: string;
  /** Holders that the claimer reckons with. */
  holders: string[];
}

/** Answers of a claim's holder. */
export enum Vote {
  /** First claim seen; recorded. */
  Granted = "granted",
  /** Another claim holds the key. */
  Taken = "taken",
  /** Recorded, but the holder can't vouch that there was none before. */
  Young = "young",
  /** The holder reckons with other holders than the claimer. */
  OtherList = "other-list",
  /** The holder's memory is full. */
  Full = "full",
}

/** What is known of the request behind a claim. */
export enum ClaimState {
  /** It may run or have run. */
  Open = "open",
  /** An upstream has answered it. */
  Ran = "ran",
  /** It has not run and never will under this claim. */
  Withdrawn = "withdrawn",
}

/** A holder's answer to a claim. */
export interface ClaimVoteMessage {
  kind: MessageKind.ClaimVote;
  id: string;
  vote: Vote;
  /** State of the claim that holds the key. */
  state: ClaimState;
  /** Whether the holding claim has the same body. */
  sameBody: boolean;
}

/** A claimer tells how its call ended. */
export interface ClaimOutcomeMessage {
  kind: MessageKind.ClaimOutcome;
  id: string;
  key: string;
  state: ClaimState;
}

/** A restarted or new holder asks for the records that it must hold. */
export interface ClaimSyncMessage {
  kind: MessageKind.ClaimSync;
  /** VM whose records are wanted. */
  vm: string;
  /** Hash of the asker's list of entry VMs. */
  list: string;
}

/** Answer to a sync, in parts. */
export interface ClaimRecordsMessage {
  kind: MessageKind.ClaimRecords;
  /** Hash of the list for which the records were chosen. */
  list: string;
  records: ClaimRecord[];
  last: boolean;
  /**
   * Hash of the sender's former list if its records had no gap under that;
   * empty otherwise.
   */
  wholeUnder: string;
  /** Whether they have no gap under its present list. */
  settled: boolean;
}

/** What a holder keeps of a claim. */
export interface ClaimRecord {
  key: string;
  /** Identifier of the claim. */
  claim: string;
  fingerprint: string;
  state: ClaimState;
  /** Age of the record in milliseconds. */
  ageMs: number;
}

/** Revisions of the documents that the sender has in force. */
export interface DigestMessage {
  kind: MessageKind.Digest;
  /** Revision and content hash by document key. */
  documents: Record<string, [revision: number, digest: string]>;
  listRevision: number;
  /** Whether the sender has compared this with its own peers. */
  settled: boolean;
  /** Time since the sender, or a peer of it, heard the platform. */
  platformAgeMs: number;
}

/** Asks for documents by key, and for the VM list. */
export interface FetchMessage {
  kind: MessageKind.Fetch;
  keys: string[];
  list: boolean;
}

/** Hands documents on. */
export interface DocumentsMessage {
  kind: MessageKind.Documents;
  documents: PublishedDocument[];
}

/** A document as the platform published it. */
export interface PublishedDocument {
  key: string;
  revision: number;
  text: string;
}

/** Hands the VM list on. */
export interface VmListMessage {
  kind: MessageKind.VmList;
  revision: number;
  vms: PublishedVm[];
}

/** A VM of the platform's list. */
export interface PublishedVm {
  name: string;
  dataCentre: string;
  region: string;
  /** `entry` runs this system; `upstream` runs an upstream. */
  kind: "entry" | "upstream";
  state: "live" | "leaving";
  /** `host:port` of the broker on an entry VM; empty otherwise. */
  broker: string;
  /** `host:port` of the entry's admin server; empty otherwise. */
  entryAdmin: string;
}

/** Tells that a fingerprint crashed upstreams. */
export interface QuarantineMessage {
  kind: MessageKind.Quarantine;
  fingerprint: string;
  /** Identifiers of the crashes with it in flight so far. */
  crashes: string[];
  /** Those of them after which a call of it was answered whole. */
  cleared: string[];
  /** Remaining time in milliseconds. */
  remainingMs: number;
}

/** Every message by kind. */
export interface MessageTypes {
  [MessageKind.Hello]: HelloMessage;
  [MessageKind.Proof]: ProofMessage;
  [MessageKind.Ask]: AskMessage;
  [MessageKind.CancelAsk]: CancelAskMessage;
  [MessageKind.Grant]: GrantMessage;
  [MessageKind.Refuse]: RefuseMessage;
  [MessageKind.Done]: DoneMessage;
  [MessageKind.Beat]: BeatMessage;
  [MessageKind.Back]: BackMessage;
  [MessageKind.Release]: ReleaseMessage;
  [MessageKind.Claim]: ClaimMessage;
  [MessageKind.ClaimVote]: ClaimVoteMessage;
  [MessageKind.ClaimOutcome]: ClaimOutcomeMessage;
  [MessageKind.ClaimSync]: ClaimSyncMessage;
  [MessageKind.ClaimRecords]: ClaimRecordsMessage;
  [MessageKind.Digest]: DigestMessage;
  [MessageKind.Fetch]: FetchMessage;
  [MessageKind.Documents]: DocumentsMessage;
  [MessageKind.VmList]: VmListMessage;
  [MessageKind.Quarantine]: QuarantineMessage;
}

/** Any message between the system's processes. */
export type Message = MessageTypes[MessageKind];

/** Table of handlers by kind of message; kinds without one are ignored. */
export type MessageHandlers<Peer> = {
  [Kind in MessageKind]?: (message: MessageTypes[Kind], peer: Peer) => void;
};

/** Calls the handler that a table has for a message. */
export function handleMessage<Peer>(
  handlers: MessageHandlers<Peer>,
  message: Message,
  peer: Peer,
): void {
  const handler = handlers[message.kind] as
    | ((message: Message, peer: Peer) => void)
    | undefined;
  handler?.(message, peer);
}
