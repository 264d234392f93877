import {
  type Claim,
  type ClaimHolder,
  claimKey,
  type ClaimTransport,
  createClaimHolder,
  listClaimHolders,
} from "@rosemarytiller/claims";
import {
  type ClaimMessage,
  type ClaimOutcomeMessage,
  type ClaimVoteMessage,
  handleMessage,
  type Message,
  MessageKind,
} from "@rosemarytiller/link";
import {
  type Clock,
  createFakeClock,
  RunState,
  sleep,
} from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";

/** Kinds of step in a history of claims. */
export enum ClaimStepKind {
  Claim = "claim",
  Restart = "restart",
  Pause = "pause",
  ChangeList = "change-list",
  Wait = "wait",
}

/** One step; `place` and `amount` pick VMs, keys and times. */
export interface ClaimStep {
  kind: ClaimStepKind;
  place: number;
  amount: number;
}

/** A history and what goes wrong in it. */
export interface ClaimHistory {
  steps: ClaimStep[];
  seed: number;
  /** VMs in the first list. */
  vms: number;
  /** Part of the messages that is lost. */
  loss: number;
  /** Longest delay of a message in milliseconds. */
  delayMs: number;
  horizonMs: number;
}

/** A call that ran under a claim. */
export interface ClaimedRun {
  key: string;
  askedMs: number;
  ranMs: number;
}

/** VMs that a history can name. */
const VM_COUNT = 9;
/** Time between two syncs of a holder. */
const SYNC_MS = 500;
/** Longest time for a VM to learn of a new list. */
const LIST_LAG_MS = 8000;
/** Step of the fake clock between two turns of the event loop. */
const TICK_MS = 50;
/** Longest pause of a process. */
const PAUSE_MS = 20_000;

interface SimulatedVm {
  name: string;
  holder: ClaimHolder;
  /** The list at the broker and at the entry. */
  brokerList: string[];
  entryList: string[];
  pausedUntilMs: number;
  votes: Map<string, (vm: string, vote: ClaimVoteMessage) => void>;
}

/** Runs a history over the real holders and claimers; returns what ran. */
export async function runClaimHistory(
  history: ClaimHistory,
): Promise<{ runs: ClaimedRun[]; refused: number; messages: number }> {
  const clock = createFakeClock();
  const { seed, horizonMs } = history;
  const runs: ClaimedRun[] = [];
  let draws = 0;
  let refused = 0;
  let messages = 0;
  let claiming = 0;

  /** A number from 0 up to 1. */
  function draw(): number {
    const digits = hashText(`${seed}/${draws++}`).slice(0, 8);
    return Number.parseInt(digits, 16) / 2 ** 32;
  }

  const names = Array.from({ length: VM_COUNT }, (_, index) => `vm-${index}`);
  let list = names.slice(0, history.vms);
  const vms = new Map<string, SimulatedVm>();
  for (const name of names) {
    vms.set(name, {
      name,
      holder: startHolder(name, list),
      brokerList: list,
      entryList: list,
      pausedUntilMs: 0,
      votes: new Map(),
    });
  }

  function startHolder(vm: string, known: string[]): ClaimHolder {
    const holder = createClaimHolder({ vm, clock, horizonMs });
    holder.setList(known);
    return holder;
  }

  /** Runs an action on a VM, later if the VM is paused. */
  function runOn(vm: SimulatedVm, action: () => void): void {
    const waitMs = vm.pausedUntilMs - clock.now();
    if (waitMs > 0) clock.after(waitMs, () => runOn(vm, action));
    else action();
  }

  function deliver(to: string, action: (vm: SimulatedVm) => void): void {
    messages++;
    if (draw() < history.loss) return;
    const vm = vms.get(to)!;
    clock.after(draw() * history.delayMs, () => runOn(vm, () => action(vm)));
  }

  function receive(from: string, to: SimulatedVm, message: Message): void {
    handleMessage(
      {
        [MessageKind.Claim](claim) {
          const vote = to.holder.vote(claim);
          deliver(from, (vm) => vm.votes.get(vote.id)?.(to.name, vote));
        },
        [MessageKind.ClaimOutcome]: (outcome) => to.holder.settle(outcome),
        [MessageKind.ClaimSync](sync) {
          for (const answer of to.holder.answer(sync)) {
            deliver(from, (vm) => vm.holder.take(answer, to.name));
          }
        },
      },
      message,
      undefined,
    );
  }

  function sync(vm: SimulatedVm): void {
    const wanted = vm.holder.wanted();
    for (const name of wanted?.vms ?? []) {
      deliver(name, (to) => receive(vm.name, to, wanted!.sync));
    }
    clock.after(SYNC_MS, () => runOn(vm, () => sync(vm)));
  }
  for (const vm of vms.values()) sync(vm);

  function transportOf(vm: SimulatedVm): ClaimTransport {
    return {
      send(to: string, message: ClaimMessage | ClaimOutcomeMessage) {
        deliver(to, (target) => receive(vm.name, target, message));
      },
      listen(id, onVote) {
        vm.votes.set(id, onVote);
        return () => void vm.votes.delete(id);
      },
    };
  }

  async function claim(vm: SimulatedVm, key: string): Promise<void> {
    const askedMs = clock.now();
    // A paused entry's timers wait like its messages.
    const entryClock: Clock = {
      ...clock,
      after: (delayMs, action) => clock.after(delayMs, () => runOn(vm, action)),
    };
    let granted: Claim;
    try {
      granted = await claimKey({
        key,
        fingerprint: "body",
        holders: listClaimHolders(key, vm.entryList),
      }, { clock: entryClock, transport: transportOf(vm), horizonMs });
    } catch {
      refused++;
      return;
    }
    await sleep(entryClock, draw() * Math.min(horizonMs * 0.6, 20_000));
    const fails = draw() < 0.2;
    if (fails || !granted.isValid()) {
      granted.finish(RunState.NotRun);
      return;
    }
    runs.push({ key, askedMs, ranMs: clock.now() });
    granted.finish(draw() < 0.5 ? RunState.Ran : RunState.MayHaveRun);
  }

  function changeList(step: ClaimStep): void {
    const next = new Set(list);
    for (let count = 0; count <= step.amount % 3; count++) {
      const name = names[(step.place + count * 4) % VM_COUNT];
      if (!next.delete(name)) next.add(name);
    }
    if (next.size === 0) return;
    list = [...next];
    const published = list;
    for (const vm of vms.values()) {
      const isNewer = (known: string[]) =>
        lists.indexOf(published) > lists.indexOf(known);
      clock.after(draw() * LIST_LAG_MS, () =>
        runOn(vm, () => {
          if (!isNewer(vm.brokerList)) return;
          vm.brokerList = published;
          vm.holder.setList(published);
        }));
      clock.after(draw() * LIST_LAG_MS, () =>
        runOn(vm, () => {
          if (isNewer(vm.entryList)) vm.entryList = published;
        }));
    }
    lists.push(published);
  }
  const lists = [list];

  const handlers: Record<
    ClaimStepKind,
    (vm: SimulatedVm, step: ClaimStep) => void
  > = {
    [ClaimStepKind.Claim]: (vm, step) =>
      runOn(vm, () => {
        claiming++;
        void claim(vm, `key-${step.amount % 2}`).finally(() => claiming--);
      }),
    [ClaimStepKind.Restart](vm) {
      vm.holder = startHolder(vm.name, vm.brokerList);
    },
    [ClaimStepKind.Pause](vm, step) {
      vm.pausedUntilMs = clock.now() + (step.amount / 1000) * PAUSE_MS;
    },
    [ClaimStepKind.ChangeList]: (_vm, step) => changeList(step),
    [ClaimStepKind.Wait]: () => {},
  };

  /** Moves time on; claims in progress need turns of the event loop. */
  async function advance(totalMs: number): Promise<void> {
    for (let leftMs = totalMs; leftMs > 0; leftMs -= TICK_MS) {
      if (claiming === 0) return clock.advance(leftMs);
      clock.advance(Math.min(leftMs, TICK_MS));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  // The whole fleet has just started: keys are vouched for after a horizon.
  clock.advance(horizonMs);
  for (const step of history.steps) {
    handlers[step.kind](vms.get(names[step.place % VM_COUNT])!, step);
    await advance(step.kind === ClaimStepKind.Wait ? step.amount * 10 : 100);
  }
  await advance(horizonMs);
  return { runs, refused, messages };
}

/** Two runs of one key that a horizon does not part, if there are any. */
export function findDoubleRun(
  runs: readonly ClaimedRun[],
  horizonMs: number,
): [ClaimedRun, ClaimedRun] | undefined {
  for (const first of runs) {
    for (const second of runs) {
      if (first === second || first.key !== second.key) continue;
      if (first.ranMs > second.ranMs) continue;
      if (second.ranMs < first.askedMs + horizonMs) return [first, second];
    }
  }
  return undefined;
}
