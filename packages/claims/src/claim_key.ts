import {
  type ClaimMessage,
  type ClaimOutcomeMessage,
  ClaimState,
  type ClaimVoteMessage,
  MessageKind,
  Vote,
} from "@rosemarytiller/link";
import {
  type Clock,
  createId,
  ErrorKind,
  RunState,
  TillerError,
} from "@rosemarytiller/shared";
import { claimReadQuorum, claimWriteQuorum } from "./list_claim_holders.ts";

/** Timeout for the holders' votes, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 1000;
/**
 * Time after the request for a claim in which a call may start under it, in
 * milliseconds; at most half of `horizonMs`.
 */
export const CLAIM_VALID_MS = 60_000;
/** Retry-After, in milliseconds, for a request whose key cannot be checked. */
export const CLAIM_RETRY_AFTER_MS = 2000;

/** Message transport between a claimer and the claim holders. */
export interface ClaimTransport {
  /** Sends to the broker of a VM; a message that cannot be sent is dropped. */
  send(vm: string, message: ClaimMessage | ClaimOutcomeMessage): void;
  /** Calls `onVote` for each vote on a claim until the result is called. */
  listen(
    id: string,
    onVote: (vm: string, vote: ClaimVoteMessage) => void,
  ): () => void;
}

/** A granted claim on an idempotency key, held by no other request. */
export interface Claim {
  readonly id: string;
  /** Whether a call may still start under the claim. */
  isValid(): boolean;
  /**
   * Sends the request's outcome to the holders. Nothing is sent if it may have
   * run: the holders keep the claim open.
   */
  finish(run: RunState): void;
}

/** A key to be claimed for a request. */
export interface ClaimRequest {
  /** Hash of client, service, target and idempotency key. */
  key: string;
  /** Hash of the request, to detect another request with the same key. */
  fingerprint: string;
  /** VMs that hold the key's claims by the claimer's VM list. */
  holders: string[];
}

/** Clock, transport and retention time of a claimer. */
export interface ClaimOptions {
  clock: Clock;
  transport: ClaimTransport;
  /** How long holders keep a claim, in milliseconds. */
  horizonMs: number;
}

const STATE_AFTER_RUN: Record<RunState, ClaimState> = {
  [RunState.NotRun]: ClaimState.Withdrawn,
  [RunState.MayHaveRun]: ClaimState.Open,
  [RunState.Ran]: ClaimState.Ran,
};

/**
 * Claims a key. Throws `TillerError`: `duplicate-key` or `key-mismatch` when
 * another request holds it, `claim-unavailable` when too few holders granted
 * the claim and the votes do not show that another request holds the key.
 */
export async function claimKey(
  request: ClaimRequest,
  options: ClaimOptions,
): Promise<Claim> {
  const { clock, transport, horizonMs } = options;
  const { key, holders } = request;
  const id = createId("claim");
  const requestedMs = clock.now();
  const votes = await collectVotes(id, request, { ...options, requestedMs });
  function sendOutcome(state: ClaimState): void {
    for (const vm of holders) {
      transport.send(vm, { kind: MessageKind.ClaimOutcome, id, key, state });
    }
  }
  if (!hasQuorum(votes, holders)) {
    // No call was started under this claim, and none will be.
    sendOutcome(ClaimState.Withdrawn);
    throw refusalOf(votes, holders);
  }
  const validMs = Math.min(CLAIM_VALID_MS, horizonMs / 2);
  return {
    id,
    isValid: () => clock.now() <= requestedMs + validMs,
    finish(run) {
      const state = STATE_AFTER_RUN[run];
      if (state !== ClaimState.Open) sendOutcome(state);
    },
  };
}

/** Requests the holders' votes; resolves once they decide or time out. */
function collectVotes(
  id: string,
  request: ClaimRequest,
  options: ClaimOptions & { requestedMs: number },
): Promise<Votes> {
  const { key, fingerprint, holders } = request;
  const { clock, transport, requestedMs } = options;
  const votes = new Map<string, ClaimVoteMessage>();
  return new Promise((resolve) => {
    const cancelTimer = clock.after(CLAIM_TIMEOUT_MS, finish);
    const cancelVotes = transport.listen(id, (vm, vote) => {
      // After a pause of the process, late votes may be read before the timer
      // callback runs.
      if (clock.now() > requestedMs + CLAIM_TIMEOUT_MS) return finish();
      if (!holders.includes(vm)) return;
      votes.set(vm, vote);
      if (isDecided(votes, holders)) finish();
    });
    function finish(): void {
      cancelTimer();
      cancelVotes();
      resolve(votes);
    }
    for (const vm of holders) {
      const kind = MessageKind.Claim;
      transport.send(vm, { kind, id, key, fingerprint, holders });
    }
    if (holders.length === 0) finish();
  });
}

type Votes = ReadonlyMap<string, ClaimVoteMessage>;

function countVotes(votes: Votes, vote: Vote): number {
  return [...votes.values()].filter((one) => one.vote === vote).length;
}

function hasQuorum(votes: Votes, holders: readonly string[]): boolean {
  const granted = countVotes(votes, Vote.Granted);
  return holders.length > 0 && granted >= claimWriteQuorum(holders.length);
}

/** Whether further votes cannot change the result. */
function isDecided(votes: Votes, holders: readonly string[]): boolean {
  if (hasQuorum(votes, holders)) return true;
  if (votes.size === holders.length) return true;
  return [...votes.values()].some((one) => one.state === ClaimState.Ran);
}

function refusalOf(votes: Votes, holders: readonly string[]): TillerError {
  const taken = [...votes.values()].filter((one) => one.vote === Vote.Taken);
  if (taken.some((one) => !one.sameBody)) {
    return new TillerError(
      ErrorKind.KeyMismatch,
      "the idempotency key was used for a different request, so this one was " +
        "not run; use a new key",
    );
  }
  if (taken.some((one) => one.state === ClaimState.Ran)) {
    return new TillerError(
      ErrorKind.DuplicateKey,
      "a request with this idempotency key has been answered; look up its " +
        "result",
      { run: RunState.Ran },
    );
  }
  // A read quorum of grants rules out that another claim reached its quorum, so
  // the competing claims have failed, too.
  const granted = countVotes(votes, Vote.Granted);
  const othersFailed = granted >= claimReadQuorum(holders.length);
  if (taken.length > 0 && !othersFailed) {
    return new TillerError(
      ErrorKind.DuplicateKey,
      "a request with this idempotency key was sent before and may have run; " +
        "check whether it took effect",
      { run: RunState.MayHaveRun },
    );
  }
  return new TillerError(
    ErrorKind.ClaimUnavailable,
    `only ${granted} of ${holders.length} VMs confirmed that the idempotency ` +
      "key is new; send the request again with the same key",
    { retryAfterMs: CLAIM_RETRY_AFTER_MS },
  );
}
