import type { CallOutcome, ErrorKind, Role } from "@rosemarytiller/shared";

/** Kinds of messages between the system's processes. */
export enum MessageKind {
  Hello = "hello",
  Proof = "proof",
  PermitRequest = "ask",
  CancelPermitRequest = "cancel-ask",
  Grant = "grant",
  Refuse = "refuse",
  PermitReturn = "done",
  Heartbeat = "beat",
  Backing = "back",
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

/** First message that each side of a link sends. */
export interface HelloMessage {
  kind: MessageKind.Hello;
  /** Name of the sender's VM. */
  vm: string;
  role: Role;
  /** Number of this process start, in decimal digits; larger at each start. */
  incarnation: string;
  /** Random challenge that the peer must sign with the link key. */
  nonce: string;
  /** `SHAPES_HASH` of the sender. */
  shapes?: string;
}

/** Proves that the sender has the link key. */
export interface ProofMessage {
  kind: MessageKind.Proof;
  /**
   * HMAC-SHA-256 over the peer's nonce and the sender's VM, role and
   * incarnation, in base64url.
   */
  proof: string;
}

/** An entry requests a permit from the leader of a pool. */
export interface PermitRequestMessage {
  kind: MessageKind.PermitRequest;
  /** Identifier of the permit request, unique per entry process. */
  id: string;
  /** Identifier of the request that needs the permit, for the timeline. */
  request: string;
  pool: string;
  /** Name of the request's class. */
  className: string;
  client: string;
  /** Maximum remaining time in the queue, in milliseconds. */
  queueMs: number;
  /** Estimated size of the prompt in tokens. */
  promptTokens: number;
  /** Hash of the prompt's prefix, for prefix-cache affinity. */
  prefix: string;
  /** Hash of client, target, method, path and body, for quarantine. */
  fingerprint: string;
  /** Upstreams that this request should not be sent to again. */
  avoid: string[];
  /** Whether this is a retry of the same request. */
  retry: boolean;
  /**
   * The entry's monotonic clock at sending, in milliseconds; strictly larger
   * than in its earlier messages.
   */
  stamp: number;
}

/** An entry cancels a permit request. */
export interface CancelPermitRequestMessage {
  kind: MessageKind.CancelPermitRequest;
  id: string;
}

/** A leader grants a permit: one call to one upstream. */
export interface GrantMessage {
  kind: MessageKind.Grant;
  /** Identifier of the permit request. */
  id: string;
  /** Identifier of the permit. */
  permit: string;
  upstream: string;
  /**
   * Latest stamp from the entry that the leader had received when it granted.
   * The call must start before this time plus the grant's validity
   * (`GRANT_VALID_MS`), measured on the entry's clock.
   */
  stamp: number;
}

/** A leader refuses a permit request. */
export interface RefuseMessage {
  kind: MessageKind.Refuse;
  /** Identifier of the permit request. */
  id: string;
  error: ErrorKind;
  detail: string;
  /** Delay before the next attempt, in milliseconds. */
  retryAfterMs: number;
}

/** An entry returns a permit with the call's outcome. */
export interface PermitReturnMessage {
  kind: MessageKind.PermitReturn;
  permit: string;
  /** Name of the pool; empty if the entry has no record of it any more. */
  pool: string;
  upstream: string;
  outcome: CallOutcome;
  /**
   * Time to the first token of a stream, to the complete response of a
   * non-streaming call, or to the response headers of a plain service, in
   * milliseconds; -1 if that did not arrive.
   */
  firstTokenMs: number;
  /** Duration of the whole call, in milliseconds. */
  totalMs: number;
  /** Tokens received; 1 for a non-streaming response, 0 for a plain service. */
  tokens: number;
  /** False for a non-streaming response of a model, which has no first token. */
  streamed: boolean;
}

/**
 * Heartbeat of a broker: one on each new link to an entry or broker; further
 * ones to entries only, periodically and if the wanted leases change.
 */
export interface HeartbeatMessage {
  kind: MessageKind.Heartbeat;
  /** The broker's monotonic clock at sending, in milliseconds. */
  stamp: number;
  /** Whether the next heartbeats are less frequent, for lack of traffic. */
  idle: boolean;
  /** Leases for which the broker requests backing; absent if unchanged. */
  wants?: string[];
  /** Leases for which an entry backs the broker; absent if unchanged. */
  leads?: string[];
  /**
   * Summaries of the pools that the broker leads; sent with some heartbeats
   * only, empty in the others.
   */
  pools: PoolSummary[];
  /** Revision of the documents in force at the broker. */
  revision: number;
  /** Revision of the broker's VM list. */
  listRevision: number;
}

/** State of a pool as its leader publishes it. */
export interface PoolSummary {
  pool: string;
  /** Free capacity: number of calls that could start now. */
  free: number;
  /** Expected queue time in milliseconds for each tier, highest first. */
  waitMs: number[];
}

/**
 * An entry's vote for a broker as the leader of leases (its backing), with a
 * report of its live permits. A lease covers pools that share upstreams.
 */
export interface BackingMessage {
  kind: MessageKind.Backing;
  /** Stamp of the heartbeat that this answers; 0 before the first one. */
  echo: number;
  /**
   * The entry's monotonic clock at sending, in milliseconds; strictly larger
   * than in its earlier messages.
   */
  stamp: number;
  /** Revision of the entry's VM list. */
  listRevision: number;
  /** Age of that list as observed at the entry, in milliseconds. */
  listAgeMs: number;
  /** Whether all calls of earlier processes on the VM must have ended. */
  vouches: boolean;
  /**
   * Leases for which it backs the broker, each with its term, a number that is
   * larger for each new backing; absent if unchanged.
   */
  terms?: [lease: string, term: number][];
  /**
   * All live permits by lease, for the leases with a new term on this link;
   * absent if `terms` is.
   */
  live?: Record<string, LivePermit[]>;
  /** Leases for which a higher-ranked broker has been reachable for a while. */
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

/** A leader no longer counts the receiver's backing for these leases. */
export interface ReleaseMessage {
  kind: MessageKind.Release;
  leases: string[];
  /** Whether the broker is about to stop. */
  stopping: boolean;
}

/** An entry claims an idempotency key at one of its holders. */
export interface ClaimMessage {
  kind: MessageKind.Claim;
  id: string;
  /** Hash of client, service, target and idempotency key. */
  key: string;
  /**
   * Hash of method, path and body; detects a different request with the same
   * key.
   */
  fingerprint: string;
  /** Holders of the key according to the claimer's VM list. */
  holders: string[];
}

/** A holder's vote on a claim. */
export enum Vote {
  /** First claim seen; recorded. */
  Granted = "granted",
  /** Another claim has the key. */
  Taken = "taken",
  /** Recorded, but the holder cannot exclude an earlier claim. */
  Unverified = "young",
  /**
   * The voter has no VM list, is no holder of the key, or has a list of holders
   * that differs from the claimer's.
   */
  HolderListMismatch = "other-list",
  /** The holder has no free capacity for records. */
  Full = "full",
}

/** State of the request that a claim was made for. */
export enum ClaimState {
  /** The request may run or may have run. */
  Open = "open",
  /** An upstream has answered the request. */
  Ran = "ran",
  /** The request has not run and will never run under this claim. */
  Withdrawn = "withdrawn",
}

/** A holder's answer to a claim. */
export interface ClaimVoteMessage {
  kind: MessageKind.ClaimVote;
  id: string;
  vote: Vote;
  /**
   * For `Vote.Taken`, the state of the conflicting claim, `Ran` if any has run;
   * `Open` for other votes.
   */
  state: ClaimState;
  /**
   * For `Vote.Taken`, whether the other claim has the same fingerprint; else
   * true.
   */
  sameBody: boolean;
}

/** A claimer reports the outcome of its call to a holder. */
export interface ClaimOutcomeMessage {
  kind: MessageKind.ClaimOutcome;
  id: string;
  key: string;
  state: ClaimState;
}

/** A restarted or new holder requests the records that it must have. */
export interface ClaimSyncMessage {
  kind: MessageKind.ClaimSync;
  /** VM of the requester, which is a holder of the requested records. */
  vm: string;
  /** Hash of the requester's list of entry VMs. */
  list: string;
}

/** Response to a `ClaimSyncMessage`; may be split into several messages. */
export interface ClaimRecordsMessage {
  kind: MessageKind.ClaimRecords;
  /** Hash of the VM list for which the records were selected. */
  list: string;
  records: ClaimRecord[];
  /** Whether this is the last message of the response. */
  last: boolean;
  /**
   * Hash of the sender's previous VM list if its records were complete under
   * that list; empty otherwise.
   */
  wholeUnder: string;
  /** Whether the records are complete under the sender's current list. */
  settled: boolean;
}

/** A holder's record of a claim. */
export interface ClaimRecord {
  key: string;
  /** Identifier of the claim. */
  claim: string;
  fingerprint: string;
  state: ClaimState;
  /** Age of the record in milliseconds. */
  ageMs: number;
}

/** Revisions of the documents in force at the sender. */
export interface DigestMessage {
  kind: MessageKind.Digest;
  /** Revision and content hash, by document key. */
  documents: Record<string, [revision: number, digest: string]>;
  listRevision: number;
  /** Whether the sender has compared these revisions with its own peers. */
  settled: boolean;
  /**
   * Time since the sender or one of its peers last received from the platform,
   * in milliseconds; `Infinity` if none has.
   */
  platformAgeMs: number;
}

/** Requests documents by key, and optionally the VM list. */
export interface FetchMessage {
  kind: MessageKind.Fetch;
  keys: string[];
  /** Whether the VM list is requested too. */
  list: boolean;
}

/** Sends documents to a peer. */
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

/** Sends the VM list to a peer. */
export interface VmListMessage {
  kind: MessageKind.VmList;
  revision: number;
  vms: PublishedVm[];
}

/** A VM in the platform's list. */
export interface PublishedVm {
  name: string;
  dataCentre: string;
  region: string;
  /** `entry` runs this system's processes; `upstream` runs an upstream. */
  kind: "entry" | "upstream";
  /** A `leaving` VM gets no new calls and is not selected as a leader. */
  state: "live" | "leaving";
  /** `host:port` of the broker on an entry VM; empty otherwise. */
  broker: string;
  /** `host:port` of the entry's admin server; empty otherwise. */
  entryAdmin: string;
}

/** Reports that requests with a fingerprint crashed upstreams. */
export interface QuarantineMessage {
  kind: MessageKind.Quarantine;
  fingerprint: string;
  /** Identifiers of the crashes so far with such a request in flight. */
  crashes: string[];
  /** Those crashes after which such a request was answered completely. */
  cleared: string[];
  /** Time until the record expires, in milliseconds. */
  remainingMs: number;
}

/** Message type for each kind. */
export interface MessageTypes {
  [MessageKind.Hello]: HelloMessage;
  [MessageKind.Proof]: ProofMessage;
  [MessageKind.PermitRequest]: PermitRequestMessage;
  [MessageKind.CancelPermitRequest]: CancelPermitRequestMessage;
  [MessageKind.Grant]: GrantMessage;
  [MessageKind.Refuse]: RefuseMessage;
  [MessageKind.PermitReturn]: PermitReturnMessage;
  [MessageKind.Heartbeat]: HeartbeatMessage;
  [MessageKind.Backing]: BackingMessage;
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

/** Union of all messages between the system's processes. */
export type Message = MessageTypes[MessageKind];

/** Handlers by message kind; messages of kinds without one are ignored. */
export type MessageHandlers<Peer> = {
  [Kind in MessageKind]?: (message: MessageTypes[Kind], peer: Peer) => void;
};

/** Calls the handler for the message's kind; does nothing if there is none. */
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
