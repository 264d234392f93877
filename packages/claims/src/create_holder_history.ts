import { type Clock, hashText } from "@rosemarytiller/shared";
import {
  claimQuorum,
  claimWitnesses,
  listClaimHolders,
  MAX_HOLDERS,
} from "./list_claim_holders.ts";

/**
 * Time under one list before records are asked for: claims that were in
 * flight when the list came into force are decided by then.
 */
export const SYNC_DELAY_MS = 1500;

/** Most VMs that a list may lose for a starting holder to rely on it. */
const MAX_LOST = 1;

/** Time during which a holder reckons with one list of VMs. */
interface Epoch {
  startedMs: number;
  vms: readonly string[];
  hash: string;
  /** The list before; undefined from the start of the process. */
  former: readonly string[] | undefined;
  /** VMs that sent all their records, with the VMs their lists had lost. */
  answered: Map<string, number>;
}

/** What a holder knows of its own gaps. */
export interface HolderHistory {
  /** Takes a list of entry VMs. */
  setList(vms: readonly string[]): void;
  /** The list in force and its hash; undefined before the first. */
  current(): { vms: readonly string[]; hash: string } | undefined;
  /** Whether no claim on the key can be missing here. */
  vouches(key: string): boolean;
  /** VMs still to be asked for records. */
  unanswered(): string[];
  /** Notes that a VM without gaps has sent all its records. */
  noteAnswered(vm: string, options: { hash: string; lost: number }): void;
  /** What this holder's own records are worth to another one. */
  worth(): { whole: boolean; lost: number };
}

/** Creates the history of a holder that has just started. */
export function createHolderHistory(
  options: { vm: string; clock: Clock; horizonMs: number },
): HolderHistory {
  const { vm, clock, horizonMs } = options;
  const epochs: Epoch[] = [];

  const last = (): Epoch | undefined => epochs.at(-1);
  const isOld = (epoch: Epoch): boolean =>
    epoch.startedMs <= clock.now() - horizonMs;
  const othersOf = (epoch: Epoch): string[] =>
    epoch.vms.filter((name) => name !== vm);

  function lostBy(epoch: Epoch): number {
    const { former, vms } = epoch;
    return former?.filter((name) => !vms.includes(name)).length ?? 0;
  }

  function countMissing(epoch: Epoch): number {
    return othersOf(epoch).filter((name) => !epoch.answered.has(name)).length;
  }

  /** Whether the answers of the epoch cover every key held in it. */
  function isSettled(epoch: Epoch): boolean {
    if (epoch.former === undefined) {
      const { answered } = epoch;
      if (answered.size === 0 || countMissing(epoch) > 1) return false;
      return [...answered.values()].every((lost) => lost <= MAX_LOST);
    }
    const quorum = claimQuorum(Math.min(MAX_HOLDERS, epoch.former.length));
    return countMissing(epoch) + lostBy(epoch) <= quorum - 1;
  }

  /** Whether the answers of a start cover one key. */
  function startCovers(epoch: Epoch, key: string): boolean {
    const others = listClaimHolders(key, epoch.vms)
      .filter((name) => name !== vm);
    let answers = 0;
    for (const name of others) {
      const lost = epoch.answered.get(name);
      if (lost !== undefined && lost <= MAX_LOST) answers++;
    }
    return answers > 0 && answers >= others.length - 1;
  }

  /** Whether the answers of a list's change cover one key newly held. */
  function changeCovers(epoch: Epoch, formerHolders: string[]): boolean {
    const answers = formerHolders.filter((name) => epoch.answered.has(name));
    return answers.length >= claimWitnesses(formerHolders.length);
  }

  /** Two holders may lack a claim of five, but a lone one may not. */
  function isAloneTooSoon(): boolean {
    if (last()!.vms.length > 1) return false;
    return epochs.some((epoch) => (epoch.former?.length ?? 0) > 3);
  }

  function vouches(key: string): boolean {
    if (epochs.length === 0 || isAloneTooSoon()) return false;
    for (let place = epochs.length - 1; place >= 0; place--) {
      const epoch = epochs[place];
      if (isOld(epoch) || isSettled(epoch)) return true;
      if (epoch.former === undefined) return startCovers(epoch, key);
      const formerHolders = listClaimHolders(key, epoch.former);
      if (!formerHolders.includes(vm)) {
        return changeCovers(epoch, formerHolders);
      }
    }
    return false;
  }

  return {
    setList(vms) {
      const names = [...vms].sort();
      const hash = hashText(names.join("\n"));
      if (last()?.hash === hash) return;
      const former = last()?.vms;
      // Epochs that ended before the horizon have no bearing any more.
      while (epochs.length > 1 && isOld(epochs[1])) epochs.shift();
      epochs.push({
        startedMs: clock.now(),
        vms: names,
        hash,
        former,
        answered: new Map(),
      });
    },
    current: last,
    vouches,
    unanswered() {
      const epoch = last();
      if (!epoch || isOld(epoch)) return [];
      if (epoch.startedMs > clock.now() - SYNC_DELAY_MS) return [];
      return othersOf(epoch).filter((name) => !epoch.answered.has(name));
    },
    noteAnswered(name, { hash, lost }) {
      const epoch = last();
      if (epoch?.hash === hash) epoch.answered.set(name, lost);
    },
    worth() {
      const epoch = last();
      if (!epoch) return { whole: false, lost: 0 };
      const settled = isOld(epoch) || isSettled(epoch);
      const lost = settled ? 0 : lostBy(epoch);
      if (settled) return { whole: true, lost };
      const former = epochs.at(-2);
      if (!former) return { whole: false, lost };
      return { whole: isOld(former) || isSettled(former), lost };
    },
  };
}
