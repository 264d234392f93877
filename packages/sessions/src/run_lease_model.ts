import {
  createBackerLedger,
  createLeaderTenure,
  createListHistory,
  createMembership,
  GRANT_VALID_MS,
  LEASE_MS,
  LINGER_MS,
  START_MS,
} from "@rosemarytiller/lease";
import type { Clock } from "@rosemarytiller/shared";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Faults that a scenario brings about. */
export enum LeaseFaultKind {
  PauseEntry = "pause-entry",
  PauseBroker = "pause-broker",
  KillEntry = "kill-entry",
  KillBroker = "kill-broker",
  StopBroker = "stop-broker",
  /** Breaks the links between two groups of VMs. */
  Cut = "cut",
  /** Holds the links between two groups of VMs. */
  Freeze = "freeze",
  /** Takes a VM off the list for a time; it goes on unawares. */
  Unlist = "unlist",
  /** Keeps a group of brokers from reading the list. */
  Stale = "stale",
}

/** One fault. */
export interface LeaseFault {
  kind: LeaseFaultKind;
  atMs: number;
  forMs: number;
  /** The VM, or a bit for each VM of a group. */
  target: number;
}

/** What happens in a run of the model. */
export interface LeaseScenario {
  seed: number;
  vms: number;
  limit: number;
  reportsLoad: boolean;
  reportAgeMs: number;
  /** Longest call. */
  callMs: number;
  faults: LeaseFault[];
}

/** What a run showed. */
export interface LeaseResult {
  /** Most calls at once at the upstream. */
  peak: number;
  started: number;
  /** Most calls that one leader allowed after everything had healed. */
  healed: number;
  /** Permits that the leaders still count after all calls have ended. */
  leaked: number;
  /** Longest time between two starts of calls. */
  gapMs: number;
}

/** Longest lag of the model's VM list. */
export const MODEL_LIST_LAG_MS = 800;
const WINDOW_MS = 2 * MODEL_LIST_LAG_MS + LEASE_MS;
const BEAT_MS = 300;
const POOL = "pool";
const HEAL_MS = 15_000;
const DRAIN_MS = 3000;

interface Process {
  /** Number of the start; actions of an earlier one are dropped. */
  epoch: number;
  alive: boolean;
  pausedUntilMs: number;
  clock: Clock;
  held: (() => void)[];
}

/**
 * Runs real ledgers and tenures against a network that delays, breaks and
 * holds, with processes that pause and restart and clocks that drift, and
 * counts the calls at a fake upstream.
 */
export function runLeaseModel(scenario: LeaseScenario): LeaseResult {
  const random = xoroshiro128plus(scenario.seed);
  const uniform = (low: number, high: number) =>
    low + uniformFloat64(random) * (high - low);
  const world = createWorld();
  const lastFaultMs = Math.max(
    0,
    ...scenario.faults.map((fault) => fault.atMs + fault.forMs),
  );
  const healAtMs = Math.max(lastFaultMs, 2000) + HEAL_MS;
  const endMs = healAtMs + 3000;
  // Without load reports nobody can tell of calls that outlive their entry.
  const lingerMs = Math.min(
    scenario.callMs,
    scenario.reportsLoad ? LINGER_MS * 0.9 : LEASE_MS,
  );
  const names = Array.from({ length: scenario.vms }, (_, vm) => `vm-${vm}`);
  const upstream = createUpstream();
  let healed = 0;
  const lists = [{ atMs: -Infinity, members: names }];
  const links = new Map<string, ModelLink>();
  const entries = names.map((_, vm) => createEntry(vm));
  const brokers = names.map((_, vm) => createBroker(vm));
  const FAULTS: Record<LeaseFaultKind, (fault: LeaseFault) => void> = {
    [LeaseFaultKind.PauseEntry]: (fault) =>
      pause(entries[vmOf(fault)].process, fault.forMs),
    [LeaseFaultKind.PauseBroker]: (fault) =>
      pause(brokers[vmOf(fault)].process, fault.forMs),
    [LeaseFaultKind.KillEntry]: (fault) =>
      restartLater(entries[vmOf(fault)], fault),
    [LeaseFaultKind.KillBroker]: (fault) =>
      restartLater(brokers[vmOf(fault)], fault),
    [LeaseFaultKind.StopBroker](fault) {
      const broker = brokers[vmOf(fault)];
      inProcess(broker.process, broker.stop)();
      world.at(world.now() + 100, () => restartLater(broker, fault));
    },
    [LeaseFaultKind.Cut](fault) {
      eachAcross(fault.target, (link, entry, broker) => {
        link.cutUntilMs = world.now() + fault.forMs;
        breakLink(entry, broker);
      });
    },
    [LeaseFaultKind.Freeze](fault) {
      eachAcross(fault.target, (link) => {
        link.frozenUntilMs = world.now() + fault.forMs;
      });
    },
    [LeaseFaultKind.Unlist](fault) {
      const name = names[vmOf(fault)];
      publish(names.filter((other) => other !== name));
      world.at(world.now() + fault.forMs, () => publish(names));
    },
    [LeaseFaultKind.Stale](fault) {
      for (const [vm, broker] of brokers.entries()) {
        if ((fault.target >> vm & 1) === 0) continue;
        broker.staleUntilMs = world.now() + fault.forMs;
      }
    },
  };
  for (const fault of scenario.faults) {
    world.at(fault.atMs, () => FAULTS[fault.kind](fault));
  }
  for (let atMs = healAtMs; atMs < endMs; atMs += 200) {
    world.at(atMs, () => {
      const allowed = brokers.map((broker) => broker.allowance());
      healed = Math.max(healed, ...allowed);
    });
  }
  world.run(endMs + scenario.callMs + DRAIN_MS);
  return {
    peak: upstream.peak,
    started: upstream.started,
    healed,
    leaked: Math.max(...brokers.map((broker) => broker.backedLive())),
    gapMs: upstream.gapMs,
  };

  /** Publishes a list; a replica may still show the one before. */
  function publish(members: string[]): void {
    lists.unshift({ atMs: world.now(), members });
  }

  function createWorld() {
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
      at(atMs: number, run: () => void): void {
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

  function createProcess(): Process {
    const offsetMs = uniform(0, 1e6);
    const rate = uniform(0.99, 1.01);
    const now = () => offsetMs + rate * world.now();
    const after = () => () => {};
    const clock: Clock = { now, wall: now, after };
    return { epoch: 0, alive: true, pausedUntilMs: 0, clock, held: [] };
  }

  /** Runs an action in a process, unless that start of it has ended. */
  function inProcess(process: Process, action: () => void): () => void {
    const { epoch } = process;
    const guarded = () => {
      if (process.alive && process.epoch === epoch) action();
    };
    return () => {
      if (process.epoch !== epoch) return;
      if (world.now() < process.pausedUntilMs) process.held.push(guarded);
      else guarded();
    };
  }

  function pause(process: Process, forMs: number): void {
    const untilMs = world.now() + forMs;
    process.pausedUntilMs = Math.max(process.pausedUntilMs, untilMs);
    world.at(untilMs, () => {
      if (world.now() < process.pausedUntilMs) return;
      // What waited is handled in no settled order between links and timers.
      const held = process.held.splice(0);
      for (const action of held) action();
    });
  }

  function every(
    process: Process,
    intervalMs: number,
    action: () => void,
  ): void {
    const { epoch } = process;
    function tick(): void {
      if (process.epoch !== epoch) return;
      inProcess(process, action)();
      world.at(world.now() + intervalMs, tick);
    }
    world.at(world.now() + uniform(0, intervalMs), tick);
  }

  interface ModelLink {
    /** Number of the connection; messages of an older one still arrive. */
    connection: number;
    open: boolean;
    frozenUntilMs: number;
    cutUntilMs: number;
    /** Time of the last arrival in each direction, to keep the order. */
    lastMs: [toBroker: number, toEntry: number];
  }

  function linkOf(entry: number, broker: number): ModelLink {
    const key = `${entry} ${broker}`;
    let link = links.get(key);
    if (!link) {
      link = {
        connection: 0,
        open: true,
        frozenUntilMs: 0,
        cutUntilMs: 0,
        lastMs: [0, 0],
      };
      links.set(key, link);
    }
    return link;
  }

  /** Time at which a message arrives, in order with those before it. */
  function arrival(link: ModelLink, direction: 0 | 1): number {
    const slow = uniform(0, 1) < 0.05 ? uniform(0, 300) : uniform(0.2, 5);
    const atMs = Math.max(
      world.now() + slow,
      link.frozenUntilMs + uniform(0, 5),
      link.lastMs[direction] + 0.001,
    );
    link.lastMs[direction] = atMs;
    return atMs;
  }

  function breakLink(entry: number, broker: number): void {
    const link = linkOf(entry, broker);
    if (!link.open) return;
    link.open = false;
    link.connection++;
    link.lastMs = [0, 0];
    const side = brokers[broker];
    world.at(
      world.now() + uniform(0, 50),
      inProcess(side.process, () => side.linkEnded(entry)),
    );
    entries[entry].linkEnded(broker);
    reopen(entry, broker);
  }

  function reopen(entry: number, broker: number): void {
    const link = linkOf(entry, broker);
    world.at(world.now() + uniform(30, 300), () => {
      const blocked = world.now() < link.cutUntilMs ||
        !entries[entry].process.alive ||
        !brokers[broker].process.alive ||
        world.now() < entries[entry].process.pausedUntilMs ||
        world.now() < brokers[broker].process.pausedUntilMs;
      if (blocked) reopen(entry, broker);
      else link.open = true;
    });
  }

  function sendToBroker(
    from: number,
    to: number,
    action: (broker: ReturnType<typeof createBroker>) => void,
  ): void {
    const link = linkOf(from, to);
    if (!link.open) return;
    const broker = brokers[to];
    // A broker may read what an ended connection had still brought it.
    const run = inProcess(broker.process, () => action(broker));
    world.at(arrival(link, 0), run);
  }

  function sendToEntry(
    from: number,
    to: number,
    action: (entry: ReturnType<typeof createEntry>) => void,
  ): void {
    const link = linkOf(to, from);
    if (!link.open) return;
    const { connection } = link;
    const entry = entries[to];
    const run = inProcess(entry.process, () => {
      if (link.connection === connection) action(entry);
    });
    world.at(arrival(link, 1), run);
  }

  function createUpstream() {
    const running = new Map<string, true>();
    const counts: { atMs: number; calls: number }[] = [];
    let lastStartMs = 0;
    const state = {
      peak: 0,
      started: 0,
      gapMs: 0,
      begin(id: string, durationMs: number, onEnd: () => void): void {
        running.set(id, true);
        state.started++;
        state.gapMs = Math.max(state.gapMs, world.now() - lastStartMs);
        lastStartMs = world.now();
        state.peak = Math.max(state.peak, running.size);
        note();
        world.at(world.now() + durationMs, () => {
          if (state.end(id)) onEnd();
        });
      },
      end(id: string): boolean {
        const ended = running.delete(id);
        note();
        return ended;
      },
      callsAt(atMs: number): number {
        let calls = 0;
        for (const count of counts) {
          if (count.atMs > atMs) break;
          calls = count.calls;
        }
        return calls;
      },
    };
    function note(): void {
      counts.push({ atMs: world.now(), calls: running.size });
      while (counts.length > 1 && counts[1].atMs < world.now() - 5000) {
        counts.shift();
      }
    }
    return state;
  }

  interface HeldPermit {
    permit: string;
    granter: string;
  }

  function createEntry(vm: number) {
    const process = createProcess();
    let incarnation = 0;
    let ledger = createBackerLedger({ clock: process.clock });
    let startedMs = 0;
    let live = new Map<string, HeldPermit>();
    let asks = new Map<string, number>();
    let beats = new Map<
      number,
      { leader: string; stamp: number; ms: number }
    >();
    /** Terms told on each present link. */
    let told = new Map<number, number>();
    let calls: string[] = [];
    let nextId = 0;

    function isAlive(broker: number): boolean {
      const beat = beats.get(broker);
      return beat !== undefined && linkOf(vm, broker).open &&
        process.clock.now() - beat.ms < LEASE_MS;
    }

    /** The first live broker; now and then any other, to stir things. */
    function preferred(): number | undefined {
      const alive = brokers.map((_, broker) => broker).filter(isAlive);
      const stir = world.now() < lastFaultMs && uniform(0, 1) < 0.1;
      if (!stir) return alive[0];
      return alive[Math.floor(uniform(0, alive.length))];
    }

    function backedBroker(): number | undefined {
      const leader = ledger.leaderOf(POOL);
      for (const [broker, beat] of beats) {
        if (beat.leader === leader) return broker;
      }
      return undefined;
    }

    function choose(): void {
      const current = backedBroker();
      if (current !== undefined && isAlive(current)) return;
      const broker = preferred();
      if (broker === undefined) return;
      if (ledger.back(POOL, beats.get(broker)!.leader) === undefined) return;
      for (const [id, target] of asks) if (target !== broker) asks.delete(id);
      sendBack(broker);
    }

    function sendBack(broker: number): void {
      const beat = beats.get(broker)!;
      const [, term] = ledger.termsOf(beat.leader)[0] ?? [];
      ledger.renew(beat.leader);
      const report = term !== undefined && told.get(broker) !== term;
      if (term !== undefined) told.set(broker, term);
      const permits = report ? [...live.keys()] : undefined;
      const message = {
        incarnation,
        term,
        echo: beat.stamp,
        leader: beat.leader,
        stamp: ledger.stamp(),
        vouches: process.clock.now() - startedMs >= LINGER_MS * 1.02,
        permits,
      };
      sendToBroker(vm, broker, (side) => side.onBack(vm, message));
    }

    function askForMore(): void {
      if (world.now() > endMs) return asks.clear();
      const target = backedBroker() ?? preferred();
      if (target === undefined || !isAlive(target)) return;
      const wanted = Math.ceil(scenario.limit / 2) + 1;
      while (asks.size < wanted) {
        const id = `${vm}.${incarnation}.${nextId++}`;
        asks.set(id, target);
        const stamp = ledger.stamp();
        sendToBroker(
          vm,
          target,
          (side) => side.onAsk(vm, incarnation, id, stamp),
        );
      }
    }

    function finish(permit: string, granter: number): void {
      live.delete(permit);
      const current = backedBroker();
      for (const broker of new Set([granter, current ?? granter])) {
        sendToBroker(vm, broker, (side) => side.onDone(permit));
      }
    }

    function start(permit: string, leader: string, granter: number): void {
      live.set(permit, { permit, granter: leader });
      calls.push(permit);
      const { epoch } = process;
      world.at(world.now() + uniform(0, START_MS * 0.98), () => {
        // Bytes already sent arrive although the sender may have died.
        const lingers = process.epoch === epoch
          ? uniform(20, scenario.callMs * 0.95)
          : uniform(0, lingerMs);
        upstream.begin(permit, lingers, () => {
          const learn = inProcess(process, () => finish(permit, granter));
          world.at(world.now() + uniform(0, 100), learn);
        });
      });
    }

    function boot(): void {
      every(process, 50, () => {
        choose();
        askForMore();
      });
    }
    boot();

    return {
      process,
      onBeat(broker: number, beat: { leader: string; stamp: number }): void {
        beats.set(broker, { ...beat, ms: process.clock.now() });
        choose();
        sendBack(broker);
      },
      onGrant(
        broker: number,
        grant: { id: string; permit: string; stamp: number; leader: string },
      ): void {
        const asked = asks.delete(grant.id);
        const valid = process.clock.now() < grant.stamp + GRANT_VALID_MS;
        const usable = ledger.mayUse(POOL, grant.leader);
        if (asked && valid && usable) {
          // Whoever is backed next must hear of this call.
          if (ledger.leaderOf(POOL) !== grant.leader) told.clear();
          start(grant.permit, grant.leader, broker);
        } else {
          sendToBroker(vm, broker, (side) => side.onDone(grant.permit));
        }
      },
      onRelease(leader: string): void {
        ledger.release(POOL, leader);
      },
      linkEnded(broker: number): void {
        beats.delete(broker);
        told.delete(broker);
        for (const [id, target] of asks) if (target === broker) asks.delete(id);
      },
      kill(): void {
        process.alive = false;
        process.epoch++;
        process.held.length = 0;
        for (const permit of calls) {
          world.at(
            world.now() + uniform(0, lingerMs),
            () => upstream.end(permit),
          );
        }
        for (const broker of brokers.keys()) breakLink(vm, broker);
      },
      restart(): void {
        if (process.alive) return;
        process.alive = true;
        process.epoch++;
        incarnation++;
        ledger = createBackerLedger({ clock: process.clock });
        startedMs = process.clock.now();
        live = new Map();
        asks = new Map();
        beats = new Map();
        told = new Map();
        calls = [];
        boot();
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
        keepMs: WINDOW_MS + scenario.callMs,
      });
      const membershipOver = (windowMs: number) =>
        createMembership({
          clock,
          history,
          select: (members) => members,
          windowMs: () => windowMs,
          isConfirmed: () => clock.now() - confirmedMs < MODEL_LIST_LAG_MS,
        });
      const membership = membershipOver(WINDOW_MS);
      const callers = membershipOver(WINDOW_MS + scenario.callMs);
      const tenure = createLeaderTenure({
        clock,
        membership,
        callers: callers.all,
        callMs: () => scenario.callMs,
        reportsLoad: () => scenario.reportsLoad,
        knowsCallers: () => history.spanMs() >= WINDOW_MS + scenario.callMs,
      });
      return {
        history,
        tenure,
        publishedMs: NaN,
        asks: [] as { vm: number; id: string }[],
        stamps: new Map<number, { incarnation: number; stamp: number }>(),
        /** Time of the last message of each entry. */
        heard: new Map<number, number>(),
        nextPermit: 0,
        polling: false,
      };
    }

    const leader = () => `${vm}#${incarnation}`;

    function account() {
      return state.tenure.account("upstream");
    }

    function noteStamp(from: number, process: number, stamp: number): void {
      const known = state.stamps.get(from);
      if (known && known.incarnation > process) return;
      if (known?.incarnation === process && known.stamp >= stamp) return;
      state.tenure.noteProcess(names[from], process);
      state.stamps.set(from, { incarnation: process, stamp });
      state.heard.set(from, self.process.clock.now());
    }

    function pump(): void {
      while (state.asks.length > 0) {
        const allowed = state.tenure.allowance("upstream", scenario.limit);
        if (account().live() >= allowed) return;
        const { vm: to, id } = state.asks.shift()!;
        const permit = `${leader()}.${state.nextPermit++}`;
        account().granted(permit, names[to]);
        const stamp = state.stamps.get(to)!.stamp;
        const grant = { id, permit, stamp, leader: leader() };
        sendToEntry(vm, to, (entry) => entry.onGrant(vm, grant));
      }
    }

    function beat(): void {
      // Once all is well the first broker is preferred.
      if (vm > 0 && world.now() > lastFaultMs + 2000) self.stop();
      const stamp = process.clock.now();
      const message = { leader: leader(), stamp };
      for (const to of entries.keys()) {
        sendToEntry(vm, to, (entry) => entry.onBeat(vm, message));
      }
      for (const [to, heardMs] of state.heard) {
        if (process.clock.now() - heardMs < 2 * LEASE_MS) continue;
        state.heard.delete(to);
        state.tenure.lose(names[to]);
      }
      pump();
    }

    function poll(): void {
      if (!scenario.reportsLoad || state.polling) return;
      state.polling = true;
      const sentMs = process.clock.now();
      const forState = state;
      world.at(world.now() + uniform(0.1, 20), () => {
        const ageMs = scenario.reportAgeMs;
        const calls = upstream.callsAt(world.now() - ageMs);
        // The upstream's own clock has its drift as well.
        const measuredMs = sentMs - ageMs * 1.02;
        const answer = inProcess(process, () => {
          forState.polling = false;
          if (state !== forState) return;
          const load = { calls, measuredMs };
          state.tenure.report("upstream", load, scenario.limit);
          pump();
        });
        world.at(world.now() + uniform(0.1, 20), answer);
      });
    }

    /** Reads the list from a replica that may lag. */
    function watchList(): void {
      if (world.now() < self.staleUntilMs) return;
      const sentMs = process.clock.now();
      const lagMs = uniform(0, MODEL_LIST_LAG_MS);
      const shown = lists.find((list) => list.atMs <= world.now() - lagMs)!;
      const take = inProcess(process, () => {
        if (shown.atMs < state.publishedMs) return;
        confirmedMs = Math.max(confirmedMs, sentMs);
        if (state.publishedMs === shown.atMs) return;
        state.publishedMs = shown.atMs;
        state.history.observe(shown.members);
      });
      world.at(world.now() + uniform(1, 50), take);
    }

    function boot(): void {
      every(process, BEAT_MS, beat);
      every(process, 100, poll);
      every(process, 200, watchList);
    }
    boot();

    const self = {
      process,
      staleUntilMs: 0,
      onBack(from: number, back: {
        incarnation: number;
        term: number | undefined;
        echo: number;
        leader: string;
        stamp: number;
        vouches: boolean;
        permits: string[] | undefined;
      }): void {
        noteStamp(from, back.incarnation, back.stamp);
        const known = state.stamps.get(from)!;
        if (known.incarnation !== back.incarnation) return;
        if (back.term === undefined || back.leader !== leader()) return;
        const backing = { ...back, vm: names[from], term: back.term };
        const held = back.permits?.map((permit) => ({
          permit,
          upstream: "upstream",
        }));
        if (held) state.tenure.adopt(names[from], back.echo, held);
        if (state.tenure.isReleased(backing)) {
          const granter = leader();
          sendToEntry(vm, from, (entry) => entry.onRelease(granter));
        } else {
          state.tenure.back(backing);
        }
        pump();
      },
      onAsk(from: number, process: number, id: string, stamp: number): void {
        noteStamp(from, process, stamp);
        state.asks.push({ vm: from, id });
        pump();
      },
      onDone(permit: string): void {
        account().ended(permit);
        pump();
      },
      allowance: () => state.tenure.allowance("upstream", scenario.limit),
      backedLive: () =>
        state.tenure.backers().length > 0 ? account().live() : 0,
      linkEnded(from: number): void {
        state.asks = state.asks.filter((ask) => ask.vm !== from);
      },
      kill(): void {
        process.alive = false;
        process.epoch++;
        process.held.length = 0;
        for (const entry of entries.keys()) breakLink(entry, vm);
      },
      restart(): void {
        if (process.alive) return;
        process.alive = true;
        process.epoch++;
        incarnation++;
        confirmedMs = 0;
        state = createState();
        boot();
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

  function eachAcross(
    group: number,
    action: (link: ModelLink, entry: number, broker: number) => void,
  ): void {
    for (const entry of entries.keys()) {
      for (const broker of brokers.keys()) {
        if ((group >> entry & 1) === (group >> broker & 1)) continue;
        action(linkOf(entry, broker), entry, broker);
      }
    }
  }

  function restartLater(
    part: { kill(): void; restart(): void },
    fault: LeaseFault,
  ): void {
    part.kill();
    world.at(world.now() + fault.forMs, () => part.restart());
  }

  function vmOf(fault: LeaseFault): number {
    return fault.target % scenario.vms;
  }
}
