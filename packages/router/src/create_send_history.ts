import { AttemptResult, RetryDenial, RouteKind, SendKind } from "./enums.ts";
import type { Route } from "./ports.ts";

/** One send of a request, from the choice of its receiver on. */
export interface RequestSend {
  /** Whether the request may be written now, as of all other sends. */
  isAllowed(): boolean;
  /** The request is about to be written; it may be executed from now on. */
  onSent(): void;
  /** The send has ended, whether or not it was written. */
  onEnd(result: AttemptResult): void;
}

/**
 * All sends of one request, by this VM. Whether a request may be sent, as a
 * first call, a retry, a standby, a resume or through another VM, is decided
 * here and by nothing else: from all that was sent, not from the last result,
 * and never after the request has ended.
 */
export interface SendHistory {
  /** Number of sends, also those of a VM that passed the request on. */
  count(): number;
  /** Number of sends after which the request may have been executed. */
  possibleRuns(): number;
  /** Why a further send of this kind is not allowed; undefined if it is. */
  denialOf(kind: SendKind): RetryDenial | undefined;
  /**
   * Whether a further send is covered by the first send or by a retry that was
   * taken from the allowance and not used.
   */
  isCovered(): boolean;
  /** A retry was taken from the allowance. */
  onRetryTaken(): void;
  /** Adds a send that has not been written yet. */
  begin(kind: SendKind): RequestSend;
}

/** Dependencies of a send history. */
export interface SendHistoryOptions {
  route: Pick<Route, "kind" | "isResumable" | "maxAttempts">;
  /** Sends of the VM that passed the request on; 0 for a caller's request. */
  earlierSends: number;
  /** Aborted when the request has ended: its caller has left or been answered. */
  signal: AbortSignal;
}

/** Progress of a send. */
enum SendState {
  /** Not written yet. */
  Waiting,
  /** Written; it may have been executed. */
  Sent,
  /** Written, and declared as not executed by its receiver. */
  NotExecuted,
  /** Ended without having been written. */
  Unsent,
}

/** Whether a route's requests may be executed more than once. */
export function isRetryable(
  route: Pick<Route, "kind" | "isResumable">,
): boolean {
  if (route.kind === RouteKind.Stream) return route.isResumable;
  return route.kind === RouteKind.Idempotent;
}

/** Creates the history of a request that this VM has not sent yet. */
export function createSendHistory(options: SendHistoryOptions): SendHistory {
  const { route, earlierSends, signal } = options;
  const sends = new Set<{ kind: SendKind; state: SendState }>();
  /** Sends that are covered, also those that were made. */
  let covered = earlierSends + 1;

  function countIn(state: SendState): number {
    let count = 0;
    for (const send of sends) if (send.state === state) count++;
    return count;
  }

  function possibleRuns(): number {
    return countIn(SendState.Sent);
  }

  function count(): number {
    return earlierSends + possibleRuns() + countIn(SendState.NotExecuted);
  }

  function denialOf(kind: SendKind): RetryDenial | undefined {
    if (signal.aborted) return RetryDenial.Ended;
    // The continuation of a run is not a further one.
    if (kind === SendKind.Continue) return undefined;
    if (possibleRuns() > 0 && !isRetryable(route)) {
      return RetryDenial.MayHaveRun;
    }
    return count() >= route.maxAttempts && count() > 0
      ? RetryDenial.Attempts
      : undefined;
  }

  return {
    count,
    possibleRuns,
    denialOf,
    isCovered: () => count() + countIn(SendState.Waiting) < covered,
    onRetryTaken: () => void covered++,
    begin(kind) {
      const send = { kind, state: SendState.Waiting };
      sends.add(send);
      return {
        isAllowed: () => denialOf(kind) === undefined,
        onSent: () => void (send.state = SendState.Sent),
        onEnd(result) {
          if (send.state === SendState.Waiting) send.state = SendState.Unsent;
          if (result !== AttemptResult.NotRun) return;
          // A VM that refuses a request has not sent it.
          send.state = kind === SendKind.Relay
            ? SendState.Unsent
            : SendState.NotExecuted;
        },
      };
    },
  };
}
