/** Kinds of route; they decide which requests may be retried. */
export enum RouteKind {
  /** May be executed more than once. */
  Idempotent = "idempotent",
  /** Executed at most once. */
  NonIdempotent = "non-idempotent",
  /** Event stream; executed at most once unless the stream is resumable. */
  Stream = "stream",
}

/** Kinds of fact that all VMs share; the first value of each fact. */
export enum FactKind {
  /**
   * Followed by a crash, the fingerprints of a request in flight, the crashes
   * known when it was sent, and parts.
   */
  Crash = "crash",
  /** Followed by a suspect and a crash that it did not cause. */
  Cleared = "cleared",
  /** Followed by an upstream and its run that is about to stop. */
  Leaving = "leaving",
  /** Followed by a quarantined suspect and the token of a claim to try it. */
  Trial = "trial",
  /** Followed by the same and how the trial ended. */
  TrialEnded = "trial-ended",
  /** Alone: the facts reach back as far as a quarantine lasts. */
  Complete = "complete",
}

/** Values of the `event` field of log lines. */
export enum LogEvent {
  Started = "started",
  Stopping = "stopping",
  Stopped = "stopped",
  SettingsReloaded = "settings-reloaded",
  SettingsRefused = "settings-refused",
  ConfigurationAccepted = "configuration-accepted",
  ItemRefused = "item-refused",
  UpstreamChanged = "upstream-changed",
  UpstreamDown = "upstream-down",
  /** This VM lost its links to all upstreams of a service, or regained one. */
  ServiceReach = "service-reach",
  /** This VM checked whether it reaches an upstream. */
  UpstreamProbed = "upstream-probed",
  /** An upstream announced in a response that it is about to stop. */
  UpstreamLeaving = "upstream-leaving",
  /** An upstream asked this VM to send nothing for a time. */
  UpstreamPaused = "upstream-paused",
  /** What an upstream's responses say about its call limit has changed. */
  UpstreamLimited = "upstream-limited",
  /** What a service's upstreams say about being brittle has changed. */
  ServiceBrittle = "service-brittle",
  /** A response's retry-after can't be read. */
  RetryAfterIgnored = "retry-after-ignored",
  DataCentreChanged = "data-centre-changed",
  MemberChanged = "member-changed",
  PlatformLost = "platform-lost",
  PlatformRegained = "platform-regained",
  /** The platform was restored from an older copy; its revisions went back. */
  PlatformRestored = "platform-restored",
  PulledFromPeer = "pulled-from-peer",
  /** A call broke off; its upstream may have crashed. */
  CrashSuspected = "crash-suspected",
  RequestCrashedUpstream = "request-crashed-upstream",
  /** A request is taken for the cause of crashes. */
  QuarantineStarted = "quarantine-started",
  /** A suspect is no longer taken for the cause of crashes. */
  QuarantineEnded = "quarantine-ended",
  /** A quarantined request was not sent. */
  Quarantined = "quarantined",
  /** A quarantined request is sent once, as a trial. */
  TrialStarted = "trial-started",
  TrialEnded = "trial-ended",
  /** Facts that this VM lacked were fetched from a peer. */
  FactsPulled = "facts-pulled",
  /** A request was passed on to another VM, which reaches its service. */
  Relayed = "relayed",
  RelayEnded = "relay-ended",
  /** A request was taken from another VM. */
  RelayTaken = "relay-taken",
  Placed = "placed",
  AttemptEnded = "attempt-ended",
  /** An upstream sent nothing for a call's idle timeout. */
  CallSilent = "call-silent",
  /** A silent call was sent to another upstream as well. */
  Hedged = "hedged",
  /** A request was sent of which an earlier send may have been executed. */
  SentAgain = "sent-again",
  /** A failed call was not sent again. */
  RetryDenied = "retry-denied",
  Resumed = "resumed",
  Refused = "refused",
  /** Nearly all engines of a service are busy: accounts get their shares. */
  ContentionBegan = "contention-began",
  ContentionEnded = "contention-ended",
  /** Callers were refused or closed as they took too much; see `intake`. */
  IntakeBounded = "intake-bounded",
  Answered = "answered",
  Cut = "cut",
  CallerLeft = "caller-left",
  Failure = "failure",
}

/** What the receiver of a send does with it. */
export enum SendKind {
  /** An upstream executes the request; a started stream from an event on. */
  Run = "run",
  /** Another VM has the request executed. */
  Relay = "relay",
  /** An upstream continues an earlier run from its backup copy. */
  Continue = "continue",
}

/** Why a failed call is not sent again; the `cause` field of a log line. */
export enum RetryDenial {
  /** The caller has left, or has got the final response. */
  Ended = "ended",
  /** An earlier send may have been executed, and the route allows one run. */
  MayHaveRun = "may-have-run",
  /** The route's attempts are used up. */
  Attempts = "attempts",
  /** This VM's allowance of retries for the service is used up. */
  Allowance = "allowance",
  /** The upstream with the backup copy is out of service, or restarted. */
  BackupUnavailable = "backup-unavailable",
}

/** How an attempt at an upstream ended. */
export enum AttemptResult {
  /** No connection was established; nothing was sent. */
  Unsent = "unsent",
  /** The upstream left before the connection was established; nothing was sent. */
  Withdrawn = "withdrawn",
  /** The upstream declared that it did not execute the request. */
  NotRun = "not-run",
  /** A complete response was received, of any status but a refusal's. */
  Complete = "whole",
  /**
   * A complete response has the status of a refusal, and the upstream does not
   * state that it did not execute the request: it may have been executed.
   */
  UnstatedRefusal = "unstated-refusal",
  /**
   * The connection failed, or the response was invalid or incomplete; the
   * request may have been executed.
   */
  Broken = "broken",
  /** No bytes arrived for too long; the request may have been executed. */
  Stalled = "silent",
  /** Another attempt of the request goes on. */
  Superseded = "superseded",
  /** The caller disconnected or the request's deadline passed. */
  Aborted = "aborted",
}
