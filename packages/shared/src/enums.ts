/** Closed list of error kinds; `error_kinds.ts` maps each to its answer. */
export enum ErrorKind {
  InvalidRequest = "invalid-request",
  MalformedJson = "malformed-json",
  UnsupportedMediaType = "unsupported-media-type",
  BodyTooLarge = "body-too-large",
  HeadersTooLarge = "headers-too-large",
  RequestTimeout = "request-timeout",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  UnknownModel = "unknown-model",
  UnknownService = "unknown-service",
  UnknownRoute = "unknown-route",
  NoClass = "no-class",
  Overloaded = "overloaded",
  DeadlineExceeded = "deadline-exceeded",
  NoUpstream = "no-upstream",
  Quarantined = "quarantined",
  DuplicateKey = "duplicate-key",
  KeyMismatch = "key-mismatch",
  ClaimUnavailable = "claim-unavailable",
  OutcomeUnknown = "outcome-unknown",
  UpstreamFailed = "upstream-failed",
  IncompleteAnswer = "incomplete-answer",
  Stopping = "stopping",
  NotReady = "not-ready",
  Internal = "internal",
}

/** What a refusal says of the request: whether an upstream ran it. */
export enum RunState {
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  Ran = "ran",
}

/** The two roles a process can have, and that of a link for claims. */
export enum Role {
  Entry = "entry",
  Broker = "broker",
  /** A link of either, for claims on idempotency keys only. */
  Claimer = "claimer",
}

/** Kinds of upstream: a model engine or a plain HTTP service. */
export enum UpstreamKind {
  ModelRunner = "model-runner",
  PlainService = "plain-service",
}

/** Whether operators keep a data centre, VM or upstream in service. */
export enum ServiceState {
  InService = "in-service",
  OutOfService = "out-of-service",
}

/** State of a VM in the platform's list. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** How a call to an upstream ended, reported with its permit. */
export enum CallOutcome {
  /** The whole answer arrived. */
  Complete = "complete",
  /** The caller went away and the call was cancelled. */
  Cancelled = "cancelled",
  /** No connection: nothing was sent. */
  ConnectFailed = "connect-failed",
  /** The upstream refused for load (429 or 503). */
  Refused = "refused",
  /** The upstream answered an error of the request's own making. */
  Rejected = "rejected",
  /** The connection broke while the call ran. */
  Crashed = "crashed",
  /** The call ran out of time. */
  TimedOut = "timed-out",
  /** The permit ran out before the call began: nothing was sent. */
  Unused = "unused",
}

/** Kinds of event in the time line. */
export enum EventKind {
  RequestReceived = "request-received",
  RequestAnswered = "request-answered",
  RequestRefused = "request-refused",
  PermitAsked = "permit-asked",
  PermitGranted = "permit-granted",
  PermitRefused = "permit-refused",
  PermitReturned = "permit-returned",
  AttemptStarted = "attempt-started",
  AttemptResumed = "attempt-resumed",
  AttemptEnded = "attempt-ended",
  LeaseGranted = "lease-granted",
  LeaseExpired = "lease-expired",
  LeadershipTaken = "leadership-taken",
  LeadershipLost = "leadership-lost",
  MembershipChanged = "membership-changed",
  RevisionAccepted = "revision-accepted",
  RevisionRefused = "revision-refused",
  LimitChanged = "limit-changed",
  Quarantined = "quarantined",
  ClaimDecided = "claim-decided",
  ProcessStarted = "process-started",
  ProcessStopping = "process-stopping",
}

/** Parts of the system that write logs; the table gives each its prefix. */
export enum LogPart {
  Entry = "entry",
  Broker = "broker",
  Leader = "leader",
  Link = "link",
  Platform = "platform",
  Document = "document",
  Claims = "claims",
  Admin = "admin",
  StandIn = "standIn",
  Demo = "demo",
  Command = "command",
}

/** Fixed log prefix of each part. */
export const LOG_PREFIXES: Record<LogPart, string> = {
  [LogPart.Entry]: "entry",
  [LogPart.Broker]: "broker",
  [LogPart.Leader]: "leader",
  [LogPart.Link]: "link",
  [LogPart.Platform]: "platform",
  [LogPart.Document]: "document",
  [LogPart.Claims]: "claims",
  [LogPart.Admin]: "admin",
  [LogPart.StandIn]: "stand-in",
  [LogPart.Demo]: "demo",
  [LogPart.Command]: "command",
};
