import {
  type ClaimMessage,
  type ClaimOutcomeMessage,
  type ClaimRecord,
  type ClaimRecordsMessage,
  ClaimState,
  type ClaimSyncMessage,
  type ClaimVoteMessage,
  MessageKind,
  Vote,
} from "@rosemarytiller/link";
import type { Clock } from "@rosemarytiller/shared";
import { createHolderHistory } from "./create_holder_history.ts";
import { listClaimHolders } from "./list_claim_holders.ts";

/** Default capacity of a holder, in claims. */
export const MAX_CLAIM_RECORDS = 100_000;
/** Most claim records in one message of a sync. */
export const RECORDS_PER_MESSAGE = 1000;

/** A claim as a holder stores it. */
interface StoredClaim {
  claim: string;
  fingerprint: string;
  state: ClaimState;
  /**
   * Monotonic time of this process at which the claim was recorded, here or,
   * for a copied record, at the holder that voted on it.
   */
  recordedMs: number;
}

/** A broker's replica of the claims on the idempotency keys that it holds. */
export interface ClaimHolder {
  /** Sets the list of live entry VMs, from which each key's holders follow. */
  setList(vms: readonly string[]): void;
  /** Votes on a claim and records it if no other claim holds the key. */
  vote(claim: ClaimMessage): ClaimVoteMessage;
  /** Applies the outcome of a claim; an unknown claim is ignored. */
  applyOutcome(outcome: ClaimOutcomeMessage): void;
  /**
   * VMs whose records are to be requested now and the message that requests
   * them; undefined if none.
   */
  pendingSync(): { vms: string[]; sync: ClaimSyncMessage } | undefined;
  /** Answers a sync; empty if the requester has another VM list. */
  answerSync(sync: ClaimSyncMessage): ClaimRecordsMessage[];
  /** Adds the records of another VM, also beyond the capacity. */
  addRecords(message: ClaimRecordsMessage, vm: string): void;
  /** Number of stored claims. */
  size(): number;
}

/** VM, clock and bounds of a holder. */
export interface ClaimHolderOptions {
  vm: string;
  clock: Clock;
  /** How long a claim is kept, in milliseconds. */
  horizonMs: number;
  /** Longest lag of the VM list, in milliseconds. */
  listLagMs: number;
  /** Number of stored claims from which new ones are refused. */
  capacity?: number;
}

/**
 * Creates a holder without records. It grants a claim only if no earlier claim
 * on the key can be missing: after a sync, or once a VM list has been in force
 * for `horizonMs`.
 */
export function createClaimHolder(options: ClaimHolderOptions): ClaimHolder {
  const { vm, clock, horizonMs, capacity = MAX_CLAIM_RECORDS } = options;
  const history = createHolderHistory(options);
  /** Claims by key, in the order in which the keys were added here. */
  const claimsByKey = new Map<string, StoredClaim[]>();
  let size = 0;

  /** Drops the expired claims of a key; returns whether there were any. */
  function dropExpiredOf(key: string, claims: StoredClaim[]): boolean {
    const expiredMs = clock.now() - horizonMs;
    const live = claims.filter((claim) => claim.recordedMs > expiredMs);
    if (live.length === claims.length) return false;
    replace(key, live);
    return true;
  }

  function dropExpired(): void {
    // Stops at the first key without expired claims, as the keys after it were
    // added later. Claims copied from other holders may be older than their
    // place in the order; they take up capacity until their turn.
    for (const [key, claims] of claimsByKey) {
      if (!dropExpiredOf(key, claims)) return;
    }
  }

  function replace(key: string, claims: StoredClaim[]): void {
    size += claims.length - (claimsByKey.get(key)?.length ?? 0);
    if (claims.length === 0) claimsByKey.delete(key);
    else claimsByKey.set(key, claims);
  }

  function hasSameHolders(claim: ClaimMessage): boolean {
    const list = history.current();
    if (!list) return false;
    const holders = listClaimHolders(claim.key, list.vms);
    if (!holders.includes(vm)) return false;
    if (holders.length !== claim.holders.length) return false;
    return holders.every((name) => claim.holders.includes(name));
  }

  function decide(claim: ClaimMessage): Omit<ClaimVoteMessage, "kind" | "id"> {
    const { key, id, fingerprint } = claim;
    const noOtherClaim = { state: ClaimState.Open, sameBody: true };
    if (!hasSameHolders(claim)) {
      return { vote: Vote.HolderListMismatch, ...noOtherClaim };
    }
    const claims = claimsByKey.get(key) ?? [];
    const other = claims.find((one) => one.claim !== id);
    if (other) {
      const sameBody = other.fingerprint === fingerprint;
      const ran = claims.find((one) => one.state === ClaimState.Ran);
      return { vote: Vote.Taken, state: (ran ?? other).state, sameBody };
    }
    if (claims.length === 0) {
      if (size >= capacity) return { vote: Vote.Full, ...noOtherClaim };
      const { Open: state } = ClaimState;
      replace(key, [{
        claim: id,
        fingerprint,
        state,
        recordedMs: clock.now(),
      }]);
    }
    return {
      vote: history.isCompleteFor(key) ? Vote.Granted : Vote.Unverified,
      ...noOtherClaim,
    };
  }

  function* listRecordsFor(requester: string): Generator<ClaimRecord> {
    const vms = history.current()!.vms;
    const nowMs = clock.now();
    for (const [key, claims] of claimsByKey) {
      if (!listClaimHolders(key, vms).includes(requester)) continue;
      for (const { claim, fingerprint, state, recordedMs } of claims) {
        const ageMs = nowMs - recordedMs;
        if (ageMs >= horizonMs) continue;
        yield { key, claim, fingerprint, state, ageMs };
      }
    }
  }

  return {
    setList: history.setList,
    vote(claim) {
      const { id, key } = claim;
      dropExpired();
      dropExpiredOf(key, claimsByKey.get(key) ?? []);
      return { kind: MessageKind.ClaimVote, id, ...decide(claim) };
    },
    applyOutcome({ key, id, state }) {
      const claims = claimsByKey.get(key);
      const claim = claims?.find((one) => one.claim === id);
      if (!claims || !claim) return;
      if (state === ClaimState.Withdrawn) {
        replace(key, claims.filter((one) => one !== claim));
      } else if (claim.state === ClaimState.Open) {
        claim.state = state;
      }
    },
    pendingSync() {
      const vms = history.unanswered();
      if (vms.length === 0) return undefined;
      const list = history.current()!.hash;
      return { vms, sync: { kind: MessageKind.ClaimSync, vm, list } };
    },
    answerSync(sync) {
      const list = history.current()?.hash;
      if (list !== sync.list) return [];
      dropExpired();
      const records = [...listRecordsFor(sync.vm)];
      const messages: ClaimRecordsMessage[] = [];
      const completeness = history.completeness();
      do {
        const part = records.splice(0, RECORDS_PER_MESSAGE);
        const last = records.length === 0;
        const kind = MessageKind.ClaimRecords;
        messages.push({ kind, list, records: part, last, ...completeness });
      } while (records.length > 0);
      return messages;
    },
    addRecords(message, from) {
      for (const record of message.records) {
        const { key, claim, fingerprint, state, ageMs } = record;
        const claims = claimsByKey.get(key) ?? [];
        if (claims.some((one) => one.claim === claim)) continue;
        const recordedMs = clock.now() - ageMs;
        // A full holder still adds records: only new claims are refused.
        replace(key, [...claims, { claim, fingerprint, state, recordedMs }]);
      }
      if (message.last) history.markAnswered(from, message);
    },
    size: () => size,
  };
}
