import {
  classifyRequest,
  findMismatch,
  formatPool,
  isUpstreamInService,
  listPools,
  listPoolUpstreams,
  Mismatch,
  parseDocument,
  type RequestClass,
  type RequestTraits,
  resolvePools,
  type ServiceDocument,
} from "@rosemarytiller/document";
import { findNearestName } from "@rosemarytiller/jsonc";
import { ErrorKind } from "@rosemarytiller/shared";
import { type CommandContext, ExitCode, UsageError } from "./command.ts";
import { formatExplanation } from "./format_explanation.ts";
import { readText } from "./read_text.ts";

/** Result of matching the request against a class, and the reason. */
export interface ClassEvaluation {
  name: string;
  /** Whether the request matches; later classes are not evaluated. */
  taken: boolean;
  reason: string;
}

/** Whether a class can use an upstream of a pool. */
export interface UpstreamEvaluation {
  name: string;
  usable: boolean;
  /** Why the upstream is not usable; empty if it is. */
  reason: string;
  /** Limit of concurrent calls during warm-up. */
  coldConcurrent: number;
  /** Limit of concurrent calls at any time. */
  maxConcurrent: number;
}

/** Whether a class can use a pool that serves the target. */
export interface PoolEvaluation {
  pool: string;
  /** Position in the order in which pools are tried, from 1; 0 if not used. */
  place: number;
  /** Proximity to the entry's data centre, or why the pool is not used. */
  reason: string;
  upstreams: UpstreamEvaluation[];
}

/**
 * How a request would be classified and routed. `tillerctl explain --json`
 * prints it under these field names.
 */
export interface Explanation {
  service: string;
  client: string;
  /** Model or plain service of the request. */
  target: string;
  /** Data centre of the entry that receives the request. */
  from: string;
  /** Classes in the document's order, up to the first that matches. */
  classes: ClassEvaluation[];
  /** The matching class, if any. */
  requestClass?: RequestClass;
  pools: PoolEvaluation[];
  /** Error kind that the caller would receive; empty if it is served. */
  refusal: string;
}

/**
 * `tillerctl explain`: shows how a request would be classified and routed.
 * Returns `ExitCode.Failed` if it would be refused.
 */
export async function explainRequest(
  context: CommandContext,
): Promise<ExitCode> {
  const { input, flags, print } = context;
  if (input.length !== 1) throw new UsageError("Name one document.");
  const document = parseDocument(await readText(input[0]), input[0]);
  const traits = parseTraits(document, context);
  const from = flags.from ?? Object.keys(document.dataCentres)[0];
  checkName("data centre", from, Object.keys(document.dataCentres));
  const explanation = explain(document, traits, { from });
  if (flags.json) print(`${JSON.stringify(explanation)}\n`);
  else print(formatExplanation(explanation));
  return explanation.refusal ? ExitCode.Failed : ExitCode.Ok;
}

/**
 * Explains how a document classifies and routes a request that an entry in the
 * data centre `from` receives.
 */
export function explain(
  document: ServiceDocument,
  traits: RequestTraits,
  options: { from: string },
): Explanation {
  const { from } = options;
  const target = traits.model ?? traits.service!;
  const requestClass = classifyRequest(document, traits);
  const pools = requestClass
    ? evaluatePools(document, requestClass, { target, from })
    : [];
  return {
    service: document.service,
    client: traits.client,
    target,
    from,
    classes: evaluateClasses(document, traits),
    requestClass,
    pools,
    refusal: findRefusal(requestClass, pools),
  };
}

function parseTraits(
  document: ServiceDocument,
  { flags }: CommandContext,
): RequestTraits {
  const { client, model, service } = flags;
  if (!client) {
    throw new UsageError("Name the client account with --client.");
  }
  if ((model === undefined) === (service === undefined)) {
    throw new UsageError("Name one target with --model or --service.");
  }
  checkName("client", client, Object.keys(document.clients));
  const served = Object.values(document.upstreams)
    .filter(({ kind }) => (kind === "model-runner") === (model !== undefined))
    .flatMap((upstream) => upstream.serves);
  const kindOfName = model === undefined ? "plain service" : "model";
  checkName(kindOfName, model ?? service!, served);
  return { client, model, service, headers: parseHeaders(flags.header ?? []) };
}

function checkName(
  kindOfName: string,
  name: string,
  known: readonly string[],
): void {
  if (known.includes(name)) return;
  const nearest = findNearestName(name, known);
  const hint = nearest ? `did you mean "${nearest}"?` : `known: ${known}`;
  throw new UsageError(`The document has no ${kindOfName} "${name}"; ${hint}`);
}

function parseHeaders(texts: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const text of texts) {
    const [, name, value] = /^([^=]+)=(.*)$/.exec(text) ?? [];
    if (!name) {
      throw new UsageError(`Invalid --header "${text}"; use NAME=VALUE.`);
    }
    headers[name.toLowerCase()] = value;
  }
  return headers;
}

const MISMATCH_REASONS: Record<
  Mismatch,
  (requestClass: RequestClass, traits: RequestTraits) => string
> = {
  [Mismatch.Client]: ({ match }, { client }) =>
    `client ${client} is none of ${match.clients.join(", ")}`,
  [Mismatch.Target]: ({ match }, { model, service }) =>
    `${model ?? service} is none of ${
      [...match.models, ...match.services].join(", ")
    }`,
  [Mismatch.Header]: ({ match }, { headers }) => {
    const { name, value } = match.header!;
    const given = headers[name] === undefined
      ? "missing"
      : `"${headers[name]}"`;
    return `header ${name} is ${given}, not "${value}"`;
  },
};

function evaluateClasses(
  document: ServiceDocument,
  traits: RequestTraits,
): ClassEvaluation[] {
  const evaluations: ClassEvaluation[] = [];
  for (const requestClass of document.classes) {
    const { name } = requestClass;
    const mismatch = findMismatch(requestClass, traits);
    if (!mismatch) {
      evaluations.push({ name, taken: true, reason: "all conditions hold" });
      break;
    }
    const reason = MISMATCH_REASONS[mismatch](requestClass, traits);
    evaluations.push({ name, taken: false, reason });
  }
  return evaluations;
}

function evaluatePools(
  document: ServiceDocument,
  requestClass: RequestClass,
  options: { target: string; from: string },
): PoolEvaluation[] {
  const { target, from } = options;
  const candidates = resolvePools(document, requestClass, options);
  const order = candidates.map(formatPool);
  const excluded = listPools(document)
    .filter((pool) => pool.target === target)
    .filter((pool) => !order.includes(formatPool(pool)));
  return [...candidates, ...excluded].map((pool) => {
    const { dataCentre } = pool;
    const place = order.indexOf(formatPool(pool)) + 1;
    const reason = place > 0
      ? describeProximity(document, dataCentre, from)
      : describeExclusion(document, requestClass, dataCentre);
    const upstreams = listPoolUpstreams(document, pool).map(([name]) =>
      evaluateUpstream(document, requestClass, name)
    );
    return { pool: formatPool(pool), place, reason, upstreams };
  });
}

function describeProximity(
  document: ServiceDocument,
  dataCentre: string,
  from: string,
): string {
  if (dataCentre === from) return "same data centre";
  const { dataCentres } = document;
  return dataCentres[dataCentre].region === dataCentres[from].region
    ? "same region"
    : "other region";
}

function describeExclusion(
  document: ServiceDocument,
  requestClass: RequestClass,
  dataCentre: string,
): string {
  const { state } = document.dataCentres[dataCentre];
  if (state !== "in-service") return `data centre ${dataCentre} is ${state}`;
  return `class ${requestClass.name} may not use data centre ${dataCentre}`;
}

function evaluateUpstream(
  document: ServiceDocument,
  requestClass: RequestClass,
  name: string,
): UpstreamEvaluation {
  const { coldConcurrent, maxConcurrent, vm, state } = document.upstreams[name];
  let reason = "";
  if (requestClass.upstreams.length > 0) {
    const allowed = requestClass.upstreams.includes(name);
    if (!allowed) reason = `class ${requestClass.name} may not use it`;
  }
  if (!isUpstreamInService(document, name)) reason = "out of service";
  if (document.vmsOutOfService.includes(vm)) {
    reason = `VM ${vm} is out of service`;
  }
  if (state !== "in-service") reason = `it is ${state}`;
  return { name, usable: reason === "", reason, coldConcurrent, maxConcurrent };
}

function findRefusal(
  requestClass: RequestClass | undefined,
  pools: readonly PoolEvaluation[],
): string {
  if (!requestClass) return ErrorKind.NoClass;
  const served = pools.some((pool) =>
    pool.place > 0 && pool.upstreams.some((upstream) => upstream.usable)
  );
  return served ? "" : ErrorKind.NoUpstream;
}
