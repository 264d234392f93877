import {
  MAX_REPORT_AGE_MS,
  rankTarget,
  urgencyOf,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AccountAdmission } from "./create_account_admission.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { Registry, Upstream } from "./create_registry.ts";
import type { PlacementRequest } from "./create_scheduler.ts";
import type { UpstreamChoice } from "./create_upstream_choice.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import type { Account, Prompt, Route } from "./ports.ts";

/** Path at which a router explains where a request would go. */
export const WHERE_PATH = "/where";

/** Why an upstream would not be chosen whatever it costs. */
export enum Exclusion {
  /** Down after a failure, paused, leaving, or its data centre is out. */
  Unavailable = "unavailable",
  /** It returns from a pause and has its few calls. */
  Returning = "returning from a pause",
  /** In warm-up in another data centre of a large fleet. */
  WarmUp = "in warm-up",
  /** A limit of calls for all VMs is reached, or it is in another data centre. */
  Limit = "at its limit of calls",
  /** It is in another data centre, and its load is not known lately. */
  UnknownLoad = "load not known lately",
  /** All its slots are taken. */
  Full = "full",
}

/** An upstream with what decides about it; times in milliseconds. */
export interface WhereCandidate {
  upstream: string;
  dataCentre: string;
  /** What rules it out; undefined if it may be chosen. */
  excluded: Exclusion | undefined;
  calls: number;
  /** Prompt tokens that wait there, and those of this prompt to be read. */
  queuedTokens: number;
  newTokens: number | undefined;
  predictedMs: number | undefined;
  costMs: number | undefined;
  /** Whether the request would wait at the VM rather than go there now. */
  wouldWait: boolean;
  failureShare: number;
  /** Age of the last report of its load; undefined if each call is known. */
  reportAgeMs: number | undefined;
  inWarmUp: boolean;
}

/** Where a request would go now, for one of the services of its route. */
export interface WherePlace {
  service: string;
  /** Part of the account's requests that is taken, 0 to 1. */
  takenShare: number;
  /** The upstream of least cost now; undefined if there is none. */
  chosen: string | undefined;
  candidates: WhereCandidate[];
}

/** Response to a question where a request would go. */
export interface WhereAnswer {
  vm: string;
  configurationVersion: number;
  route: string;
  account: string | undefined;
  urgency: number;
  places: WherePlace[];
}

/** Dependencies of the handler. */
export interface WhereHandlerOptions {
  clock: Clock;
  vm: string;
  dataCentre: string;
  index(): ConfigurationIndex | undefined;
  registry: Registry;
  choice: Pick<UpstreamChoice, "weigh">;
  upstreamLimits: Pick<UpstreamLimits, "isShared" | "canAdmit">;
  admission: Pick<AccountAdmission, "takenShare">;
  isLargeFleet(): boolean;
}

/** Most upstreams that an answer lists for a service, those of least cost. */
const MAX_CANDIDATES = 50;
/** Largest number of tokens or bytes in a question. */
const MAX_AMOUNT = 10_000_000;

/** Thrown for a question that can't be answered. */
class QuestionError extends Error {
  constructor(readonly status: number, message: string) {
    super(message);
  }
}

/**
 * Creates the handler, which sends nothing and counts nothing. Query fields:
 * `host`, `path`, `account`, `tokens` (of the prompt), `output` (expected
 * tokens), `parts` (ID:TOKENS, separated by commas) and `bytes` (of the body).
 */
export function createWhereHandler(
  options: WhereHandlerOptions,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  const { clock, vm, dataCentre, index, registry, choice } = options;
  const { upstreamLimits, admission, isLargeFleet } = options;

  function findExclusion(
    upstream: Upstream,
    request: PlacementRequest & { eligible: ReadonlySet<Upstream> },
  ): Exclusion | undefined {
    const isRemote = upstream.entry.dataCentre !== dataCentre;
    const isPartlyKnown = isRemote && isLargeFleet();
    if (!request.eligible.has(upstream)) return Exclusion.Unavailable;
    if (!registry.canAdmitAfterPause(upstream)) return Exclusion.Returning;
    const isInWarmUp = upstream.warmUpUntilMs > clock.now();
    if (isInWarmUp && isPartlyKnown) return Exclusion.WarmUp;
    const isLimited = !upstreamLimits.canAdmit(upstream) ||
      (upstreamLimits.isShared(upstream) && isPartlyKnown);
    if (isLimited) return Exclusion.Limit;
    const ageMs = upstream.model.reportAgeMs(clock.now());
    if (request.prompt && isPartlyKnown && ageMs > MAX_REPORT_AGE_MS) {
      return Exclusion.UnknownLoad;
    }
    return choice.weigh(upstream, request) ? undefined : Exclusion.Full;
  }

  function describe(
    upstream: Upstream,
    request: PlacementRequest & { eligible: ReadonlySet<Upstream> },
  ): WhereCandidate {
    const { entry, model } = upstream;
    const nowMs = clock.now();
    const excluded = findExclusion(upstream, request);
    const weighed = excluded ? undefined : choice.weigh(upstream, request);
    const reportAgeMs = model.reportAgeMs(nowMs);
    return {
      upstream: entry.id,
      dataCentre: entry.dataCentre,
      excluded,
      calls: model.callCount(),
      queuedTokens: Math.round(model.queuedPrefillTokens(Infinity, nowMs)),
      newTokens: weighed && Math.round(weighed.uncachedTokens),
      predictedMs: weighed && Math.round(weighed.predictedMs),
      costMs: weighed && Math.round(weighed.costMs),
      wouldWait: weighed?.shouldQueue ?? false,
      failureShare: registry.failureShare(upstream),
      reportAgeMs: Number.isFinite(reportAgeMs)
        ? Math.round(reportAgeMs)
        : undefined,
      inWarmUp: upstream.warmUpUntilMs > nowMs,
    };
  }

  function answer(query: URLSearchParams): WhereAnswer {
    const current = index();
    if (!current) throw new QuestionError(503, "no configuration yet");
    const route = current.findRoute(
      readText(query, "host"),
      readText(query, "path"),
    );
    if (!route) throw new QuestionError(404, "no route matches host and path");
    const account = findAccount(current, query.get("account"));
    const tightestMs = (service: string) => current.tightestTargetMs(service);
    const places: WherePlace[] = [];
    let urgency = 0;
    for (const { service: name } of route.targets) {
      const service = current.findService(name);
      if (!service) continue;
      const rank = rankTarget(route.targetMs, tightestMs(name));
      urgency = urgencyOf(account?.tier ?? route.tier, rank);
      const request = {
        ...createRequest(route, query, clock.now()),
        service,
        urgency,
        rank,
        eligible: new Set(registry.eligible(name)),
      };
      const candidates = [...registry.all()]
        .filter(({ entry }) => entry.service === name)
        .map((upstream) => describe(upstream, request))
        .sort(compareCandidates);
      places.push({
        service: name,
        takenShare: account
          ? admission.takenShare(name, account.name, rank)
          : 1,
        chosen: candidates.find(({ excluded }) => !excluded)?.upstream,
        candidates: candidates.slice(0, MAX_CANDIDATES),
      });
    }
    return {
      vm,
      configurationVersion: current.configuration.version,
      route: route.name,
      account: account?.name,
      urgency,
      places,
    };
  }

  return (incoming, response) => {
    const respond = (status: number, body: unknown) => {
      response.writeHead(status, { "Content-Type": "application/json" });
      response.end(JSON.stringify(body));
    };
    try {
      const url = new URL(incoming.url ?? "/", "http://router");
      respond(200, answer(url.searchParams));
    } catch (error) {
      const status = error instanceof QuestionError ? error.status : 400;
      respond(status, { error: (error as Error).message });
    }
  };
}

/** The candidates that may be chosen first, those of least cost before others. */
function compareCandidates(left: WhereCandidate, right: WhereCandidate) {
  const costOf = ({ costMs, calls, excluded }: WhereCandidate) =>
    excluded ? Infinity : costMs || calls;
  const [leftCost, rightCost] = [costOf(left), costOf(right)];
  return leftCost === rightCost ? 0 : leftCost - rightCost;
}

function createRequest(
  { targetMs, timeoutMs, maxPauseMs }: Route,
  query: URLSearchParams,
  nowMs: number,
) {
  return {
    prompt: readPrompt(query),
    maxPauseMs,
    targetMs,
    arrivedMs: nowMs,
    expiresMs: nowMs + timeoutMs,
    bodyBytes: readAmount(query.get("bytes") ?? "0", "bytes"),
    avoid: new Set<string>(),
    softwareVersion: undefined,
  };
}

function findAccount(
  { configuration }: ConfigurationIndex,
  name: string | null,
): Account | undefined {
  if (name === null) return undefined;
  const account = configuration.accounts?.find((one) => one.name === name);
  if (!account) throw new QuestionError(404, `no account "${name}"`);
  return account;
}

function readPrompt(query: URLSearchParams): Prompt | undefined {
  const tokens = query.get("tokens");
  if (tokens === null) return undefined;
  const outputTokens = readAmount(query.get("output") ?? "0", "output");
  const parts = [];
  for (const text of (query.get("parts") ?? "").split(",")) {
    if (text === "") continue;
    const colon = text.lastIndexOf(":");
    const size = readAmount(text.slice(colon + 1), "parts");
    parts.push({ id: text.slice(0, Math.max(0, colon)), tokens: size });
  }
  return {
    promptTokens: readAmount(tokens, "tokens"),
    outputTokens,
    likelyOutputTokens: outputTokens,
    parts,
  };
}

function readText(query: URLSearchParams, name: string): string {
  const text = query.get(name);
  if (text) return text;
  throw new QuestionError(400, `the question has no "${name}"`);
}

function readAmount(text: string, name: string): number {
  const amount = Number(text);
  const isValid = text !== "" && Number.isInteger(amount) && amount >= 0 &&
    amount <= MAX_AMOUNT;
  if (isValid) return amount;
  throw new QuestionError(400, `"${name}" has no whole number: "${text}"`);
}
