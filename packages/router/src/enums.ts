/** What may be repeated, by the kind of a route. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once. */
  NonIdempotent = "non-idempotent",
  /** A stream of events; runs at most once unless it can be resumed. */
  Stream = "stream",
}

/** Events of the structured log; one line each. */
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
  DataCentreChanged = "data-centre-changed",
  MemberChanged = "member-changed",
  PlatformLost = "platform-lost",
  PlatformRegained = "platform-regained",
  PulledFromPeer = "pulled-from-peer",
  RequestCrashedUpstream = "request-crashed-upstream",
  Placed = "placed",
  AttemptEnded = "attempt-ended",
  Resumed = "resumed",
  Refused = "refused",
  Answered = "answered",
  Cut = "cut",
  CallerLeft = "caller-left",
  Failure = "failure",
}

/** How an attempt at an upstream ended. */
export enum AttemptResult {
  /** No byte left: nothing was sent. */
  Unsent = "unsent",
  /** The upstream said that it did not run the request. */
  NotRun = "not-run",
  /** A whole answer. */
  Whole = "whole",
  /** The upstream or its connection broke; the request may have run. */
  Broken = "broken",
  /** Nothing was heard for too long; the request may have run. */
  Silent = "silent",
  /** The caller went away or the time was up. */
  Aborted = "aborted",
}
