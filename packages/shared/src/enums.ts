/** All kinds of error that callers receive; see `error_kinds.ts`. */
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
  TrialPending = "trial-pending",
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

/** Whether an upstream ran a request that ended with an error. */
export enum RunState {
  NotRun = "not-run",
  /** An upstream may have run the request; this cannot be known. */
  MayHaveRun = "may-have-run",
  Ran = "ran",
}

/** Roles of a process, and the role of a link that is for claims only. */
export enum Role {
  Entry = "entry",
  Broker = "broker",
  /** A link from a process of either role for claims on idempotency keys. */
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

/** State of a VM in the platform's list of VMs. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** Outcome of a call to an upstream, reported when its permit is returned. */
export enum CallOutcome {
  /** The complete response arrived. */
  Complete = "complete",
  /** The caller disconnected, so the call was cancelled. */
  Cancelled = "cancelled",
  /** No connection could be opened: nothing was sent. */
  ConnectFailed = "connect-failed",
  /** The upstream refused the call because of load (429 or 503). */
  Refused = "refused",
  /** The upstream responded with an error that the request itself caused. */
  Rejected = "rejected",
  /**
   * The call failed after it was sent: the connection broke, the response was
   * invalid or incomplete, or it had a 5xx status other than 503.
   */
  Crashed = "crashed",
  /** The call exceeded its deadline, or its response stalled. */
  TimedOut = "timed-out",
  /**
   * The call ended before anything was sent, as when its permit or deadline
   * expired or the caller disconnected.
   */
  Unused = "unused",
}

/** Kinds of event in the timeline. */
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

/** Components that write logs; `LOG_PREFIXES` has the prefix of each. */
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

/** Prefix of the log lines of each component. */
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
