import { type Clock } from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";
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

/** Most holders that a starting one need not hear. */
const MAX_UNHEARD = 1;

/** What a holder's records are worth to another one. */
export interface RecordsWorth {
  /** Hash of the former list if there was no gap under it; else empty. */
  wholeUnder: string;
  /** Whether there is no gap under the present list. */
  settled: boolean;
}

/** Time during which a holder reckons with one list of VMs. */
interface Epoch {
  startedMs: number;
  vms: readonly string[];
  hash: string;
  /** The list before; undefined from the start of the process. */
  former: readonly string[] | undefined;
  /** VMs that sent all their records, as far as those close gaps here. */
  answered: Set<string>;
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
  /** Notes that a VM has sent all its records, if they close gaps. */
  noteAnswered(vm: string, answer: RecordsWorth & { list: string }): void;
  /** What this holder's own records are worth to another one. */
  worth(): RecordsWorth;
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

  /** Whether this holder lacked nothing under the list before an epoch. */
  function wasWhole(place: number): boolean {
    const former = epochs[place - 1];
    return former !== undefined && (isOld(former) || isSettled(place - 1));
  }

  /** Whether the answers of an epoch cover every key held in it. */
  function isSettled(place: number): boolean {
    const epoch = epochs[place];
    const { former } = epoch;
    if (former === undefined) return startCovers(epoch, othersOf(epoch));
    const isMember = former.includes(vm);
    const lost = lostBy(epoch);
    // Where VMs only join, a holder is new to no key.
    if (isMember && lost === 0 && wasWhole(place)) return true;
    // A former holder with gaps of its own is no witness to itself.
    const own = isMember && !wasWhole(place) ? 1 : 0;
    const holders = Math.min(MAX_HOLDERS, former.length);
    return countMissing(epoch) + lost + own <= claimQuorum(holders) - 1;
  }

  /** Whether enough of the other holders without gaps answered a start. */
  function startCovers(epoch: Epoch, others: readonly string[]): boolean {
    const heard = others.filter((name) => epoch.answered.has(name));
    const holders = Math.min(MAX_HOLDERS, others.length + 1);
    const unheard = Math.min(MAX_UNHEARD, claimQuorum(holders) - 2);
    return heard.length > 0 && heard.length >= others.length - unheard;
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
      if (isOld(epoch) || isSettled(place)) return true;
      if (epoch.former === undefined) {
        const holders = listClaimHolders(key, epoch.vms);
        return startCovers(epoch, holders.filter((name) => name !== vm));
      }
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
      const hash = hashList(names);
      if (last()?.hash === hash) return;
      const former = last()?.vms;
      // Epochs that ended before the horizon have no bearing any more.
      while (epochs.length > 1 && isOld(epochs[1])) epochs.shift();
      epochs.push({
        startedMs: clock.now(),
        vms: names,
        hash,
        former,
        answered: new Set(),
      });
    },
    current: last,
    vouches,
    unanswered() {
      const epoch = last();
      if (!epoch?.vms.includes(vm) || isOld(epoch)) return [];
      if (epoch.startedMs > clock.now() - SYNC_DELAY_MS) return [];
      return othersOf(epoch).filter((name) => !epoch.answered.has(name));
    },
    noteAnswered(name, { list, wholeUnder, settled }) {
      const epoch = last();
      if (epoch?.hash !== list) return;
      // A holder that skipped the former list held other keys under it.
      const closes = epoch.former === undefined
        ? settled
        : wholeUnder === hashList(epoch.former);
      if (closes) epoch.answered.add(name);
    },
    worth() {
      const epoch = last();
      if (!epoch) return { wholeUnder: "", settled: false };
      const place = epochs.length - 1;
      const { former } = epoch;
      const wholeUnder = former && wasWhole(place) ? hashList(former) : "";
      return { wholeUnder, settled: isOld(epoch) || isSettled(place) };
    },
  };
}

function hashList(vms: readonly string[]): string {
  return hashText(vms.join("\n"));
}
