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

/** Most claims that a holder keeps. */
export const MAX_CLAIM_RECORDS = 100_000;
/** Most records in one message of a sync. */
export const RECORDS_PER_MESSAGE = 1000;

/** A claim as it is kept. */
interface KeptClaim {
  claim: string;
  fingerprint: string;
  state: ClaimState;
  /** Monotonic time of its first record anywhere. */
  madeMs: number;
}

/** A broker's part in holding the claims on idempotency keys. */
export interface ClaimHolder {
  /** Takes the list of live entry VMs. */
  setList(vms: readonly string[]): void;
  /** Votes on a claim and records it if no other holds the key. */
  vote(claim: ClaimMessage): ClaimVoteMessage;
  /** Takes the outcome of a claim. */
  settle(outcome: ClaimOutcomeMessage): void;
  /** VMs whose records are still wanted, and what to send to them. */
  wanted(): { vms: string[]; sync: ClaimSyncMessage } | undefined;
  /** Answers a sync; empty while the two lists differ. */
  answer(sync: ClaimSyncMessage): ClaimRecordsMessage[];
  /** Takes the records of another VM. */
  take(message: ClaimRecordsMessage, vm: string): void;
  /** Claims kept now. */
  size(): number;
}

/** How a holder is set up. */
export interface ClaimHolderOptions {
  vm: string;
  clock: Clock;
  /** How long a claim is kept, in milliseconds. */
  horizonMs: number;
  /** Most claims kept. */
  capacity?: number;
}

/** Creates the holder of a process that has just started. */
export function createClaimHolder(options: ClaimHolderOptions): ClaimHolder {
  const { vm, clock, horizonMs, capacity = MAX_CLAIM_RECORDS } = options;
  const history = createHolderHistory({ vm, clock, horizonMs });
  // Keys in the order of their first claim, the oldest first.
  const kept = new Map<string, KeptClaim[]>();
  let size = 0;

  function dropOld(): void {
    const oldestMs = clock.now() - horizonMs;
    for (const [key, claims] of kept) {
      const live = claims.filter((claim) => claim.madeMs > oldestMs);
      if (live.length === claims.length) return;
      replace(key, live);
    }
  }

  function replace(key: string, claims: KeptClaim[]): void {
    size += claims.length - (kept.get(key)?.length ?? 0);
    if (claims.length === 0) kept.delete(key);
    else kept.set(key, claims);
  }

  function isSameList(claim: ClaimMessage): boolean {
    const list = history.current();
    if (!list) return false;
    const holders = listClaimHolders(claim.key, list.vms);
    if (!holders.includes(vm)) return false;
    if (holders.length !== claim.holders.length) return false;
    return holders.every((name) => claim.holders.includes(name));
  }

  function decide(claim: ClaimMessage): Omit<ClaimVoteMessage, "kind" | "id"> {
    const { key, id, fingerprint } = claim;
    const open = { state: ClaimState.Open, sameBody: true };
    if (!isSameList(claim)) return { vote: Vote.OtherList, ...open };
    const claims = kept.get(key) ?? [];
    const other = claims.find((one) => one.claim !== id);
    if (other) {
      const sameBody = other.fingerprint === fingerprint;
      const ran = claims.find((one) => one.state === ClaimState.Ran);
      return { vote: Vote.Taken, state: (ran ?? other).state, sameBody };
    }
    if (claims.length === 0) {
      if (size >= capacity) return { vote: Vote.Full, ...open };
      const { Open: state } = ClaimState;
      replace(key, [{ claim: id, fingerprint, state, madeMs: clock.now() }]);
    }
    return { vote: history.vouches(key) ? Vote.Granted : Vote.Young, ...open };
  }

  function* listRecordsFor(asker: string): Generator<ClaimRecord> {
    const vms = history.current()!.vms;
    const nowMs = clock.now();
    for (const [key, claims] of kept) {
      if (!listClaimHolders(key, vms).includes(asker)) continue;
      for (const { claim, fingerprint, state, madeMs } of claims) {
        yield { key, claim, fingerprint, state, ageMs: nowMs - madeMs };
      }
    }
  }

  return {
    setList: history.setList,
    vote(claim) {
      dropOld();
      const { id } = claim;
      return { kind: MessageKind.ClaimVote, id, ...decide(claim) };
    },
    settle({ key, id, state }) {
      const claims = kept.get(key);
      const claim = claims?.find((one) => one.claim === id);
      if (!claims || !claim) return;
      if (state === ClaimState.Withdrawn) {
        replace(key, claims.filter((one) => one !== claim));
      } else if (claim.state === ClaimState.Open) {
        claim.state = state;
      }
    },
    wanted() {
      const vms = history.unanswered();
      if (vms.length === 0) return undefined;
      const list = history.current()!.hash;
      return { vms, sync: { kind: MessageKind.ClaimSync, vm, list } };
    },
    answer(sync) {
      const list = history.current()?.hash;
      if (list !== sync.list) return [];
      dropOld();
      const records = [...listRecordsFor(sync.vm)];
      const messages: ClaimRecordsMessage[] = [];
      const worth = history.worth();
      do {
        const part = records.splice(0, RECORDS_PER_MESSAGE);
        const last = records.length === 0;
        const kind = MessageKind.ClaimRecords;
        messages.push({ kind, list, records: part, last, ...worth });
      } while (records.length > 0);
      return messages;
    },
    take(message, from) {
      for (const record of message.records) {
        const { key, claim, fingerprint, state, ageMs } = record;
        const claims = kept.get(key) ?? [];
        if (claims.some((one) => one.claim === claim)) continue;
        const madeMs = clock.now() - ageMs;
        // A record is taken even when full: only new claims are refused.
        replace(key, [...claims, { claim, fingerprint, state, madeMs }]);
      }
      if (message.last) history.noteAnswered(from, message);
    },
    size: () => size,
  };
}
