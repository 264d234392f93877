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
import { claimQuorum, claimWitnesses } from "./list_claim_holders.ts";

/** Longest time for the holders' votes to arrive. */
export const CLAIM_TIMEOUT_MS = 1000;
/** Longest time in which a call may start under a claim. */
export const CLAIM_VALID_MS = 60_000;
/** When a caller whose key cannot be checked should come back. */
export const CLAIM_RETRY_AFTER_MS = 2000;

/** A way to the holders of claims. */
export interface ClaimTransport {
  /** Sends to the broker of a VM; what cannot be sent is lost. */
  send(vm: string, message: ClaimMessage | ClaimOutcomeMessage): void;
  /** Hands on the votes on a claim until cancelled. */
  listen(
    id: string,
    onVote: (vm: string, vote: ClaimVoteMessage) => void,
  ): () => void;
}

/** A key that no other request holds. */
export interface Claim {
  readonly id: string;
  /** Whether a call may still start under it. */
  isValid(): boolean;
  /** Tells the holders how the request ended. */
  finish(run: RunState): void;
}

/** What is claimed. */
export interface ClaimWish {
  /** Hash of client, service and key. */
  key: string;
  /** Hash of the request, to tell another one under the same key. */
  fingerprint: string;
  /** VMs that hold the key, by the claimer's list. */
  holders: string[];
}

/** What a claimer needs. */
export interface ClaimOptions {
  clock: Clock;
  transport: ClaimTransport;
  /** How long holders keep a claim, in milliseconds. */
  horizonMs: number;
}

const STATES_AFTER: Record<RunState, ClaimState> = {
  [RunState.NotRun]: ClaimState.Withdrawn,
  [RunState.MayHaveRun]: ClaimState.Open,
  [RunState.Ran]: ClaimState.Ran,
};

/**
 * Claims a key. Throws `TillerError`: `duplicate-key` or `key-mismatch` when
 * another request holds it, `claim-unavailable` when that cannot be told.
 */
export async function claimKey(
  wish: ClaimWish,
  options: ClaimOptions,
): Promise<Claim> {
  const { clock, transport, horizonMs } = options;
  const { key, holders } = wish;
  const id = createId("claim");
  const askedMs = clock.now();
  const votes = await collectVotes(id, wish, { ...options, askedMs });
  function tell(state: ClaimState): void {
    for (const vm of holders) {
      transport.send(vm, { kind: MessageKind.ClaimOutcome, id, key, state });
    }
  }
  if (!hasQuorum(votes, holders)) {
    // Nothing was sent under this claim and nothing ever will be.
    tell(ClaimState.Withdrawn);
    throw refusalOf(votes, holders);
  }
  const validMs = Math.min(CLAIM_VALID_MS, horizonMs / 2);
  return {
    id,
    isValid: () => clock.now() <= askedMs + validMs,
    finish(run) {
      const state = STATES_AFTER[run];
      if (state !== ClaimState.Open) tell(state);
    },
  };
}

/** Asks the holders and waits until their votes decide or time is over. */
function collectVotes(
  id: string,
  wish: ClaimWish,
  options: ClaimOptions & { askedMs: number },
): Promise<Votes> {
  const { key, fingerprint, holders } = wish;
  const { clock, transport, askedMs } = options;
  const votes = new Map<string, ClaimVoteMessage>();
  return new Promise((resolve) => {
    const cancelTimer = clock.after(CLAIM_TIMEOUT_MS, finish);
    const cancelVotes = transport.listen(id, (vm, vote) => {
      // After a pause, votes may be read before the timer runs.
      if (clock.now() > askedMs + CLAIM_TIMEOUT_MS) return finish();
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
  return holders.length > 0 && granted >= claimQuorum(holders.length);
}

/** More votes would change nothing. */
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
      "the key was sent with another request; this one was not run",
    );
  }
  if (taken.some((one) => one.state === ClaimState.Ran)) {
    return new TillerError(
      ErrorKind.DuplicateKey,
      "a request with this key has been answered before",
      { run: RunState.Ran },
    );
  }
  // As many grants as no claim can do without: the others' claims failed too.
  const granted = countVotes(votes, Vote.Granted);
  const failedToo = granted >= claimWitnesses(holders.length);
  if (taken.length > 0 && !failedToo) {
    return new TillerError(
      ErrorKind.DuplicateKey,
      "a request with this key was sent before and may have run",
      { run: RunState.MayHaveRun },
    );
  }
  return new TillerError(
    ErrorKind.ClaimUnavailable,
    `${granted} of ${holders.length} VMs could vouch for the key`,
    { retryAfterMs: CLAIM_RETRY_AFTER_MS },
  );
}
