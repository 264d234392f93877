import { type Clock } from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import {
  claimReadQuorum,
  claimWriteQuorum,
  listClaimHolders,
  MAX_HOLDERS,
} from "./list_claim_holders.ts";

/**
 * Time from a VM list coming into force until records are requested, in
 * milliseconds. Claims that were in flight at the change are decided by then.
 */
export const SYNC_DELAY_MS = 1500;

/** Most other holders whose records a starting holder can do without. */
const MAX_UNANSWERED = 1;

/** How complete a holder's records are, for the holder that receives them. */
export interface RecordsCompleteness {
  /**
   * Hash of the previous VM list if the sender lacked no claims under it; empty
   * otherwise.
   */
  wholeUnder: string;
  /** Whether the sender lacks no claims under the current list. */
  settled: boolean;
}

/** Period in which one VM list is in force at a holder. */
interface Epoch {
  startedMs: number;
  vms: readonly string[];
  hash: string;
  /** The previous list; undefined for the first list of the process. */
  previous: readonly string[] | undefined;
  /** VMs that have sent all their records and lacked no claims themselves. */
  answered: Set<string>;
}

/** Tracks for which keys a holder may lack claims. */
export interface HolderHistory {
  /** Sets the list of entry VMs and begins an epoch if it differs. */
  setList(vms: readonly string[]): void;
  /** The list in force, sorted, and its hash; undefined before the first. */
  current(): { vms: readonly string[]; hash: string } | undefined;
  /** Whether no claim on the key can be missing here. */
  isCompleteFor(key: string): boolean;
  /** VMs whose records are to be requested now. */
  unanswered(): string[];
  /** Marks a VM that has sent all its records, unless it may lack claims. */
  markAnswered(
    vm: string,
    answer: RecordsCompleteness & { list: string },
  ): void;
  /** Completeness of this holder's own records. */
  completeness(): RecordsCompleteness;
}

/** Creates the history of a holder without a VM list. */
export function createHolderHistory(
  options: { vm: string; clock: Clock; horizonMs: number; listLagMs: number },
): HolderHistory {
  const { vm, clock, horizonMs, listLagMs } = options;
  const epochs: Epoch[] = [];

  const last = (): Epoch | undefined => epochs.at(-1);
  /** Whether all claims from before the epoch have expired. */
  const startedBeforeHorizon = (epoch: Epoch): boolean =>
    epoch.startedMs <= clock.now() - horizonMs;
  const othersOf = (epoch: Epoch): string[] =>
    epoch.vms.filter((name) => name !== vm);

  /** Number of VMs that the list change removed. */
  function countRemoved(epoch: Epoch): number {
    const { previous, vms } = epoch;
    return previous?.filter((name) => !vms.includes(name)).length ?? 0;
  }

  function countUnanswered(epoch: Epoch): number {
    return othersOf(epoch).filter((name) => !epoch.answered.has(name)).length;
  }

  /** Whether this holder lacked no claims under the list before an epoch. */
  function wasComplete(index: number): boolean {
    const previous = epochs[index - 1];
    return previous !== undefined &&
      (startedBeforeHorizon(previous) || isSettled(index - 1));
  }

  /** Whether this holder lacks no claim on any key held in an epoch. */
  function isSettled(index: number): boolean {
    const epoch = epochs[index];
    const { previous } = epoch;
    if (previous === undefined) {
      return isCompleteAfterStart(epoch, othersOf(epoch));
    }
    const isMember = previous.includes(vm);
    const removed = countRemoved(epoch);
    // If VMs were only added, a previous member gains no key.
    if (isMember && removed === 0 && wasComplete(index)) return true;
    // This VM counts as unanswered if it was a member and may lack claims.
    const own = isMember && !wasComplete(index) ? 1 : 0;
    const holders = Math.min(MAX_HOLDERS, previous.length);
    // The VMs that answered then include a read quorum of each key's previous
    // holders.
    return countUnanswered(epoch) + removed + own <=
      claimWriteQuorum(holders) - 1;
  }

  /** Whether enough complete holders have answered since the process start. */
  function isCompleteAfterStart(
    epoch: Epoch,
    others: readonly string[],
  ): boolean {
    const answered = others.filter((name) => epoch.answered.has(name));
    const holders = Math.min(MAX_HOLDERS, others.length + 1);
    // A read quorum must answer, and this holder's own records are lost.
    const unanswered = Math.min(MAX_UNANSWERED, claimWriteQuorum(holders) - 2);
    return answered.length > 0 &&
      answered.length >= others.length - unanswered;
  }

  /** Whether a read quorum of the previous holders of a gained key answered. */
  function isCompleteAfterChange(
    epoch: Epoch,
    previousHolders: string[],
  ): boolean {
    const answers = previousHolders.filter((name) => epoch.answered.has(name));
    return answers.length >= claimReadQuorum(previousHolders.length);
  }

  /**
   * Whether this holder is the only VM and claims granted under a list of more
   * than three may not have expired. Up to three holders all record a granted
   * claim; of more, some may lack it, and a holder that decides alone must not
   * lack any. VMs that have the new list late may still grant under the former.
   */
  function isOnlyVmAfterShrink(): boolean {
    if (last()!.vms.length > 1) return false;
    const expiredMs = clock.now() - horizonMs - listLagMs;
    return epochs.some(({ previous, startedMs }) =>
      previous !== undefined && previous.length > 3 && startedMs > expiredMs
    );
  }

  function isCompleteFor(key: string): boolean {
    if (epochs.length === 0 || isOnlyVmAfterShrink()) return false;
    for (let index = epochs.length - 1; index >= 0; index--) {
      const epoch = epochs[index];
      if (startedBeforeHorizon(epoch) || isSettled(index)) return true;
      if (epoch.previous === undefined) {
        const holders = listClaimHolders(key, epoch.vms);
        return isCompleteAfterStart(
          epoch,
          holders.filter((name) => name !== vm),
        );
      }
      const previousHolders = listClaimHolders(key, epoch.previous);
      if (!previousHolders.includes(vm)) {
        return isCompleteAfterChange(epoch, previousHolders);
      }
    }
    return false;
  }

  return {
    setList(vms) {
      const names = [...vms].sort();
      const hash = hashList(names);
      if (last()?.hash === hash) return;
      const previous = last()?.vms;
      // Claims from epochs that ended before the horizon have expired.
      while (epochs.length > 1 && startedBeforeHorizon(epochs[1])) {
        epochs.shift();
      }
      epochs.push({
        startedMs: clock.now(),
        vms: names,
        hash,
        previous,
        answered: new Set(),
      });
    },
    current: last,
    isCompleteFor,
    unanswered() {
      const epoch = last();
      if (!epoch?.vms.includes(vm) || startedBeforeHorizon(epoch)) return [];
      if (epoch.startedMs > clock.now() - SYNC_DELAY_MS) return [];
      return othersOf(epoch).filter((name) => !epoch.answered.has(name));
    },
    markAnswered(name, { list, wholeUnder, settled }) {
      const epoch = last();
      if (epoch?.hash !== list) return;
      // A holder whose previous list was another one held other keys under it.
      const isComplete = epoch.previous === undefined
        ? settled
        : wholeUnder === hashList(epoch.previous);
      if (isComplete) epoch.answered.add(name);
    },
    completeness() {
      const epoch = last();
      if (!epoch) return { wholeUnder: "", settled: false };
      const index = epochs.length - 1;
      const { previous } = epoch;
      const wholeUnder = previous && wasComplete(index)
        ? hashList(previous)
        : "";
      return {
        wholeUnder,
        settled: startedBeforeHorizon(epoch) || isSettled(index),
      };
    },
  };
}

function hashList(vms: readonly string[]): string {
  return hashText(vms.join("\n"));
}
