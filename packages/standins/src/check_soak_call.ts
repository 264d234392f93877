import {
  type AttemptPlan,
  type Execution,
  ExecutionEnd,
  MIN_TIMEOUT_MS,
} from "./soak_attempt.ts";
import {
  FAILED_BODY,
  plainBody,
  readPathOrder,
  streamBody,
} from "./soak_responses.ts";

/** Kinds of violated guarantees. */
export enum Violation {
  Repeated = "ran too often",
  Overlap = "ran at two upstreams at once",
  FalseRefusal = "refused though run",
  Unauthorized = "ran without a key",
  Denied = "denied",
  WrongResponse = "wrong response",
  Lost = "lost",
  Unanswered = "unanswered",
  Silence = "ended by a silence",
  MixedVersions = "mixed versions",
  RetryBound = "too many retries",
  Exited = "process ended by itself",
  Reverted = "configuration went back",
  NotContained = "sent on though it crashes upstreams",
  WronglyQuarantined = "sound requests quarantined",
  OverLimit = "more calls than an upstream's limit",
  Departed = "sent to an upstream that had left",
}

/** One attempt of a caller, as it ended. */
export interface AttemptOutcome extends AttemptPlan {
  /** Status; 0 if the connection ended before a response. */
  status: number;
  /** Body that was received. */
  received: string;
  /** Whether the body arrived completely, according to its framing. */
  isComplete: boolean;
  /** Whether the caller itself closed the connection. */
  wasAbandoned: boolean;
  /** Whether the router was killed meanwhile, without a planned stop. */
  wasRouterKilled: boolean;
  startedMs: number;
  /** Time at which the last byte was sent; undefined if it never was. */
  sentMs: number | undefined;
  endedMs: number;
  /** Error of the connection; empty if there was none. */
  error: string;
}

/** A violated guarantee and what was seen. */
export interface Finding {
  kind: Violation;
  detail: string;
}

/** Statuses by which the router guarantees that the request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Statuses that deny a request for good. */
const DENIAL_STATUSES = new Set([400, 401, 403, 404, 413, 431]);
/** Attempts at upstreams that the configuration allows for retryable routes. */
const MAX_ATTEMPTS = 2;
/**
 * Time after the last byte was sent within which a connection may end without a
 * response if the request reached no upstream, in milliseconds: the request may
 * have crossed the router's close.
 */
const CROSSING_MS = 200;
/**
 * Error if a process closed a connection without having read all that was sent
 * to it; after a complete read, the connection ends without a reset.
 */
const UNREAD_ERROR = "read ECONNRESET";
/** Longest time for which two upstreams may work on a stream, in ms. */
const MAX_OVERLAP_MS = 400;
/** Time after its deadline at which a request counts as never answered. */
export const UNANSWERED_MS = 3000;

/** Returns the guarantees that an attempt's response violates. */
export function checkSoakCall(
  outcome: AttemptOutcome,
  executions: readonly Execution[],
): Finding[] {
  const findings = [
    checkCompletion(outcome, executions),
    checkSilence(outcome, executions),
    checkResponse(outcome, executions),
  ];
  return findings.filter((finding) => finding !== undefined);
}

/** Returns the versions named by a stream's events. */
export function versionsOf(body: string): string[] {
  const names = [...body.matchAll(/^data: (\S+) token-\d+$/gm)]
    .map(([, name]) => name!);
  return [...new Set(names)];
}

/** Returns the id of the last complete event; undefined if there is none. */
export function lastEventIdOf(body: string): number | undefined {
  const ids = [...body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)];
  const id = ids.at(-1)?.[1];
  return id === undefined ? undefined : Number(id);
}

/** Whether the deadline or the shortest timeout had passed. */
function isExpired(outcome: AttemptOutcome, afterMs = 0): boolean {
  const { startedMs, endedMs, deadlineMs } = outcome;
  return endedMs - startedMs >= Math.min(deadlineMs, MIN_TIMEOUT_MS) + afterMs;
}

function describeRuns(executions: readonly Execution[]): string {
  return executions.map(({ upstream, end, wasSilent }) =>
    `${upstream} ${end}${wasSilent ? " (silent)" : ""}`
  ).join(", ");
}

/**
 * Returns the guarantee that an attempt's executions violate, if any. To be
 * called after the soak, as a request may also run after its response.
 */
export function checkSoakRuns(
  { path, status, received, hasUnknownKey }: AttemptOutcome,
  executions: readonly Execution[],
): Finding | undefined {
  const runs =
    executions.filter((execution) =>
      execution.end !== ExecutionEnd.Refused && !execution.isFromBackup
    ).length;
  const mayRepeat = !/^\/(writes|streams)\//.test(path);
  if (runs > (mayRepeat ? MAX_ATTEMPTS : 1)) {
    return { kind: Violation.Repeated, detail: describeRuns(executions) };
  }
  if (runs > 0 && hasUnknownKey) {
    return { kind: Violation.Unauthorized, detail: describeRuns(executions) };
  }
  if (runs > 0 && NOT_RUN_STATUSES.has(status)) {
    const detail = `status ${status}: ${received}; ${describeRuns(executions)}`;
    return { kind: Violation.FalseRefusal, detail };
  }
  return undefined;
}

/**
 * Returns whether a stream went on at an upstream while the one before still
 * worked on it. An upstream that was out of reach can't know that it was given
 * up.
 */
export function checkOverlap(
  { path }: AttemptOutcome,
  executions: readonly Execution[],
): Finding | undefined {
  if (!readPathOrder(path).isStream) return undefined;
  for (const [index, next] of executions.slice(1).entries()) {
    const before = executions[index]!;
    // A request that may be repeated may run twice until a stream has begun.
    if ((before.firstEventMs ?? Infinity) > next.arrivedMs) continue;
    if (before.wasDark) continue;
    if (next.end === ExecutionEnd.Refused) continue;
    const endMs = Math.min(
      before.closedMs ?? Infinity,
      next.closedMs ?? Infinity,
    );
    const overlapMs = Math.round(endMs - next.arrivedMs);
    if (overlapMs <= MAX_OVERLAP_MS) continue;
    const detail = `${overlapMs} ms; ${describeRuns(executions)}`;
    return { kind: Violation.Overlap, detail };
  }
  return undefined;
}

/** A request that was sent gets a complete response unless it is excused. */
function checkCompletion(
  outcome: AttemptOutcome,
  executions: readonly Execution[],
): Finding | undefined {
  const { isComplete, wasAbandoned, wasRouterKilled, error } = outcome;
  if (isComplete || wasAbandoned || wasRouterKilled) return undefined;
  if (isExpired(outcome, UNANSWERED_MS)) {
    return { kind: Violation.Unanswered, detail: describeRuns(executions) };
  }
  if (outcome.sentMs === undefined || isExpired(outcome)) return undefined;
  if (
    executions.some(({ end, wasDark }) =>
      end === ExecutionEnd.Broken || wasDark
    )
  ) {
    return undefined;
  }
  if (checkSilence(outcome, executions)) return undefined;
  const waitedMs = Math.round(outcome.endedMs - outcome.sentMs);
  if (executions.length === 0) {
    const isUnread = outcome.status === 0 && error === UNREAD_ERROR;
    if (isUnread || waitedMs <= CROSSING_MS) return undefined;
  }
  const detail = `${error} ${waitedMs} ms after it was sent, status ` +
    `${outcome.status}, ${outcome.received.length} bytes; ` +
    `upstreams: ${describeRuns(executions) || "none"}`;
  return { kind: Violation.Lost, detail };
}

/**
 * An upstream's silence is no reason to end its call. It did not end it if the
 * upstream responded with an error of its own, or if another one had taken over
 * with events and then broke off.
 */
function checkSilence(
  outcome: AttemptOutcome,
  executions: readonly Execution[],
): Finding | undefined {
  const { isComplete, status, received } = outcome;
  if (outcome.wasAbandoned || outcome.wasRouterKilled) return undefined;
  if (isExpired(outcome) || isComplete && status === 200) return undefined;
  const wasCut = isComplete && received === FAILED_BODY
    ? wasCutBeforeError(executions)
    : wasCutBySilence(executions);
  if (!wasCut) return undefined;
  const detail = `status ${status}; ${describeRuns(executions)}`;
  return { kind: Violation.Silence, detail };
}

/** Whether the router cancelled a silent call before another one replaced it. */
function wasCutBySilence(executions: readonly Execution[]): boolean {
  const last = executions.at(-1);
  if (last?.end === ExecutionEnd.Broken && last.hasEvents) return false;
  // The rest of what the router gave up may have been on its way already.
  return executions.some((execution, index) =>
    execution.wasSilent && !hasOwnError(execution) &&
    execution.end !== ExecutionEnd.Refused &&
    execution.end !== ExecutionEnd.Broken &&
    !wasReplacedByFirst(executions, index)
  );
}

/**
 * Whether a call without events was a standby that was cancelled as the first
 * call went on, which then broke off.
 */
function wasReplacedByFirst(
  executions: readonly Execution[],
  index: number,
): boolean {
  const { end, hasEvents } = executions[index]!;
  if (end !== ExecutionEnd.Cancelled || hasEvents) return false;
  return executions.slice(0, index).some((first) =>
    first.end === ExecutionEnd.Broken && first.hasEvents
  );
}

/** Whether the router cancelled a silent call and then forwarded an error. */
function wasCutBeforeError(executions: readonly Execution[]): boolean {
  const lastError = executions.findLastIndex(hasOwnError);
  return executions.some(({ wasSilent, end }, index) =>
    index < lastError && wasSilent && end === ExecutionEnd.Cancelled
  );
}

/** Whether an upstream responded with an error before the call was cancelled. */
function hasOwnError({ isError, end }: Execution): boolean {
  return isError && end !== ExecutionEnd.Cancelled;
}

function checkResponse(
  outcome: AttemptOutcome,
  executions: readonly Execution[],
): Finding | undefined {
  const { path, status, isComplete, firstEvent: first } = outcome;
  const { received: body } = outcome;
  if (outcome.isProper && DENIAL_STATUSES.has(status)) {
    return { kind: Violation.Denied, detail: `status ${status}: ${body}` };
  }
  if (status !== 200) return undefined;
  const versions = versionsOf(body);
  if (versions.length > 1) {
    const detail = `${versions.join(" ")}; ${describeRuns(executions)}`;
    return { kind: Violation.MixedVersions, detail };
  }
  const wrong = (detail: string) => ({ kind: Violation.WrongResponse, detail });
  if (readPathOrder(path).isStream) {
    const whole = streamBody(path, { first, version: versions[0] ?? "" });
    const isRight = isComplete ? body === whole : whole.startsWith(body);
    if (!isRight) {
      const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
      return wrong(`event ids ${ids.join(" ")}`);
    }
  } else if (isComplete && body !== plainBody(path)) {
    return wrong(`body of ${body.length} bytes: ${body.slice(0, 80)}`);
  }
  if (isComplete && executions.length === 0) return wrong("nothing ran");
  return undefined;
}
