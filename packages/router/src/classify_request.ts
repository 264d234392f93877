import { type CallRank, rankTarget } from "@rosemarytiller/policy";
import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { CallerHead } from "./caller_exchange.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { Account, Route, ServiceDefinition } from "./ports.ts";

/** A request's route, account and service according to the configuration. */
export interface RequestClassification {
  route: Route;
  /** Undefined on public routes, and if the configuration has no accounts. */
  account: Account | undefined;
  service: ServiceDefinition;
  /**
   * How tight the route's target is relative to the tightest target of the
   * service; decides the urgency together with the tier.
   */
  rank: CallRank;
}

/** Configuration by which requests are classified. */
export interface ClassifyOptions {
  /** Undefined until a configuration has been received. */
  index: ConfigurationIndex | undefined;
  /** Whether the configuration was confirmed within the staleness limit. */
  isCurrent(): boolean;
}

/** Retry-after while the configuration is missing or stale, in ms. */
const NOT_READY_RETRY_AFTER_MS = 400;

/** Returns the route that a request matches, undefined if there is none. */
export function findRouteOf(
  { host, pathAndQuery }: Pick<CallerHead, "host" | "pathAndQuery">,
  index: ConfigurationIndex,
): Route | undefined {
  const query = pathAndQuery.indexOf("?");
  const path = query < 0 ? pathAndQuery : pathAndQuery.slice(0, query);
  return index.findRoute(host, path);
}

/**
 * Looks up a request's route and account, and picks one of the route's
 * services by weight. Throws a `TillerError` if no configuration has been
 * received or one of them is unknown.
 */
export function classifyRequest(
  request: CallerHead,
  options: ClassifyOptions,
): RequestClassification {
  const { index, isCurrent } = options;
  if (!index) {
    throw new TillerError(
      ErrorKind.NotReady,
      "this VM has no configuration yet",
      {
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      },
    );
  }
  const { metadata } = request;
  const route = findRouteOf(request, index);
  if (!route) {
    throw createNotFoundError(
      ErrorKind.UnknownRoute,
      "no route matches the host and path",
      isCurrent,
    );
  }
  let account: Account | undefined;
  if (index.configuration.accounts && !route.isPublic) {
    account = metadata.apiKey ? index.findAccount(metadata.apiKey) : undefined;
    if (!account) {
      throw createNotFoundError(
        ErrorKind.Unauthenticated,
        "no account has this API key",
        isCurrent,
      );
    }
  }
  const service = index.findService(pickService(route));
  if (!service) {
    throw new TillerError(
      ErrorKind.NoUpstream,
      "the route's service is not in the configuration",
      {
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      },
    );
  }
  const rank = rankTarget(
    route.targetMs,
    index.tightestTargetMs(service.name),
  );
  return { route, account, service, rank };
}

/**
 * Error for a failed lookup. While the configuration may be stale, the missing
 * entry may just not have arrived yet, so the error is a retryable `NotReady`.
 */
function createNotFoundError(
  kind: ErrorKind,
  detail: string,
  isCurrent: () => boolean,
): TillerError {
  if (isCurrent()) return new TillerError(kind, detail);
  return new TillerError(ErrorKind.NotReady, `${detail} here yet`, {
    retryAfterMs: NOT_READY_RETRY_AFTER_MS,
  });
}

/** Picks one of a route's services at random, by weight. */
function pickService(route: Route): string {
  let totalWeight = 0;
  for (const { weight } of route.targets) totalWeight += weight;
  let remaining = Math.random() * totalWeight;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)?.service ?? "";
}
