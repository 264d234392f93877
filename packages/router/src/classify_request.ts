import { type CallRank, rankTarget } from "@rosemarytiller/policy";
import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { CallerRequest } from "./caller_answer.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { Account, Route, ServiceDefinition } from "./ports.ts";

/** What a configuration says of a request. */
export interface RequestClass {
  route: Route;
  account: Account | undefined;
  service: ServiceDefinition;
  rank: CallRank;
}

/** What is known to classify by. */
export interface ClassifyOptions {
  index: ConfigurationIndex | undefined;
  /** Whether the configuration was confirmed lately. */
  isCurrent(): boolean;
}

/** Time to come back after a refusal for want of configuration, in ms. */
const NOT_READY_RETRY_MS = 400;

/** Finds a request's route, service and account; throws the refusal. */
export function classifyRequest(
  request: CallerRequest,
  options: ClassifyOptions,
): RequestClass {
  const { index, isCurrent } = options;
  if (!index) {
    throw new TillerError(ErrorKind.NotReady, "no configuration is known", {
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  const { facts, host, target } = request;
  const query = target.indexOf("?");
  const path = query < 0 ? target : target.slice(0, query);
  const route = index.findRoute(host, path);
  if (!route) {
    throw unknown(ErrorKind.UnknownRoute, "no route matches", isCurrent);
  }
  let account: Account | undefined;
  if (index.configuration.accounts && !route.isOpen) {
    account = facts.key ? index.findAccount(facts.key) : undefined;
    if (!account) {
      throw unknown(
        ErrorKind.Unauthenticated,
        "the key is not known",
        isCurrent,
      );
    }
  }
  const service = index.findService(chooseTarget(route));
  if (!service) {
    throw new TillerError(ErrorKind.NoUpstream, "the service is not known", {
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  const rank = rankTarget(
    route.targetMs,
    index.tightestTargetMs(service.name),
  );
  return { route, account, service, rank };
}

/** A VM that may be behind does not deny what it has not heard of. */
function unknown(
  kind: ErrorKind,
  detail: string,
  isCurrent: () => boolean,
): TillerError {
  if (isCurrent()) return new TillerError(kind, detail);
  return new TillerError(ErrorKind.NotReady, `${detail} here yet`, {
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}

/** Draws one of a route's services by weight. */
function chooseTarget(route: Route): string {
  let sum = 0;
  for (const { weight } of route.targets) sum += weight;
  let drawn = Math.random() * sum;
  for (const { service, weight } of route.targets) {
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return route.targets.at(-1)?.service ?? "";
}
