import {
  createBackerLedger,
  createLeaderTenure,
  createListHistory,
  createMembership,
  GRANT_VALID_MS,
  LEASE_MS,
  LOAD_LAG_MS,
  ORPHANED_CALL_MS,
} from "@rosemarytiller/lease";
import type { Clock } from "@rosemarytiller/shared";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Kinds of fault that a scenario injects. */
export enum LeaseFaultKind {
  /** Pauses the entry: its messages and timers are deferred. */
  PauseEntry = "pause-entry",
  /** Pauses the broker: its messages and timers are deferred. */
  PauseBroker = "pause-broker",
  /** Kills the entry at once and restarts it after the duration. */
  KillEntry = "kill-entry",
  /** Kills the broker at once and restarts it after the duration. */
  KillBroker = "kill-broker",
  /**
   * Makes the broker release its backers, kills it 100 ms later and restarts it
   * after a further duration.
   */
  StopBroker = "stop-broker",
  /** Keeps the links between two groups of VMs closed until the fault ends. */
  CloseLinks = "cut",
  /** Delays every message between two groups of VMs until the fault ends. */
  FreezeLinks = "freeze",
  /**
   * Removes a VM from the published list until the fault ends; its processes
   * keep running.
   */
  UnlistVm = "unlist",
  /** Keeps a group of brokers from reading the VM list until the fault ends. */
  StaleList = "stale",
}

/** One fault of a scenario, with times in milliseconds. */
export interface LeaseFault {
  kind: LeaseFaultKind;
  atMs: number;
  durationMs: number;
  /**
   * For faults of one VM, its index modulo the number of VMs; for faults of a
   * group, a bit mask of VM indexes.
   */
  target: number;
}

/** Input of `runLeaseModel`, with times in milliseconds. */
export interface LeaseScenario {
  seed: number;
  vms: number;
  /** Concurrency limit of the upstream. */
  limit: number;
  /** Whether the upstream reports how many calls it runs. */
  reportsLoad: boolean;
  /** Age of the counts in a load report. */
  reportAgeMs: number;
  /** Longest duration of a call. */
  maxCallMs: number;
  faults: LeaseFault[];
}

/** Output of `runLeaseModel`. */
export interface LeaseResult {
  /** Highest number of concurrent calls at the upstream. */
  peak: number;
  /** Calls that the upstream started. */
  started: number;
  /** Highest allowance of any one leader after the recovery period. */
  recoveredLimit: number;
  /**
   * Highest number of permits that any backed leader still counts after all
   * calls have ended.
   */
  leakedPermits: number;
  /** Longest time between two call starts, the first counted from 0, in ms. */
  maxStartGapMs: number;
}

/** Longest replication lag of the model's VM list, in milliseconds. */
export const MAX_MODEL_LIST_LAG_MS = 800;
/**
 * How long a VM that left the list still counts as a member and one that joined
 * doesn't: twice the lag of the list and a lease.
 */
const MEMBERSHIP_WINDOW_MS = 2 * MAX_MODEL_LIST_LAG_MS + LEASE_MS;
const HEARTBEAT_INTERVAL_MS = 300;
const POOL = "pool";
/** Time after the last fault until the leaders must allow the full limit. */
const RECOVERY_MS = 15_000;
/** Time after the longest call in which all permits must have been returned. */
const DRAIN_MS = 3000;

interface SimulatedProcess {
  /** Counts kills and restarts; actions of earlier epochs are dropped. */
  epoch: number;
  isAlive: boolean;
  pausedUntilMs: number;
  clock: Clock;
  /** Actions that became due during a pause. */
  deferred: (() => void)[];
}

/**
 * Simulates a fleet in virtual time and counts the concurrent calls at a fake
 * upstream. The ledgers and tenures are the real ones; the simulated network
 * delays messages and closes or freezes links, processes pause and restart, and
 * their clocks drift. The result depends on the scenario alone.
 */
export function runLeaseModel(scenario: LeaseScenario): LeaseResult {
  const random = xoroshiro128plus(scenario.seed);
  const uniform = (low: number, high: number) =>
    low + uniformFloat64(random) * (high - low);
  const simulator = createSimulator();
  const lastFaultMs = Math.max(
    0,
    ...scenario.faults.map((fault) => fault.atMs + fault.durationMs),
  );
  const recoveredAtMs = Math.max(lastFaultMs, 2000) + RECOVERY_MS;
  const endMs = recoveredAtMs + 3000;
  // Longest time that a call outlives its killed entry. Without load reports no
  // process can count such calls, so the model assumes that they end within
  // LEASE_MS; with reports they end within ORPHANED_CALL_MS, less a margin.
  const maxOrphanMs = Math.min(
    scenario.maxCallMs,
    scenario.reportsLoad ? ORPHANED_CALL_MS * 0.9 : LEASE_MS,
  );
  const names = Array.from({ length: scenario.vms }, (_, vm) => `vm-${vm}`);
  const upstream = createUpstream();
  let recoveredLimit = 0;
  const lists = [{ atMs: -Infinity, members: names }];
  const links = new Map<string, ModelLink>();
  const entries = names.map((_, vm) => createEntry(vm));
  const brokers = names.map((_, vm) => createBroker(vm));
  const faultHandlers: Record<LeaseFaultKind, (fault: LeaseFault) => void> = {
    [LeaseFaultKind.PauseEntry]: (fault) =>
      pause(entries[vmOf(fault)].process, fault.durationMs),
    [LeaseFaultKind.PauseBroker]: (fault) =>
      pause(brokers[vmOf(fault)].process, fault.durationMs),
    [LeaseFaultKind.KillEntry]: (fault) =>
      killAndRestart(entries[vmOf(fault)], fault),
    [LeaseFaultKind.KillBroker]: (fault) =>
      killAndRestart(brokers[vmOf(fault)], fault),
    [LeaseFaultKind.StopBroker](fault) {
      const broker = brokers[vmOf(fault)];
      bindToProcess(broker.process, broker.stop)();
      simulator.schedule(
        simulator.now() + 100,
        () => killAndRestart(broker, fault),
      );
    },
    [LeaseFaultKind.CloseLinks](fault) {
      forEachLinkAcross(fault.target, (link, entry, broker) => {
        link.cutUntilMs = simulator.now() + fault.durationMs;
        closeLink(entry, broker);
      });
    },
    [LeaseFaultKind.FreezeLinks](fault) {
      forEachLinkAcross(fault.target, (link) => {
        link.frozenUntilMs = simulator.now() + fault.durationMs;
      });
    },
    [LeaseFaultKind.UnlistVm](fault) {
      const name = names[vmOf(fault)];
      publish(names.filter((other) => other !== name));
      simulator.schedule(
        simulator.now() + fault.durationMs,
        () => publish(names),
      );
    },
    [LeaseFaultKind.StaleList](fault) {
      for (const [vm, broker] of brokers.entries()) {
        if ((fault.target >> vm & 1) === 0) continue;
        broker.staleUntilMs = simulator.now() + fault.durationMs;
      }
    },
  };
  for (const fault of scenario.faults) {
    simulator.schedule(fault.atMs, () => faultHandlers[fault.kind](fault));
  }
  for (let atMs = recoveredAtMs; atMs < endMs; atMs += 200) {
    simulator.schedule(atMs, () => {
      const allowed = brokers.map((broker) => broker.allowance());
      recoveredLimit = Math.max(recoveredLimit, ...allowed);
    });
  }
  simulator.run(endMs + scenario.maxCallMs + DRAIN_MS);
  return {
    peak: upstream.peak,
    started: upstream.started,
    recoveredLimit,
    leakedPermits: Math.max(
      ...brokers.map((broker) => broker.backedLivePermits()),
    ),
    maxStartGapMs: upstream.gapMs,
  };

  /** Publishes a VM list; lagging replicas still return the previous one. */
  function publish(members: string[]): void {
    lists.unshift({ atMs: simulator.now(), members });
  }

  function createSimulator() {
    let nowMs = 0;
    let sequence = 0;
    const heap: { atMs: number; sequence: number; run: () => void }[] = [];
    const before = (left: number, right: number) =>
      heap[left].atMs < heap[right].atMs ||
      (heap[left].atMs === heap[right].atMs &&
        heap[left].sequence < heap[right].sequence);
    function swap(left: number, right: number): void {
      [heap[left], heap[right]] = [heap[right], heap[left]];
    }
    function pop() {
      const top = heap[0];
      const last = heap.pop()!;
      if (heap.length === 0) return top;
      heap[0] = last;
      for (let place = 0;;) {
        let least = place;
        for (const child of [2 * place + 1, 2 * place + 2]) {
          if (child < heap.length && before(child, least)) least = child;
        }
        if (least === place) return top;
        swap(place, least);
        place = least;
      }
    }
    return {
      now: () => nowMs,
      schedule(atMs: number, run: () => void): void {
        heap.push({ atMs: Math.max(atMs, nowMs), sequence: sequence++, run });
        let place = heap.length - 1;
        while (place > 0) {
          const parent = (place - 1) >> 1;
          if (!before(place, parent)) return;
          swap(place, parent);
          place = parent;
        }
      },
      run(untilMs: number): void {
        while (heap.length > 0 && heap[0].atMs <= untilMs) {
          const event = pop();
          nowMs = event.atMs;
          event.run();
        }
      },
    };
  }

  function createProcess(): SimulatedProcess {
    const offsetMs = uniform(0, 1e6);
    // Within the CLOCK_DRIFT that the lease protocol allows for.
    const rate = uniform(0.99, 1.01);
    const now = () => offsetMs + rate * simulator.now();
    // Ledgers and tenures set no timers.
    const after = () => () => {};
    const clock: Clock = { now, wall: now, after };
    return { epoch: 0, isAlive: true, pausedUntilMs: 0, clock, deferred: [] };
  }

  /**
   * Wraps an action of a process: it is deferred while the process is paused
   * and dropped if the process has been killed since it was wrapped.
   */
  function bindToProcess(
    process: SimulatedProcess,
    action: () => void,
  ): () => void {
    const { epoch } = process;
    const guarded = () => {
      if (process.isAlive && process.epoch === epoch) action();
    };
    return () => {
      if (process.epoch !== epoch) return;
      if (simulator.now() < process.pausedUntilMs) {
        process.deferred.push(guarded);
      } else guarded();
    };
  }

  function pause(process: SimulatedProcess, durationMs: number): void {
    const untilMs = simulator.now() + durationMs;
    process.pausedUntilMs = Math.max(process.pausedUntilMs, untilMs);
    simulator.schedule(untilMs, () => {
      if (simulator.now() < process.pausedUntilMs) return;
      // They run in the order in which they became due; real processes
      // guarantee no order between messages and timers.
      const actions = process.deferred.splice(0);
      for (const action of actions) action();
    });
  }

  function every(
    process: SimulatedProcess,
    intervalMs: number,
    action: () => void,
  ): void {
    const { epoch } = process;
    function tick(): void {
      if (process.epoch !== epoch) return;
      bindToProcess(process, action)();
      simulator.schedule(simulator.now() + intervalMs, tick);
    }
    simulator.schedule(simulator.now() + uniform(0, intervalMs), tick);
  }

  interface ModelLink {
    /**
     * Number of the current connection. Brokers still receive messages of an
     * older one; entries drop them.
     */
    connection: number;
    isOpen: boolean;
    frozenUntilMs: number;
    cutUntilMs: number;
    /** Last arrival time in each direction; later messages arrive after it. */
    lastArrivalMs: [toBroker: number, toEntry: number];
  }

  function getLink(entry: number, broker: number): ModelLink {
    const key = `${entry} ${broker}`;
    let link = links.get(key);
    if (!link) {
      link = {
        connection: 0,
        isOpen: true,
        frozenUntilMs: 0,
        cutUntilMs: 0,
        lastArrivalMs: [0, 0],
      };
      links.set(key, link);
    }
    return link;
  }

  /** Picks a message's arrival time, after earlier ones in its direction. */
  function nextArrivalMs(link: ModelLink, direction: 0 | 1): number {
    const delayMs = uniform(0, 1) < 0.05 ? uniform(0, 300) : uniform(0.2, 5);
    const atMs = Math.max(
      simulator.now() + delayMs,
      link.frozenUntilMs + uniform(0, 5),
      link.lastArrivalMs[direction] + 0.001,
    );
    link.lastArrivalMs[direction] = atMs;
    return atMs;
  }

  function closeLink(entry: number, broker: number): void {
    const link = getLink(entry, broker);
    if (!link.isOpen) return;
    link.isOpen = false;
    link.connection++;
    link.lastArrivalMs = [0, 0];
    const peer = brokers[broker];
    simulator.schedule(
      simulator.now() + uniform(0, 50),
      bindToProcess(peer.process, () => peer.onLinkClosed(entry)),
    );
    entries[entry].onLinkClosed(broker);
    reopenLink(entry, broker);
  }

  function reopenLink(entry: number, broker: number): void {
    const link = getLink(entry, broker);
    simulator.schedule(simulator.now() + uniform(30, 300), () => {
      const blocked = simulator.now() < link.cutUntilMs ||
        !entries[entry].process.isAlive ||
        !brokers[broker].process.isAlive ||
        simulator.now() < entries[entry].process.pausedUntilMs ||
        simulator.now() < brokers[broker].process.pausedUntilMs;
      if (blocked) reopenLink(entry, broker);
      else link.isOpen = true;
    });
  }

  function sendToBroker(
    from: number,
    to: number,
    action: (broker: ReturnType<typeof createBroker>) => void,
  ): void {
    const link = getLink(from, to);
    if (!link.isOpen) return;
    const broker = brokers[to];
    // A broker may still read messages buffered before the connection closed.
    const run = bindToProcess(broker.process, () => action(broker));
    simulator.schedule(nextArrivalMs(link, 0), run);
  }

  function sendToEntry(
    from: number,
    to: number,
    action: (entry: ReturnType<typeof createEntry>) => void,
  ): void {
    const link = getLink(to, from);
    if (!link.isOpen) return;
    const { connection } = link;
    const entry = entries[to];
    const run = bindToProcess(entry.process, () => {
      if (link.connection === connection) action(entry);
    });
    simulator.schedule(nextArrivalMs(link, 1), run);
  }

  function createUpstream() {
    const running = new Map<string, true>();
    const callCounts: { atMs: number; calls: number }[] = [];
    let lastStartMs = 0;
    const state = {
      peak: 0,
      started: 0,
      gapMs: 0,
      startCall(id: string, durationMs: number, onEnd: () => void): void {
        running.set(id, true);
        state.started++;
        state.gapMs = Math.max(state.gapMs, simulator.now() - lastStartMs);
        lastStartMs = simulator.now();
        state.peak = Math.max(state.peak, running.size);
        recordCount();
        simulator.schedule(simulator.now() + durationMs, () => {
          if (state.endCall(id)) onEnd();
        });
      },
      endCall(id: string): boolean {
        const ended = running.delete(id);
        recordCount();
        return ended;
      },
      callsAt(atMs: number): number {
        let calls = 0;
        for (const count of callCounts) {
          if (count.atMs > atMs) break;
          calls = count.calls;
        }
        return calls;
      },
    };
    function recordCount(): void {
      callCounts.push({ atMs: simulator.now(), calls: running.size });
      while (
        callCounts.length > 1 && callCounts[1].atMs < simulator.now() - 5000
      ) {
        callCounts.shift();
      }
    }
    return state;
  }

  interface LivePermit {
    permit: string;
    leader: string;
  }

  function createEntry(vm: number) {
    const process = createProcess();
    let incarnation = 0;
    let ledger = createBackerLedger({ clock: process.clock });
    let startedMs = 0;
    let live = new Map<string, LivePermit>();
    let permitRequests = new Map<string, number>();
    let heartbeats = new Map<
      number,
      { leader: string; stamp: number; receivedMs: number }
    >();
    /** Term last reported to each broker on the current link. */
    let reportedTerms = new Map<number, number>();
    let calls: string[] = [];
    let nextId = 0;

    function isReachable(broker: number): boolean {
      const heartbeat = heartbeats.get(broker);
      return heartbeat !== undefined && getLink(vm, broker).isOpen &&
        process.clock.now() - heartbeat.receivedMs < LEASE_MS;
    }

    /**
     * The first reachable broker. Until the last fault ends, each choice has a
     * 10 % chance of a random one instead, so that leadership changes more
     * often.
     */
    function choosePreferred(): number | undefined {
      const reachable = brokers.map((_, broker) => broker).filter(isReachable);
      const picksRandom = simulator.now() < lastFaultMs && uniform(0, 1) < 0.1;
      if (!picksRandom) return reachable[0];
      return reachable[Math.floor(uniform(0, reachable.length))];
    }

    function backedBroker(): number | undefined {
      const leader = ledger.leaderOf(POOL);
      for (const [broker, heartbeat] of heartbeats) {
        if (heartbeat.leader === leader) return broker;
      }
      return undefined;
    }

    function backReachableBroker(): void {
      const current = backedBroker();
      if (current !== undefined && isReachable(current)) return;
      const broker = choosePreferred();
      if (broker === undefined) return;
      if (ledger.back(POOL, heartbeats.get(broker)!.leader) === undefined) {
        return;
      }
      for (const [id, target] of permitRequests) {
        if (target !== broker) permitRequests.delete(id);
      }
      sendBacking(broker);
    }

    function sendBacking(broker: number): void {
      const heartbeat = heartbeats.get(broker)!;
      const [, term] = ledger.termsOf(heartbeat.leader)[0] ?? [];
      ledger.renew(heartbeat.leader);
      const reportsPermits = term !== undefined &&
        reportedTerms.get(broker) !== term;
      if (term !== undefined) reportedTerms.set(broker, term);
      const permits = reportsPermits ? [...live.keys()] : undefined;
      const message = {
        incarnation,
        term,
        echo: heartbeat.stamp,
        leader: heartbeat.leader,
        stamp: ledger.stamp(),
        // The factor covers the drift of this clock.
        vouches: process.clock.now() - startedMs >= ORPHANED_CALL_MS * 1.02,
        permits,
      };
      sendToBroker(vm, broker, (receiver) => receiver.onBacking(vm, message));
    }

    function requestPermits(): void {
      if (simulator.now() > endMs) return permitRequests.clear();
      const target = backedBroker() ?? choosePreferred();
      if (target === undefined || !isReachable(target)) return;
      const requestCount = Math.ceil(scenario.limit / 2) + 1;
      while (permitRequests.size < requestCount) {
        const id = `${vm}.${incarnation}.${nextId++}`;
        permitRequests.set(id, target);
        const stamp = ledger.stamp();
        sendToBroker(
          vm,
          target,
          (receiver) => receiver.onPermitRequest(vm, incarnation, id, stamp),
        );
      }
    }

    function finish(permit: string, grantingBroker: number): void {
      live.delete(permit);
      const current = backedBroker();
      for (
        const broker of new Set([grantingBroker, current ?? grantingBroker])
      ) {
        sendToBroker(vm, broker, (receiver) => receiver.onPermitEnded(permit));
      }
    }

    function start(
      permit: string,
      leader: string,
      grantingBroker: number,
    ): void {
      live.set(permit, { permit, leader });
      calls.push(permit);
      const { epoch } = process;
      // The factors keep the times below LOAD_LAG_MS and maxCallMs by any clock.
      simulator.schedule(
        simulator.now() + uniform(0, LOAD_LAG_MS * 0.98),
        () => {
          // Bytes already sent still arrive after the entry was killed.
          const durationMs = process.epoch === epoch
            ? uniform(20, scenario.maxCallMs * 0.95)
            : uniform(0, maxOrphanMs);
          upstream.startCall(permit, durationMs, () => {
            const onEnd = bindToProcess(
              process,
              () => finish(permit, grantingBroker),
            );
            simulator.schedule(simulator.now() + uniform(0, 100), onEnd);
          });
        },
      );
    }

    function startTimers(): void {
      every(process, 50, () => {
        backReachableBroker();
        requestPermits();
      });
    }
    startTimers();

    return {
      process,
      onHeartbeat(
        broker: number,
        heartbeat: { leader: string; stamp: number },
      ): void {
        heartbeats.set(broker, {
          ...heartbeat,
          receivedMs: process.clock.now(),
        });
        backReachableBroker();
        sendBacking(broker);
      },
      onGrant(
        broker: number,
        grant: { id: string; permit: string; stamp: number; leader: string },
      ): void {
        const wasRequested = permitRequests.delete(grant.id);
        const isValid = process.clock.now() < grant.stamp + GRANT_VALID_MS;
        const isUsable = ledger.mayUse(POOL, grant.leader);
        if (wasRequested && isValid && isUsable) {
          // The next leader must receive a report that includes this call.
          if (ledger.leaderOf(POOL) !== grant.leader) reportedTerms.clear();
          start(grant.permit, grant.leader, broker);
        } else {
          sendToBroker(
            vm,
            broker,
            (receiver) => receiver.onPermitEnded(grant.permit),
          );
        }
      },
      onRelease(leader: string): void {
        ledger.release(POOL, leader);
      },
      onLinkClosed(broker: number): void {
        heartbeats.delete(broker);
        reportedTerms.delete(broker);
        for (const [id, target] of permitRequests) {
          if (target === broker) permitRequests.delete(id);
        }
      },
      kill(): void {
        process.isAlive = false;
        process.epoch++;
        process.deferred.length = 0;
        for (const permit of calls) {
          simulator.schedule(
            simulator.now() + uniform(0, maxOrphanMs),
            () => upstream.endCall(permit),
          );
        }
        for (const broker of brokers.keys()) closeLink(vm, broker);
      },
      restart(): void {
        if (process.isAlive) return;
        process.isAlive = true;
        process.epoch++;
        incarnation++;
        ledger = createBackerLedger({ clock: process.clock });
        startedMs = process.clock.now();
        live = new Map();
        permitRequests = new Map();
        heartbeats = new Map();
        reportedTerms = new Map();
        calls = [];
        startTimers();
      },
    };
  }

  function createBroker(vm: number) {
    const process = createProcess();
    let incarnation = 0;
    let state = createState();
    let confirmedMs = 0;

    function createState() {
      const { clock } = process;
      const history = createListHistory<readonly string[]>({
        clock,
        keepMs: MEMBERSHIP_WINDOW_MS + scenario.maxCallMs,
      });
      const createMembershipOver = (windowMs: number) =>
        createMembership({
          clock,
          history,
          select: (members) => members,
          windowMs: () => windowMs,
          isConfirmed: () => clock.now() - confirmedMs < MAX_MODEL_LIST_LAG_MS,
        });
      const membership = createMembershipOver(MEMBERSHIP_WINDOW_MS);
      const callingMembers = createMembershipOver(
        MEMBERSHIP_WINDOW_MS + scenario.maxCallMs,
      );
      const tenure = createLeaderTenure({
        clock,
        membership,
        callers: callingMembers.members,
        callMs: () => scenario.maxCallMs,
        reportsLoad: () => scenario.reportsLoad,
        knowsCallers: () =>
          history.spanMs() >= MEMBERSHIP_WINDOW_MS + scenario.maxCallMs,
      });
      return {
        history,
        tenure,
        publishedMs: NaN,
        pendingRequests: [] as { vm: number; id: string }[],
        stamps: new Map<number, { incarnation: number; stamp: number }>(),
        /** Time of the last message from each entry. */
        lastMessageMs: new Map<number, number>(),
        nextPermit: 0,
        polling: false,
      };
    }

    const leader = () => `${vm}#${incarnation}`;

    function account() {
      return state.tenure.account("upstream");
    }

    function recordStamp(
      from: number,
      entryIncarnation: number,
      stamp: number,
    ): void {
      const known = state.stamps.get(from);
      if (known && known.incarnation > entryIncarnation) return;
      if (known?.incarnation === entryIncarnation && known.stamp >= stamp) {
        return;
      }
      state.tenure.recordProcess(names[from], entryIncarnation);
      state.stamps.set(from, { incarnation: entryIncarnation, stamp });
      state.lastMessageMs.set(from, self.process.clock.now());
    }

    function grantPermits(): void {
      while (state.pendingRequests.length > 0) {
        const allowed = state.tenure.allowance("upstream", scenario.limit);
        if (account().live() >= allowed) return;
        const { vm: to, id } = state.pendingRequests.shift()!;
        const permit = `${leader()}.${state.nextPermit++}`;
        account().onGranted(permit, names[to]);
        const stamp = state.stamps.get(to)!.stamp;
        const grant = { id, permit, stamp, leader: leader() };
        sendToEntry(vm, to, (entry) => entry.onGrant(vm, grant));
      }
    }

    function sendHeartbeats(): void {
      // From 2 s after the last fault ends, the other brokers release their
      // backers, so that leadership returns to the first.
      if (vm > 0 && simulator.now() > lastFaultMs + 2000) self.stop();
      const stamp = process.clock.now();
      const message = { leader: leader(), stamp };
      for (const to of entries.keys()) {
        sendToEntry(vm, to, (entry) => entry.onHeartbeat(vm, message));
      }
      for (const [to, receivedMs] of state.lastMessageMs) {
        if (process.clock.now() - receivedMs < 2 * LEASE_MS) continue;
        state.lastMessageMs.delete(to);
        state.tenure.markUnreachable(names[to]);
      }
      grantPermits();
    }

    function pollLoad(): void {
      if (!scenario.reportsLoad || state.polling) return;
      state.polling = true;
      const sentMs = process.clock.now();
      const polledState = state;
      simulator.schedule(simulator.now() + uniform(0.1, 20), () => {
        const ageMs = scenario.reportAgeMs;
        const calls = upstream.callsAt(simulator.now() - ageMs);
        // The upstream's own clock drifts too, so the age is lengthened by 2 %.
        const measuredMs = sentMs - ageMs * 1.02;
        const answer = bindToProcess(process, () => {
          polledState.polling = false;
          if (state !== polledState) return;
          const load = { calls, measuredMs };
          state.tenure.report("upstream", load, scenario.limit);
          grantPermits();
        });
        simulator.schedule(simulator.now() + uniform(0.1, 20), answer);
      });
    }

    /** Reads the VM list from a replica with a random lag. */
    function pollList(): void {
      if (simulator.now() < self.staleUntilMs) return;
      const sentMs = process.clock.now();
      const lagMs = uniform(0, MAX_MODEL_LIST_LAG_MS);
      const visibleList = lists.find((list) =>
        list.atMs <= simulator.now() - lagMs
      )!;
      const applyList = bindToProcess(process, () => {
        if (visibleList.atMs < state.publishedMs) return;
        confirmedMs = Math.max(confirmedMs, sentMs);
        if (state.publishedMs === visibleList.atMs) return;
        state.publishedMs = visibleList.atMs;
        state.history.observe(visibleList.members);
      });
      simulator.schedule(simulator.now() + uniform(1, 50), applyList);
    }

    function startTimers(): void {
      every(process, HEARTBEAT_INTERVAL_MS, sendHeartbeats);
      every(process, 100, pollLoad);
      every(process, 200, pollList);
    }
    startTimers();

    const self = {
      process,
      staleUntilMs: 0,
      onBacking(from: number, message: {
        incarnation: number;
        term: number | undefined;
        echo: number;
        leader: string;
        stamp: number;
        vouches: boolean;
        permits: string[] | undefined;
      }): void {
        recordStamp(from, message.incarnation, message.stamp);
        const known = state.stamps.get(from)!;
        if (known.incarnation !== message.incarnation) return;
        if (message.term === undefined || message.leader !== leader()) return;
        const backing = { ...message, vm: names[from], term: message.term };
        const livePermits = message.permits?.map((permit) => ({
          permit,
          upstream: "upstream",
        }));
        if (livePermits) {
          state.tenure.reconcilePermits(names[from], message.echo, livePermits);
        }
        if (state.tenure.isReleased(backing)) {
          const granter = leader();
          sendToEntry(vm, from, (entry) => entry.onRelease(granter));
        } else {
          state.tenure.recordBacking(backing);
        }
        grantPermits();
      },
      onPermitRequest(
        from: number,
        entryIncarnation: number,
        id: string,
        stamp: number,
      ): void {
        recordStamp(from, entryIncarnation, stamp);
        state.pendingRequests.push({ vm: from, id });
        grantPermits();
      },
      onPermitEnded(permit: string): void {
        account().onEnded(permit);
        grantPermits();
      },
      allowance: () => state.tenure.allowance("upstream", scenario.limit),
      backedLivePermits: () =>
        state.tenure.backers().length > 0 ? account().live() : 0,
      onLinkClosed(from: number): void {
        state.pendingRequests = state.pendingRequests.filter((request) =>
          request.vm !== from
        );
      },
      kill(): void {
        process.isAlive = false;
        process.epoch++;
        process.deferred.length = 0;
        for (const entry of entries.keys()) closeLink(entry, vm);
      },
      restart(): void {
        if (process.isAlive) return;
        process.isAlive = true;
        process.epoch++;
        incarnation++;
        confirmedMs = 0;
        state = createState();
        startTimers();
      },
      stop(): void {
        for (const to of state.tenure.backers()) {
          state.tenure.release(to);
          const from = leader();
          sendToEntry(
            vm,
            names.indexOf(to),
            (entry) => entry.onRelease(from),
          );
        }
      },
    };
    return self;
  }

  function forEachLinkAcross(
    group: number,
    action: (link: ModelLink, entry: number, broker: number) => void,
  ): void {
    for (const entry of entries.keys()) {
      for (const broker of brokers.keys()) {
        if ((group >> entry & 1) === (group >> broker & 1)) continue;
        action(getLink(entry, broker), entry, broker);
      }
    }
  }

  function killAndRestart(
    target: { kill(): void; restart(): void },
    fault: LeaseFault,
  ): void {
    target.kill();
    simulator.schedule(
      simulator.now() + fault.durationMs,
      () => target.restart(),
    );
  }

  function vmOf(fault: LeaseFault): number {
    return fault.target % scenario.vms;
  }
}
