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
import { type CommandCall, ExitCode, UsageError } from "./command.ts";
import { formatExplanation } from "./format_explanation.ts";
import { readText } from "./read_text.ts";

/** A class that was looked at, and why it was not taken. */
export interface ClassVerdict {
  name: string;
  taken: boolean;
  reason: string;
}

/** An upstream of a pool, and whether the class may use it. */
export interface UpstreamVerdict {
  name: string;
  usable: boolean;
  reason: string;
  coldConcurrent: number;
  maxConcurrent: number;
}

/** A pool that serves the target, and whether the class may use it. */
export interface PoolVerdict {
  pool: string;
  /** Place in the order in which pools are asked; 0 if it is not asked. */
  place: number;
  reason: string;
  upstreams: UpstreamVerdict[];
}

/** How a request would be classed and placed. */
export interface Explanation {
  service: string;
  client: string;
  target: string;
  from: string;
  classes: ClassVerdict[];
  /** The class that was taken, if any. */
  requestClass?: RequestClass;
  pools: PoolVerdict[];
  /** The refusal that the caller would get; empty if it is served. */
  refusal: string;
}

/** `tillerctl explain`: tells how a request would be classed and placed. */
export async function explainRequest(call: CommandCall): Promise<ExitCode> {
  const { input, flags, print } = call;
  if (input.length !== 1) throw new UsageError("Name one document.");
  const document = parseDocument(await readText(input[0]), input[0]);
  const traits = readTraits(document, call);
  const from = flags.from ?? Object.keys(document.dataCentres)[0];
  checkName("data centre", from, Object.keys(document.dataCentres));
  const explanation = explain(document, traits, { from });
  if (flags.json) print(`${JSON.stringify(explanation)}\n`);
  else print(formatExplanation(explanation));
  return explanation.refusal ? ExitCode.Failed : ExitCode.Ok;
}

/** Explains how a document treats a request from a data centre's entry. */
export function explain(
  document: ServiceDocument,
  traits: RequestTraits,
  options: { from: string },
): Explanation {
  const { from } = options;
  const target = traits.model ?? traits.service!;
  const requestClass = classifyRequest(document, traits);
  const pools = requestClass
    ? judgePools(document, requestClass, { target, from })
    : [];
  return {
    service: document.service,
    client: traits.client,
    target,
    from,
    classes: judgeClasses(document, traits),
    requestClass,
    pools,
    refusal: refusalOf(requestClass, pools),
  };
}

function readTraits(
  document: ServiceDocument,
  { flags }: CommandCall,
): RequestTraits {
  const { client, model, service } = flags;
  if (!client) throw new UsageError("Name the client account by --client.");
  if ((model === undefined) === (service === undefined)) {
    throw new UsageError("Name one target, by --model or --service.");
  }
  checkName("client", client, Object.keys(document.clients));
  const served = Object.values(document.upstreams)
    .filter(({ kind }) => (kind === "model-runner") === (model !== undefined))
    .flatMap((upstream) => upstream.serves);
  const what = model === undefined ? "plain service" : "model";
  checkName(what, model ?? service!, served);
  return { client, model, service, headers: readHeaders(flags.header ?? []) };
}

function checkName(
  what: string,
  name: string,
  known: readonly string[],
): void {
  if (known.includes(name)) return;
  const nearest = findNearestName(name, known);
  const mend = nearest ? `did you mean "${nearest}"?` : `known: ${known}`;
  throw new UsageError(`The document has no ${what} "${name}"; ${mend}`);
}

function readHeaders(texts: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const text of texts) {
    const [, name, value] = /^([^=]+)=(.*)$/.exec(text) ?? [];
    if (!name) throw new UsageError(`Write --header NAME=VALUE, not ${text}.`);
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

function judgeClasses(
  document: ServiceDocument,
  traits: RequestTraits,
): ClassVerdict[] {
  const verdicts: ClassVerdict[] = [];
  for (const requestClass of document.classes) {
    const { name } = requestClass;
    const mismatch = findMismatch(requestClass, traits);
    if (!mismatch) {
      verdicts.push({ name, taken: true, reason: "all conditions hold" });
      break;
    }
    const reason = MISMATCH_REASONS[mismatch](requestClass, traits);
    verdicts.push({ name, taken: false, reason });
  }
  return verdicts;
}

function judgePools(
  document: ServiceDocument,
  requestClass: RequestClass,
  options: { target: string; from: string },
): PoolVerdict[] {
  const { target, from } = options;
  const asked = resolvePools(document, requestClass, options);
  const order = asked.map(formatPool);
  const left = listPools(document)
    .filter((pool) => pool.target === target)
    .filter((pool) => !order.includes(formatPool(pool)));
  return [...asked, ...left].map((pool) => {
    const { dataCentre } = pool;
    const place = order.indexOf(formatPool(pool)) + 1;
    const reason = place > 0
      ? nearnessOf(document, dataCentre, from)
      : absenceOf(document, requestClass, dataCentre);
    const upstreams = listPoolUpstreams(document, pool).map(([name]) =>
      judgeUpstream(document, requestClass, name)
    );
    return { pool: formatPool(pool), place, reason, upstreams };
  });
}

function nearnessOf(
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

function absenceOf(
  document: ServiceDocument,
  requestClass: RequestClass,
  dataCentre: string,
): string {
  const { state } = document.dataCentres[dataCentre];
  if (state !== "in-service") return `data centre ${dataCentre} is ${state}`;
  return `class ${requestClass.name} may not use data centre ${dataCentre}`;
}

function judgeUpstream(
  document: ServiceDocument,
  requestClass: RequestClass,
  name: string,
): UpstreamVerdict {
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

function refusalOf(
  requestClass: RequestClass | undefined,
  pools: readonly PoolVerdict[],
): string {
  if (!requestClass) return ErrorKind.NoClass;
  const served = pools.some((pool) =>
    pool.place > 0 && pool.upstreams.some((upstream) => upstream.usable)
  );
  return served ? "" : ErrorKind.NoUpstream;
}
