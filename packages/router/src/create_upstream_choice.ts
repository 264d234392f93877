import type { PeerNetwork } from "@rosemarytiller/peers";
import {
  chooseEngine,
  type EngineCandidate,
  type EngineChoice,
  MAX_REPORT_AGE_MS,
  selectDistantEngines,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import { createCachedPrefixes } from "./create_cached_prefixes.ts";
import type { Registry, Upstream } from "./create_registry.ts";
import type { PlacementRequest } from "./create_scheduler.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";

/** What leaving this data centre costs, as delay that a caller would accept. */
export interface LeavingCosts {
  /** Cost of each call, in milliseconds. */
  callMs: number;
  /** Cost of each kilobyte of a request's body, in milliseconds. */
  kilobyteMs: number;
}

/** A request with what was decided at its arrival. */
export interface ArrivedRequest extends PlacementRequest {
  /** Data centre that may take it while the engines of this one are busy. */
  overflowTo: string | undefined;
}

/** An upstream that may be chosen. */
export interface Candidate extends EngineCandidate {
  upstream: Upstream;
}

/** Chooses the upstream of a request among those that can admit it now. */
export interface UpstreamChoice {
  /** Eligible upstreams of the software version that may serve a request. */
  listEligible(request: PlacementRequest): Upstream[];
  /** The best upstream; undefined while none can admit the request. */
  choose(request: ArrivedRequest): EngineChoice<Candidate> | undefined;
  /** What a choice of this upstream would be; undefined if it is full. */
  weigh(
    upstream: Upstream,
    request: PlacementRequest,
  ): EngineChoice<Candidate> | undefined;
}

/** Dependencies of the choice. */
export interface UpstreamChoiceOptions {
  clock: Clock;
  registry: Registry;
  network: Pick<PeerNetwork, "isLargeFleet">;
  upstreamLimits: Pick<UpstreamLimits, "isShared" | "canAdmit">;
  leavingCosts: LeavingCosts;
  /** Data centre of this VM. */
  dataCentre: string;
}

/**
 * Fraction of the target beyond which a predicted time to the first event shows
 * that the engines of this data centre are busy.
 */
const BUSY_SHARE = 0.5;
/** Largest random extra cost of an engine with unknown load, in ms. */
const UNKNOWN_LOAD_JITTER_MS = 120;
/** Calls that an upstream of a plain service may queue beyond its slots. */
const PLAIN_QUEUE_CALLS = 3;
/** Cost of a plain service's upstream that fails every call, in calls. */
const PLAIN_FAILURE_COST_CALLS = 12;
/** Cost of another data centre for calls of a plain service, in calls. */
const PLAIN_REMOTE_COST_CALLS = 0.4;
/**
 * The same in a large fleet, whose VMs know the load elsewhere too late for the
 * short calls of a plain service.
 */
const PLAIN_LATE_LOAD_COST_CALLS = 2;
const BYTES_PER_KILOBYTE = 1000;

/** Creates the choice among a registry's upstreams. */
export function createUpstreamChoice(
  options: UpstreamChoiceOptions,
): UpstreamChoice {
  const { clock, registry, network, upstreamLimits, dataCentre } = options;
  const { leavingCosts } = options;

  const isRemote = ({ entry }: Upstream) => entry.dataCentre !== dataCentre;

  /** Eligible upstreams of the software version that may serve a request. */
  function listEligible(request: PlacementRequest): Upstream[] {
    return registry.eligible(request.service.name)
      .filter((upstream) => isVersionServing(upstream, request));
  }

  /** Upstreams that can admit a request now. */
  function listCandidates(request: PlacementRequest): Upstream[] {
    const list: Upstream[] = [];
    const isLarge = network.isLargeFleet();
    for (const upstream of listEligible(request)) {
      if (request.avoid.has(upstream.entry.id)) continue;
      if (!registry.canAdmitAfterPause(upstream)) continue;
      const isShared = upstreamLimits.isShared(upstream);
      // In a large fleet, only VMs in the upstream's data centre know all calls
      // to it.
      if (isShared && isLarge && isRemote(upstream)) continue;
      if (!upstreamLimits.canAdmit(upstream)) continue;
      list.push(upstream);
    }
    return list;
  }

  /** Chooses in a large fleet, which knows engines elsewhere by reports only. */
  function chooseInLargeFleet(
    list: readonly Upstream[],
    request: ArrivedRequest,
  ): EngineChoice<Candidate> | undefined {
    const local = list.filter((upstream) => !isRemote(upstream));
    // Without an engine here, any other one is used.
    if (local.length === 0) return chooseAmong(list, request);
    const choice = chooseAmong(local, request);
    const isBusy = !choice || choice.shouldQueue ||
      choice.predictedMs > request.targetMs * BUSY_SHARE;
    const distant = listDistant(list, { request, local, isBusy });
    const best = distant.length > 0
      ? chooseAmong([...local, ...distant], request)
      : choice;
    if (!isBusy || !request.overflowTo) return best;
    if (best && isRemote(best.candidate.upstream)) return best;
    const others = list.filter(({ entry }) =>
      entry.dataCentre === request.overflowTo
    );
    return chooseAmong(others, request) ?? best;
  }

  /** Engines elsewhere for which leaving this data centre may pay. */
  function listDistant(
    list: readonly Upstream[],
    options: {
      request: ArrivedRequest;
      local: readonly Upstream[];
      isBusy: boolean;
    },
  ): Upstream[] {
    const { request, local, isBusy } = options;
    const parts = request.prompt?.parts ?? [];
    // The last part is the request's own.
    const shared = parts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    const hasSession = ({ model }: Upstream) =>
      sharedTokens > 0 && model.cachedTokens(shared) >= sharedTokens;
    const nowMs = clock.now();
    const distant = [];
    for (const upstream of list) {
      if (!isRemote(upstream)) continue;
      distant.push({
        upstream,
        dataCentre: upstream.entry.dataCentre,
        hasSession: hasSession(upstream),
        reportAgeMs: upstream.model.reportAgeMs(nowMs),
      });
    }
    const selected = selectDistantEngines(distant, {
      local: { hasSession: local.some(hasSession), isBusy },
      maxReportAgeMs: MAX_REPORT_AGE_MS,
    });
    return selected.map(({ upstream }) => upstream);
  }

  function chooseAmong(
    list: readonly Upstream[],
    request: PlacementRequest,
  ): EngineChoice<Candidate> | undefined {
    const { engine } = request.service;
    if (!engine || !request.prompt) return chooseLeastLoaded(list);
    const size = { slots: engine.slots, memoryTokens: engine.memoryTokens };
    const nowMs = clock.now();
    const cached = createCachedPrefixes(
      listEligible(request),
      request.prompt.parts,
    );
    return chooseEngine(
      {
        urgency: request.urgency,
        rank: request.rank,
        parts: request.prompt.parts,
        promptTokens: request.prompt.promptTokens,
        outputTokens: request.prompt.likelyOutputTokens,
        maxPauseMs: request.maxPauseMs,
      },
      list.map((upstream) => ({
        upstream,
        model: upstream.model,
        size,
        remoteCostMs: remoteCostMs(upstream, request),
        failureShare: registry.failureShare(upstream),
        fetchableTokens: cached.longest(upstream.entry.softwareVersion),
      })),
      {
        speed: registry.speedOf(request.service.name).speed,
        fetchMsPerToken: engine.bytesPerToken / engine.fetchBytesPerMs,
        nowMs,
      },
    );
  }

  /** Cost of another data centre; higher the less is known of its load. */
  function remoteCostMs(
    upstream: Upstream,
    { bodyBytes }: PlacementRequest,
  ): number {
    if (!isRemote(upstream)) return 0;
    const costMs = leavingCosts.callMs +
      bodyBytes / BYTES_PER_KILOBYTE * leavingCosts.kilobyteMs;
    if (!network.isLargeFleet()) return costMs;
    const reportAgeMs = upstream.model.reportAgeMs(clock.now());
    const unknownShare = Math.min(1, reportAgeMs / MAX_REPORT_AGE_MS);
    // The random part keeps VMs with the same incomplete view from choosing the
    // same engine.
    return costMs + Math.random() * UNKNOWN_LOAD_JITTER_MS * unknownShare;
  }

  function remoteCostCalls(upstream: Upstream): number {
    if (!isRemote(upstream)) return 0;
    return network.isLargeFleet()
      ? PLAIN_LATE_LOAD_COST_CALLS
      : PLAIN_REMOTE_COST_CALLS;
  }

  function chooseLeastLoaded(
    list: readonly Upstream[],
  ): EngineChoice<Candidate> | undefined {
    let best: Upstream | undefined;
    let bestCost = Infinity;
    for (const upstream of list) {
      const calls = upstream.model.callCount();
      if (calls >= upstream.entry.slots + PLAIN_QUEUE_CALLS) continue;
      const cost = calls +
        registry.failureShare(upstream) * PLAIN_FAILURE_COST_CALLS +
        remoteCostCalls(upstream);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = upstream;
    }
    return best && choiceOf(best);
  }

  return {
    listEligible,
    weigh: (upstream, request) => chooseAmong([upstream], request),
    choose(request) {
      const list = listCandidates(request);
      return network.isLargeFleet() && request.service.engine
        ? chooseInLargeFleet(list, request)
        : chooseAmong(list, request);
    },
  };
}

/** The choice of an upstream for other reasons than its load. */
export function choiceOf(upstream: Upstream): EngineChoice<Candidate> {
  const candidate = {
    upstream,
    model: upstream.model,
    size: { slots: upstream.entry.slots, memoryTokens: Infinity },
    remoteCostMs: 0,
    failureShare: 0,
    fetchableTokens: 0,
  };
  return {
    candidate,
    uncachedTokens: 0,
    fetchedTokens: 0,
    fetchMs: 0,
    predictedMs: 0,
    costMs: 0,
    shouldQueue: false,
  };
}

/** Whether an upstream has the software version that may serve a request. */
export function isVersionServing(
  { entry }: Upstream,
  { softwareVersion }: PlacementRequest,
): boolean {
  return softwareVersion === undefined ||
    entry.softwareVersion === softwareVersion;
}
