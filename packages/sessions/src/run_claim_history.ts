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
  /** Replaces the holder of a VM by one that has just started. */
  Restart = "restart",
  Pause = "pause",
  ChangeList = "change-list",
  Wait = "wait",
}

/** One step, on the VM that `vmIndex` selects. */
export interface ClaimStep {
  kind: ClaimStepKind;
  vmIndex: number;
  /**
   * Claim: key `value % 2`. Pause: `value / 1000` of `MAX_PAUSE_MS`. Wait:
   * `value` times 10 ms. List change: `value % 3 + 1` VMs are added or removed.
   */
  value: number;
}

/** A history of claims, with the faults of its network. */
export interface ClaimHistory {
  steps: ClaimStep[];
  seed: number;
  /** VMs in the first list. */
  vms: number;
  /** Fraction of messages that are lost, 0 to 1. */
  lossRate: number;
  /** Longest delay of a message in milliseconds. */
  maxDelayMs: number;
  /** How long holders keep a claim, in milliseconds. */
  horizonMs: number;
}

/** A call that ran under a claim, with simulated times in milliseconds. */
export interface ClaimedRun {
  key: string;
  /** When the claim was requested. */
  requestedMs: number;
  /** When the call ran. */
  ranMs: number;
}

/** VMs that exist in every history, listed or not. */
const VM_COUNT = 9;
/** Interval of a holder's syncs. */
const SYNC_INTERVAL_MS = 500;
/** Longest time until a VM receives a new list. */
const MAX_LIST_LAG_MS = 8000;
/** Step of the fake clock between two turns of the event loop. */
const CLOCK_STEP_MS = 50;
/** Longest pause of a VM, exclusive. */
const MAX_PAUSE_MS = 20_000;

interface SimulatedVm {
  name: string;
  holder: ClaimHolder;
  /** VM list last received by the broker, and by the entry. */
  brokerList: string[];
  entryList: string[];
  pausedUntilMs: number;
  /** Listeners for votes, by claim id. */
  voteListeners: Map<string, (vm: string, vote: ClaimVoteMessage) => void>;
}

/**
 * Runs a history in simulated time on the real claim holders and claimers.
 * Returns the calls that ran, the number of refused claims and the number of
 * messages sent, lost ones included.
 */
export async function runClaimHistory(
  history: ClaimHistory,
): Promise<{ runs: ClaimedRun[]; refused: number; messages: number }> {
  const clock = createFakeClock();
  const { seed, horizonMs } = history;
  const runs: ClaimedRun[] = [];
  let drawCount = 0;
  let refused = 0;
  let messages = 0;
  let activeClaims = 0;

  /** The next pseudorandom number of the seed, from 0 to below 1. */
  function drawFraction(): number {
    const digits = hashText(`${seed}/${drawCount++}`).slice(0, 8);
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
      voteListeners: new Map(),
    });
  }

  function startHolder(vm: string, known: string[]): ClaimHolder {
    const listLagMs = MAX_LIST_LAG_MS;
    const holder = createClaimHolder({ vm, clock, horizonMs, listLagMs });
    holder.setList(known);
    return holder;
  }

  /** Runs an action on a VM, after the pause if the VM is paused. */
  function runWhenResumed(vm: SimulatedVm, action: () => void): void {
    const waitMs = vm.pausedUntilMs - clock.now();
    if (waitMs > 0) clock.after(waitMs, () => runWhenResumed(vm, action));
    else action();
  }

  function deliver(to: string, action: (vm: SimulatedVm) => void): void {
    messages++;
    if (drawFraction() < history.lossRate) return;
    const vm = vms.get(to)!;
    clock.after(
      drawFraction() * history.maxDelayMs,
      () => runWhenResumed(vm, () => action(vm)),
    );
  }

  function receive(from: string, to: SimulatedVm, message: Message): void {
    handleMessage(
      {
        [MessageKind.Claim](claim) {
          const vote = to.holder.vote(claim);
          deliver(from, (vm) => vm.voteListeners.get(vote.id)?.(to.name, vote));
        },
        [MessageKind.ClaimOutcome]: (outcome) =>
          to.holder.applyOutcome(outcome),
        [MessageKind.ClaimSync](sync) {
          for (const answer of to.holder.answerSync(sync)) {
            deliver(from, (vm) => vm.holder.addRecords(answer, to.name));
          }
        },
      },
      message,
      undefined,
    );
  }

  function sync(vm: SimulatedVm): void {
    const pending = vm.holder.pendingSync();
    for (const name of pending?.vms ?? []) {
      deliver(name, (to) => receive(vm.name, to, pending!.sync));
    }
    clock.after(SYNC_INTERVAL_MS, () => runWhenResumed(vm, () => sync(vm)));
  }
  for (const vm of vms.values()) sync(vm);

  function transportOf(vm: SimulatedVm): ClaimTransport {
    return {
      send(to: string, message: ClaimMessage | ClaimOutcomeMessage) {
        deliver(to, (target) => receive(vm.name, target, message));
      },
      listen(id, onVote) {
        vm.voteListeners.set(id, onVote);
        return () => void vm.voteListeners.delete(id);
      },
    };
  }

  async function claim(vm: SimulatedVm, key: string): Promise<void> {
    const requestedMs = clock.now();
    // A paused entry's timers are deferred like its messages.
    const entryClock: Clock = {
      ...clock,
      after: (delayMs, action) =>
        clock.after(delayMs, () => runWhenResumed(vm, action)),
    };
    let acquired: Claim;
    try {
      acquired = await claimKey({
        key,
        fingerprint: "body",
        holders: listClaimHolders(key, vm.entryList),
      }, { clock: entryClock, transport: transportOf(vm), horizonMs });
    } catch {
      refused++;
      return;
    }
    await sleep(entryClock, drawFraction() * Math.min(horizonMs * 0.6, 20_000));
    const isFailed = drawFraction() < 0.2;
    if (isFailed || !acquired.isValid()) {
      acquired.finish(RunState.NotRun);
      return;
    }
    runs.push({ key, requestedMs, ranMs: clock.now() });
    acquired.finish(drawFraction() < 0.5 ? RunState.Ran : RunState.MayHaveRun);
  }

  function changeList(step: ClaimStep): void {
    const next = new Set(list);
    for (let count = 0; count <= step.value % 3; count++) {
      const name = names[(step.vmIndex + count * 4) % VM_COUNT];
      if (!next.delete(name)) next.add(name);
    }
    if (next.size === 0) return;
    list = [...next];
    const published = list;
    for (const vm of vms.values()) {
      const isNewer = (known: string[]) =>
        lists.indexOf(published) > lists.indexOf(known);
      clock.after(
        drawFraction() * MAX_LIST_LAG_MS,
        () =>
          runWhenResumed(vm, () => {
            if (!isNewer(vm.brokerList)) return;
            vm.brokerList = published;
            vm.holder.setList(published);
          }),
      );
      clock.after(
        drawFraction() * MAX_LIST_LAG_MS,
        () =>
          runWhenResumed(vm, () => {
            if (isNewer(vm.entryList)) vm.entryList = published;
          }),
      );
    }
    lists.push(published);
  }
  const lists = [list];

  const handlers: Record<
    ClaimStepKind,
    (vm: SimulatedVm, step: ClaimStep) => void
  > = {
    [ClaimStepKind.Claim]: (vm, step) =>
      runWhenResumed(vm, () => {
        activeClaims++;
        void claim(vm, `key-${step.value % 2}`).finally(() => activeClaims--);
      }),
    [ClaimStepKind.Restart](vm) {
      vm.holder = startHolder(vm.name, vm.brokerList);
    },
    [ClaimStepKind.Pause](vm, step) {
      vm.pausedUntilMs = clock.now() + (step.value / 1000) * MAX_PAUSE_MS;
    },
    [ClaimStepKind.ChangeList]: (_vm, step) => changeList(step),
    [ClaimStepKind.Wait]: () => {},
  };

  /**
   * Advances the clock, in small steps while claims are in progress, as their
   * promises resolve in turns of the event loop.
   */
  async function advance(totalMs: number): Promise<void> {
    for (
      let remainingMs = totalMs;
      remainingMs > 0;
      remainingMs -= CLOCK_STEP_MS
    ) {
      if (activeClaims === 0) return clock.advance(remainingMs);
      clock.advance(Math.min(remainingMs, CLOCK_STEP_MS));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  // All holders have just started; they vouch for keys only after a horizon.
  clock.advance(horizonMs);
  for (const step of history.steps) {
    handlers[step.kind](vms.get(names[step.vmIndex % VM_COUNT])!, step);
    await advance(step.kind === ClaimStepKind.Wait ? step.value * 10 : 100);
  }
  await advance(horizonMs);
  return { runs, refused, messages };
}

/**
 * Finds two runs of one key of which the second started less than a horizon
 * after the claim of the first was requested.
 */
export function findDuplicateRun(
  runs: readonly ClaimedRun[],
  horizonMs: number,
): [ClaimedRun, ClaimedRun] | undefined {
  for (const first of runs) {
    for (const second of runs) {
      if (first === second || first.key !== second.key) continue;
      if (first.ranMs > second.ranMs) continue;
      if (second.ranMs < first.requestedMs + horizonMs) return [first, second];
    }
  }
  return undefined;
}
