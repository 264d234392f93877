import {
  CallEnd,
  isFailure,
  LoadEventKind,
  type PeerNetwork,
} from "@rosemarytiller/peers";
import type {
  CallRank,
  EngineChoice,
  PromptPart,
} from "@rosemarytiller/policy";
import {
  type CancelTimer,
  type Clock,
  ErrorKind,
  TillerError,
} from "@rosemarytiller/shared";
import { chooseFetchSource } from "./choose_fetch_source.ts";
import { createCachedPrefixes } from "./create_cached_prefixes.ts";
import type { Overflow } from "./create_overflow.ts";
import type { Registry, Upstream } from "./create_registry.ts";
import {
  type ArrivedRequest,
  type Candidate,
  choiceOf,
  createUpstreamChoice,
  isVersionServing,
  type LeavingCosts,
  type UpstreamChoice,
} from "./create_upstream_choice.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import type { WarmUp } from "./create_warm_up_limits.ts";
import type { Prompt, ServiceDefinition } from "./ports.ts";
import { createPauseError } from "./request_errors.ts";

/** A request to be placed at an upstream. */
export interface PlacementRequest {
  service: ServiceDefinition;
  /** Priority among requests, 0 the most urgent. */
  urgency: number;
  /** How tight the target is relative to the tightest one of the service. */
  rank: CallRank;
  prompt: Prompt | undefined;
  /** Longest on-time pause between two events, in milliseconds. */
  maxPauseMs: number;
  /** Latency target, from the request's arrival, in milliseconds. */
  targetMs: number;
  /** Monotonic time of the request's arrival, in milliseconds. */
  arrivedMs: number;
  /** Monotonic time at which the deadline passes, in milliseconds. */
  expiresMs: number;
  /** Size of the request's body, in bytes. */
  bodyBytes: number;
  /** Identifiers of upstreams that have been tried. */
  avoid: ReadonlySet<string>;
  /** The only software version that may serve it; undefined for any. */
  softwareVersion: string | undefined;
}

/** The upstream chosen for one call; call `release` when the call ends. */
export interface Placement {
  upstream: Upstream;
  /** Number of the call, unique on this VM. */
  call: number;
  /** Prompt tokens that are not in the upstream's cache. */
  newTokens: number;
  /** Upstream from which cached parts of the prompt are fetched. */
  fetchFrom: Upstream | undefined;
  /** Predicted time to the first event, in milliseconds. */
  predictedMs: number;
  /** Time that the request was queued, in milliseconds. */
  queuedMs: number;
  /** Warm-up of the upstream when it was chosen. */
  warmUp: WarmUp | undefined;
  /**
   * Whether the call may be written now, as far as the upstream's limits go; to
   * be called once it is about to be.
   */
  confirmSend(): boolean;
  /** Records an event; notifies the other VMs of the first one. */
  onEvent(): void;
  /** Records the end and notifies the other VMs; further calls do nothing. */
  release(end: CallEnd): void;
}

/** Places requests at upstreams and queues them while none can admit them. */
export interface Scheduler {
  /**
   * Resolves once an upstream can admit the request. Rejects with a
   * `TillerError` if none can in time, or when `signal` is aborted.
   */
  place(request: PlacementRequest, signal: AbortSignal): Promise<Placement>;
  /** Places a call at the given upstream without queueing. */
  placeAt(upstream: Upstream, request: PlacementRequest): Placement;
  /** The choice of upstreams, for an explanation. */
  choice: UpstreamChoice;
  /** Numbers of this VM's calls in progress, by upstream identifier. */
  ownCalls(): [string, number[]][];
  /** Number of queued requests. */
  queuedCount(): number;
  /** Checks the queue now, because capacity may have become free. */
  recheckQueue(): void;
}

/** Dependencies of the scheduler. */
export interface SchedulerOptions {
  clock: Clock;
  registry: Registry;
  network: Pick<
    PeerNetwork,
    | "publishLoadEvent"
    | "flushLoadEvents"
    | "knownVmCount"
    | "isLargeFleet"
  >;
  upstreamLimits: UpstreamLimits;
  overflow: Pick<Overflow, "onRequest" | "drawDataCentre">;
  leavingCosts: LeavingCosts;
  /** Data centre of this VM. */
  dataCentre: string;
}

/**
 * Queue time after which a request without any candidate is refused, as a
 * fraction of the target.
 */
const MAX_QUEUE_SHARE = 0.4;
/**
 * Fraction of the target that queueing and the predicted time to the first
 * event may use together.
 */
const ON_TIME_SHARE = 0.9;
/**
 * Fraction of the target by which a request may be placed after the latest
 * on-time start.
 */
const LATE_TOLERANCE_SHARE = 0.25;
/** Fewest new tokens of shared parts that are announced to all VMs. */
const MIN_ANNOUNCED_TOKENS = 500;
/** Poll interval for free capacity while requests are queued, in ms. */
const QUEUE_POLL_MS = 5;
/** Largest share of the time that checks of the queue take. */
const MAX_QUEUE_CHECK_SHARE = 0.1;
/** Longest time between two checks, also after a pause of the process, in ms. */
const MAX_QUEUE_CHECK_INTERVAL_MS = 50;
/** Range of the retry-after for refused requests before jitter, in ms. */
const RETRY_AFTER_RANGE_MS = [150, 1500] as const;

interface QueuedRequest {
  request: ArrivedRequest;
  resolve(placement: Placement): void;
  reject(error: TillerError): void;
}

/** Creates a scheduler, which polls for capacity while requests are queued. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const { clock, registry, network, upstreamLimits, dataCentre } = options;
  const { overflow, leavingCosts } = options;
  const choice = createUpstreamChoice({
    clock,
    registry,
    network,
    upstreamLimits,
    leavingCosts,
    dataCentre,
  });
  const { listEligible, choose } = choice;
  /** Queued requests, the most urgent and oldest first. */
  const queue: QueuedRequest[] = [];
  const callsByUpstream = new Map<string, Set<number>>();
  let nextCall = 1;
  let cancelPoll: CancelTimer | undefined;
  /** Earliest time of the next check of the queue. */
  let nextCheckMs = 0;

  /**
   * Shared parts of a prompt that no engine caches yet, with those before them,
   * if VMs of other data centres do not learn of the call. The last part is the
   * request's own.
   */
  function listNewParts(
    request: PlacementRequest,
    { entry }: Upstream,
  ): readonly PromptPart[] {
    const shared = request.prompt?.parts.slice(0, -1) ?? [];
    if (!network.isLargeFleet()) return [];
    const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    const cached = createCachedPrefixes(listEligible(request), shared);
    const newTokens = tokens - cached.longest(entry.softwareVersion);
    return newTokens >= MIN_ANNOUNCED_TOKENS ? shared : [];
  }

  function startCall(
    request: PlacementRequest,
    choice: EngineChoice<Candidate>,
  ): Placement {
    const { upstream } = choice.candidate;
    const { id, dataCentre: upstreamDataCentre } = upstream.entry;
    const call = nextCall++;
    const key = `own:${call}`;
    const nowMs = clock.now();
    const parts = request.prompt?.parts ?? [];
    const speed = registry.speedOf(request.service.name);
    const aheadTokens = request.prompt
      ? upstream.model.queuedPrefillTokens(request.urgency, nowMs)
      : 0;
    const work = {
      urgency: request.urgency,
      newTokens: Math.max(0, choice.uncachedTokens),
      memoryTokens: (request.prompt?.promptTokens ?? 0) +
        (request.prompt?.likelyOutputTokens ?? 0),
      maxPauseMs: request.maxPauseMs,
    };
    const newParts = listNewParts(request, upstream);
    const fetchFrom = choice.fetchedTokens > 0
      ? chooseFetchSource(upstream, parts, listEligible(request))
      : undefined;
    upstream.model.start(key, work, { nowMs, parts });
    const warmUp = upstreamLimits.warmUpOf(upstream);
    const endReturn = registry.startReturningCall(upstream);
    let calls = callsByUpstream.get(id);
    if (!calls) callsByUpstream.set(id, calls = new Set());
    calls.add(call);
    network.publishLoadEvent({
      kind: LoadEventKind.Started,
      call,
      upstream: id,
      ...work,
      parts: parts.map((part) => [part.id, part.tokens]),
    }, upstreamDataCentre);
    upstreamLimits.onSent(upstream);
    // The others count the call before one of them sends the next.
    if (upstreamLimits.isShared(upstream)) network.flushLoadEvents();
    let isOpen = true;
    let lastEventMs: number | undefined;
    let wasPrefilling = false;

    /** Learns how long a stream pauses while the engine prefills. */
    function observePause(eventMs: number): void {
      const isPrefilling = upstream.model.queuedPrefillTokens(
        Infinity,
        eventMs,
      ) > 0;
      if (lastEventMs !== undefined && wasPrefilling && isPrefilling) {
        speed.observePause(eventMs - lastEventMs);
      }
      lastEventMs = eventMs;
      wasPrefilling = isPrefilling;
    }

    return {
      upstream,
      call,
      newTokens: choice.uncachedTokens,
      fetchFrom,
      predictedMs: choice.predictedMs,
      queuedMs: nowMs - request.arrivedMs,
      warmUp,
      confirmSend: () => upstreamLimits.confirmSend(upstream, nowMs),
      onEvent() {
        if (!isOpen) return;
        const eventMs = clock.now();
        const isFirst = lastEventMs === undefined;
        observePause(eventMs);
        if (!isFirst) return;
        upstream.model.onFirstEvent(key, eventMs);
        endReturn(true);
        // Behind other prompts, the engine's model learns the speed.
        if (request.prompt && aheadTokens === 0) {
          speed.observe(
            choice.uncachedTokens,
            eventMs - nowMs - choice.fetchMs,
          );
        }
        network.publishLoadEvent(
          { kind: LoadEventKind.FirstEvent, call, upstream: id },
          upstreamDataCentre,
        );
        if (newParts.length > 0) {
          network.publishLoadEvent({
            kind: LoadEventKind.PartsCached,
            upstream: id,
            parts: newParts.map((part) => [part.id, part.tokens]),
          });
        }
        recheckQueue();
      },
      release(end) {
        if (!isOpen) return;
        isOpen = false;
        if (end === CallEnd.Declined) upstreamLimits.onDeclined(upstream);
        upstream.model.end(key, clock.now());
        upstreamLimits.onEnded(upstream);
        endReturn(end === CallEnd.Completed);
        if (end !== CallEnd.Other) {
          registry.onCallEnd(upstream, isFailure(end), 1);
        }
        calls.delete(call);
        if (calls.size === 0) callsByUpstream.delete(id);
        network.publishLoadEvent(
          { kind: LoadEventKind.Ended, call, upstream: id, end },
          upstreamDataCentre,
        );
        if (upstreamLimits.isShared(upstream)) network.flushLoadEvents();
        recheckQueue();
      },
    };
  }

  function createRefusal(
    request: PlacementRequest,
    choice?: EngineChoice<Candidate>,
  ): TillerError {
    const list = listEligible(request);
    const returnMs = registry.earliestReturnMs(
      request.service.name,
      (upstream) => isVersionServing(upstream, request),
    );
    if (returnMs !== undefined && returnMs > clock.now()) {
      return createPauseError(returnMs - clock.now());
    }
    const kind = list.length === 0
      ? ErrorKind.NoUpstream
      : ErrorKind.Overloaded;
    const predicted = choice
      ? `, a first event predicted in ${Math.round(choice.predictedMs)} ms`
      : "";
    const detail =
      `no upstream can take the request in time: ${list.length} available, ` +
      `${queue.length} requests queued${predicted}`;
    return new TillerError(kind, detail, {
      retryAfterMs: retryAfterMs(request, list),
    });
  }

  /**
   * Retry-after in ms: twice the estimated time to prefill the prompts that
   * wait at the upstreams or are queued with at least the same urgency, within
   * `RETRY_AFTER_RANGE_MS`, then with 25 % jitter. Other VMs are assumed to
   * queue as much as this one.
   */
  function retryAfterMs(
    request: PlacementRequest,
    list: readonly Upstream[],
  ): number {
    const { speed } = registry.speedOf(request.service.name);
    const nowMs = clock.now();
    let tokens = 0;
    for (const { model } of list) {
      tokens += model.queuedPrefillTokens(Infinity, nowMs);
    }
    for (const { request: other } of queue) {
      if (other.service.name !== request.service.name) continue;
      if (other.urgency > request.urgency) continue;
      tokens += (other.prompt?.promptTokens ?? 0) * network.knownVmCount();
    }
    const drainMs = tokens / speed.tokensPerMs / Math.max(1, list.length);
    const [low, high] = RETRY_AFTER_RANGE_MS;
    const bounded = Math.min(high, Math.max(low, drainMs * 2));
    return bounded * (0.75 + Math.random() / 2);
  }

  /** Whether a request that no upstream can admit has been queued too long. */
  function hasQueueTimeEnded(request: PlacementRequest): boolean {
    const returnMs = registry.earliestReturnMs(
      request.service.name,
      (upstream) =>
        isVersionServing(upstream, request) &&
        !request.avoid.has(upstream.entry.id),
    );
    if (returnMs !== undefined) {
      // It waits for a return after which it can still be on time.
      const latestMs = Math.min(
        request.expiresMs,
        request.arrivedMs + request.targetMs * ON_TIME_SHARE,
      );
      return Math.max(clock.now(), returnMs) >= latestMs;
    }
    const untilMs = Math.min(
      request.expiresMs,
      request.arrivedMs + request.targetMs * MAX_QUEUE_SHARE,
    );
    return clock.now() >= untilMs;
  }

  /** Places or refuses a request; undefined if it should stay queued. */
  function decide(
    request: ArrivedRequest,
  ): Placement | TillerError | undefined {
    const choice = choose(request);
    if (!choice) {
      return hasQueueTimeEnded(request) ? createRefusal(request) : undefined;
    }
    if (!choice.shouldQueue) return startCall(request, choice);
    // Latest start at which the first event is still predicted to be on time.
    const startMs = request.arrivedMs + request.targetMs * ON_TIME_SHARE -
      choice.predictedMs;
    if (clock.now() < startMs) return undefined;
    const isLate =
      clock.now() > startMs + request.targetMs * LATE_TOLERANCE_SHARE;
    return isLate ? createRefusal(request, choice) : startCall(request, choice);
  }

  function processQueue(): void {
    const startMs = clock.now();
    for (let index = 0; index < queue.length;) {
      const { request, resolve, reject } = queue[index]!;
      const decision = decide(request);
      if (!decision) {
        index++;
        continue;
      }
      queue.splice(index, 1);
      if (decision instanceof TillerError) reject(decision);
      else resolve(decision);
    }
    const endMs = clock.now();
    const restMs = (endMs - startMs) * (1 / MAX_QUEUE_CHECK_SHARE - 1);
    nextCheckMs = endMs + Math.min(MAX_QUEUE_CHECK_INTERVAL_MS, restMs);
    schedulePoll();
  }

  function schedulePoll(): void {
    cancelPoll?.();
    cancelPoll = undefined;
    if (queue.length === 0) return;
    const delayMs = Math.max(QUEUE_POLL_MS, nextCheckMs - clock.now());
    cancelPoll = clock.after(delayMs, processQueue);
  }

  /** Checks the queue, unless the last check was too recent for its length. */
  function recheckQueue(): void {
    if (queue.length === 0 || clock.now() < nextCheckMs) return;
    processQueue();
  }

  /** Counts a request and decides whether it may overflow. */
  function arrive(request: PlacementRequest): ArrivedRequest {
    const { service, prompt } = request;
    if (!service.engine || !prompt) {
      return { ...request, overflowTo: undefined };
    }
    overflow.onRequest(service.name, prompt.promptTokens);
    const overflowTo = overflow.drawDataCentre(service.name);
    return { ...request, overflowTo };
  }

  function enqueue(entry: QueuedRequest): void {
    let index = queue.length;
    while (
      index > 0 && hasPrecedence(entry.request, queue[index - 1]!.request)
    ) index--;
    queue.splice(index, 0, entry);
  }

  return {
    place(placementRequest, signal) {
      return new Promise((resolve, reject) => {
        if (signal.aborted) {
          reject(createAbortError());
          return;
        }
        const request = arrive(placementRequest);
        const entry = { request, resolve, reject };
        const isNext = queue.every((other) =>
          !hasPrecedence(other.request, request)
        );
        const decision = isNext ? decide(request) : undefined;
        if (decision instanceof TillerError) {
          reject(decision);
          return;
        }
        if (decision) {
          resolve(decision);
          return;
        }
        enqueue(entry);
        signal.addEventListener("abort", () => {
          const index = queue.indexOf(entry);
          if (index < 0) return;
          queue.splice(index, 1);
          reject(createAbortError());
        }, { once: true });
        if (!cancelPoll) schedulePoll();
      });
    },
    choice,
    placeAt: (upstream, request) => startCall(request, choiceOf(upstream)),
    ownCalls: () => [...callsByUpstream].map(([id, calls]) => [id, [...calls]]),
    queuedCount: () => queue.length,
    recheckQueue,
  };
}

function createAbortError(): TillerError {
  return new TillerError(ErrorKind.DeadlineExceeded, "the request was aborted");
}

/** Whether a request precedes another in the queue; only within a service. */
function hasPrecedence(
  request: PlacementRequest,
  other: PlacementRequest,
): boolean {
  if (request.service.name !== other.service.name) return false;
  if (request.urgency !== other.urgency) return request.urgency < other.urgency;
  return request.arrivedMs < other.arrivedMs;
}
