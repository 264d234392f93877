import {
  CallEnd,
  LoadEventKind,
  type PeerNetwork,
} from "@rosemarytiller/peers";
import {
  type CallRank,
  chooseEngine,
  type EngineCandidate,
  type EngineChoice,
} from "@rosemarytiller/policy";
import {
  type CancelTimer,
  type Clock,
  ErrorKind,
  TillerError,
} from "@rosemarytiller/shared";
import type { Registry, Upstream } from "./create_registry.ts";
import type { Prompt, ServiceDefinition } from "./ports.ts";

/** A request that needs an upstream. */
export interface PlaceJob {
  service: ServiceDefinition;
  /** Order among requests, 0 the most urgent. */
  urgency: number;
  rank: CallRank;
  prompt: Prompt | undefined;
  /** Longest pause between events that is still on time, in ms. */
  maxPauseMs: number;
  targetMs: number;
  arrivedMs: number;
  /** Time after which nobody waits for the answer. */
  giveUpMs: number;
  /** Upstreams that were tried. */
  avoid: ReadonlySet<string>;
}

/** An upstream that was chosen for one call. */
export interface Placement {
  upstream: Upstream;
  /** Number of the call, unique on this VM. */
  call: number;
  newTokens: number;
  /** Predicted time to the first event, in milliseconds. */
  predictedMs: number;
  /** How long the request was held before, in milliseconds. */
  heldMs: number;
  onFirstEvent(): void;
  /** Ends the call; later calls do nothing. */
  release(end: CallEnd): void;
}

/** Chooses upstreams, and holds requests while none may take them. */
export interface Placer {
  /** Resolves with a place; rejects with a refusal. */
  place(job: PlaceJob, signal: AbortSignal): Promise<Placement>;
  /** Places a call at a given upstream at once. */
  placeAt(upstream: Upstream, job: PlaceJob): Placement;
  /** This VM's open calls by upstream. */
  ownCalls(): [string, number[]][];
  heldCount(): number;
  /** Something changed that may give room. */
  wake(): void;
}

/** What the placer needs. */
export interface PlacerOptions {
  clock: Clock;
  registry: Registry;
  network: Pick<
    PeerNetwork,
    "tell" | "knownCount" | "nearCount" | "isLarge"
  >;
  dataCentre: string;
}

/** Share of the target for which a request is held before it is refused. */
const HOLD_SHARE = 0.4;
/** Share of the target that a held request uses up at most. */
const ON_TIME_SHARE = 0.9;
/** Share of the target by which a prediction may miss it. */
const LATE_SHARE = 0.25;
/** Time between two looks for room while requests are held, in ms. */
const LOOK_MS = 5;
/** Cost of another data centre, in milliseconds of delay. */
const REMOTE_COST_MS = 4;
/** Random cost of engines whose load is not known, in milliseconds. */
const UNKNOWN_SPREAD_MS = 120;
/** Calls that may wait at a plain service beyond its slots. */
const SERVICE_QUEUE = 3;
/** Cost of a failure that is certain, in calls at a plain service. */
const SERVICE_FAILURE_CALLS = 12;
/** Cost of another data centre, in calls at a plain service. */
const SERVICE_REMOTE_CALLS = 0.4;
/** The same where the calls there are hardly known. */
const UNKNOWN_REMOTE_CALLS = 2;
/** Bounds of the time after which a refused caller may come back, in ms. */
const RETRY_AFTER_RANGE_MS = [150, 1500] as const;

interface HeldJob {
  job: PlaceJob;
  resolve(placement: Placement): void;
  reject(error: TillerError): void;
}

interface Candidate extends EngineCandidate {
  upstream: Upstream;
}

/** Creates a placer that holds nothing. */
export function createPlacer(options: PlacerOptions): Placer {
  const { clock, registry, network, dataCentre } = options;
  /** Held requests, the most urgent and oldest first. */
  const held: HeldJob[] = [];
  const own = new Map<string, Set<number>>();
  let nextCall = 1;
  let cancelLook: CancelTimer | undefined;

  function candidates(job: PlaceJob): Upstream[] {
    const list: Upstream[] = [];
    const isLarge = network.isLarge();
    const vms = isLarge ? network.nearCount() : network.knownCount();
    for (const upstream of registry.eligible(job.service.name)) {
      if (job.avoid.has(upstream.entry.id)) continue;
      if (upstream.coldUntilMs > clock.now()) {
        // In a large fleet only the VMs beside it warm an upstream.
        const isFar = upstream.entry.dataCentre !== dataCentre;
        if (isLarge && isFar) continue;
        if (!registry.admitsCold(upstream, vms)) continue;
      }
      list.push(upstream);
    }
    return isLarge && job.service.engine ? nearest(list) : list;
  }

  /**
   * Of a large fleet's engines, the load of those beside this VM is known; the
   * others look idle whatever they hold, and are used for want of any near.
   */
  function nearest(list: Upstream[]): Upstream[] {
    const near = list.filter((one) => one.entry.dataCentre === dataCentre);
    return near.length > 0 ? near : list;
  }

  function choose(job: PlaceJob): EngineChoice<Candidate> | undefined {
    const list = candidates(job);
    const { engine } = job.service;
    if (!engine || !job.prompt) return choosePlain(list);
    const size = { slots: engine.slots, memoryTokens: engine.memoryTokens };
    const nowMs = clock.now();
    return chooseEngine(
      {
        urgency: job.urgency,
        rank: job.rank,
        parts: job.prompt.parts,
        promptTokens: job.prompt.promptTokens,
        outputTokens: job.prompt.likelyOutputTokens,
      },
      list.map((upstream) => ({
        upstream,
        model: upstream.model,
        size,
        remoteCostMs: remoteCostMs(upstream),
        failureShare: registry.failureShare(upstream),
      })),
      { speed: registry.speedOf(job.service.name).speed, nowMs },
    );
  }

  /** Cost of another data centre; more where its load is hardly known. */
  function remoteCostMs({ entry }: Upstream): number {
    if (entry.dataCentre === dataCentre) return 0;
    if (!network.isLarge()) return REMOTE_COST_MS;
    // Spreads the calls of VMs that see the same, and little.
    return REMOTE_COST_MS + Math.random() * UNKNOWN_SPREAD_MS;
  }

  function choosePlain(
    list: readonly Upstream[],
  ): EngineChoice<Candidate> | undefined {
    let best: Upstream | undefined;
    let bestCost = Infinity;
    for (const upstream of list) {
      const calls = upstream.model.callCount();
      if (calls >= upstream.entry.slots + SERVICE_QUEUE) continue;
      const isRemote = upstream.entry.dataCentre !== dataCentre;
      const remoteCalls = network.isLarge()
        ? UNKNOWN_REMOTE_CALLS
        : SERVICE_REMOTE_CALLS;
      const cost = calls +
        registry.failureShare(upstream) * SERVICE_FAILURE_CALLS +
        (isRemote ? remoteCalls : 0);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = upstream;
    }
    return best && chooseOnly(best);
  }

  function chooseOnly(upstream: Upstream): EngineChoice<Candidate> {
    const candidate = {
      upstream,
      model: upstream.model,
      size: { slots: upstream.entry.slots, memoryTokens: Infinity },
      remoteCostMs: 0,
      failureShare: 0,
    };
    return { candidate, newTokens: 0, predictedMs: 0, mustWait: false };
  }

  function grant(
    job: PlaceJob,
    choice: EngineChoice<Candidate>,
  ): Placement {
    const { upstream } = choice.candidate;
    const { id, dataCentre: place } = upstream.entry;
    const call = nextCall++;
    const key = `own:${call}`;
    const nowMs = clock.now();
    const parts = job.prompt?.parts ?? [];
    const speed = registry.speedOf(job.service.name);
    const aheadTokens = job.prompt
      ? upstream.model.waitingTokens(job.urgency, nowMs)
      : 0;
    const work = {
      urgency: job.urgency,
      newTokens: Math.max(0, choice.newTokens),
      memoryTokens: (job.prompt?.promptTokens ?? 0) +
        (job.prompt?.likelyOutputTokens ?? 0),
      maxPauseMs: job.maxPauseMs,
    };
    upstream.model.start(key, work, nowMs);
    upstream.model.remember(parts);
    registry.onSent(upstream, true);
    let calls = own.get(id);
    if (!calls) own.set(id, calls = new Set());
    calls.add(call);
    network.tell({
      kind: LoadEventKind.Started,
      call,
      upstream: id,
      ...work,
      parts: parts.map((part) => [part.id, part.tokens]),
    }, place);
    let isOpen = true;
    let hasEvent = false;
    return {
      upstream,
      call,
      newTokens: choice.newTokens,
      predictedMs: choice.predictedMs,
      heldMs: nowMs - job.arrivedMs,
      onFirstEvent() {
        if (!isOpen || hasEvent) return;
        hasEvent = true;
        const eventMs = clock.now();
        upstream.model.onFirstEvent(key, eventMs);
        if (job.prompt) {
          speed.observe(aheadTokens + choice.newTokens, eventMs - nowMs);
        }
        network.tell(
          { kind: LoadEventKind.FirstEvent, call, upstream: id },
          place,
        );
        wake();
      },
      release(end) {
        if (!isOpen) return;
        isOpen = false;
        upstream.model.end(key, clock.now());
        if (end !== CallEnd.Other) {
          registry.onCallEnd(upstream, end === CallEnd.Failed, 1);
        }
        calls.delete(call);
        if (calls.size === 0) own.delete(id);
        network.tell(
          { kind: LoadEventKind.Ended, call, upstream: id, end },
          place,
        );
        wake();
      },
    };
  }

  function refusal(
    job: PlaceJob,
    choice?: EngineChoice<Candidate>,
  ): TillerError {
    const list = registry.eligible(job.service.name);
    const kind = list.length === 0
      ? ErrorKind.NoUpstream
      : ErrorKind.Overloaded;
    const predicted = choice
      ? `, a first event predicted in ${Math.round(choice.predictedMs)} ms`
      : "";
    const detail = `no upstream has room in time: ${list.length} known, ` +
      `${held.length} requests held${predicted}`;
    return new TillerError(kind, detail, {
      retryAfterMs: retryAfterMs(job, list),
    });
  }

  /** Time in which what waits now will have been read, with jitter. */
  function retryAfterMs(job: PlaceJob, list: readonly Upstream[]): number {
    const { speed } = registry.speedOf(job.service.name);
    const nowMs = clock.now();
    let tokens = 0;
    for (const { model } of list) {
      tokens += model.waitingTokens(Infinity, nowMs);
    }
    for (const { job: other } of held) {
      if (other.service.name !== job.service.name) continue;
      if (other.urgency > job.urgency) continue;
      tokens += (other.prompt?.promptTokens ?? 0) * network.knownCount();
    }
    const drainMs = tokens / speed.tokensPerMs / Math.max(1, list.length);
    const [low, high] = RETRY_AFTER_RANGE_MS;
    const bounded = Math.min(high, Math.max(low, drainMs * 2));
    return bounded * (0.75 + Math.random() / 2);
  }

  /** Whether a request that nobody can take yet is worth holding on. */
  function isHoldOver(job: PlaceJob): boolean {
    const untilMs = Math.min(
      job.giveUpMs,
      job.arrivedMs + job.targetMs * HOLD_SHARE,
    );
    return clock.now() >= untilMs;
  }

  /** Decides on one request: a place, a refusal, or nothing yet. */
  function decide(job: PlaceJob): Placement | TillerError | undefined {
    const choice = choose(job);
    if (!choice) return isHoldOver(job) ? refusal(job) : undefined;
    if (!choice.mustWait) return grant(job, choice);
    // The latest time at which the first event would still be on time.
    const startMs = job.arrivedMs + job.targetMs * ON_TIME_SHARE -
      choice.predictedMs;
    if (clock.now() < startMs) return undefined;
    const isLate = clock.now() > startMs + job.targetMs * LATE_SHARE;
    return isLate ? refusal(job, choice) : grant(job, choice);
  }

  function look(): void {
    cancelLook = undefined;
    for (let place = 0; place < held.length;) {
      const { job, resolve, reject } = held[place]!;
      const decision = decide(job);
      if (!decision) {
        place++;
        continue;
      }
      held.splice(place, 1);
      if (decision instanceof TillerError) reject(decision);
      else resolve(decision);
    }
    if (held.length > 0) cancelLook = clock.after(LOOK_MS, look);
  }

  function wake(): void {
    if (held.length === 0) return;
    cancelLook?.();
    look();
  }

  function insert(entry: HeldJob): void {
    let place = held.length;
    while (place > 0 && goesBefore(entry.job, held[place - 1]!.job)) place--;
    held.splice(place, 0, entry);
  }

  return {
    place(job, signal) {
      return new Promise((resolve, reject) => {
        const entry = { job, resolve, reject };
        const isFirst = held.every((other) => !goesBefore(other.job, job));
        const decision = isFirst ? decide(job) : undefined;
        if (decision instanceof TillerError) {
          reject(decision);
          return;
        }
        if (decision) {
          resolve(decision);
          return;
        }
        insert(entry);
        signal.addEventListener("abort", () => {
          const place = held.indexOf(entry);
          if (place < 0) return;
          held.splice(place, 1);
          reject(new TillerError(ErrorKind.DeadlineExceeded, "given up"));
        }, { once: true });
        cancelLook ??= clock.after(LOOK_MS, look);
      });
    },
    placeAt: (upstream, job) => grant(job, chooseOnly(upstream)),
    ownCalls: () => [...own].map(([id, calls]) => [id, [...calls]]),
    heldCount: () => held.length,
    wake,
  };
}

/** Whether a request is placed before another of the same service. */
function goesBefore(job: PlaceJob, other: PlaceJob): boolean {
  if (job.service.name !== other.service.name) return false;
  if (job.urgency !== other.urgency) return job.urgency < other.urgency;
  return job.arrivedMs < other.arrivedMs;
}
