import { isIP } from "node:net";
import type { RequestClass, ServiceDocument } from "./document_schema.ts";

/** Maximum sum of the floor shares of all classes. */
export const MAX_FLOOR_SHARE_SUM = 0.5;

/** An inconsistency between fields that are each valid on their own. */
export interface Inconsistency {
  /** Path of the field that should change. */
  path: (string | number)[];
  message: string;
  /** How to fix the document. */
  mend: string;
}

type Check = (document: ServiceDocument) => Inconsistency[];

const CHECKS: readonly Check[] = [
  checkClassNames,
  checkShadowedClasses,
  checkFloorShares,
  checkClassTimes,
  checkConcurrency,
  checkAddresses,
  checkTargets,
  checkKeys,
];

/** Finds inconsistencies between the fields of a document, grouped by check. */
export function checkDocument(document: ServiceDocument): Inconsistency[] {
  return CHECKS.flatMap((check) => check(document));
}

function checkClassNames({ classes }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  const seen = new Set<string>();
  for (const [index, { name }] of classes.entries()) {
    if (seen.has(name)) {
      found.push({
        path: ["classes", index, "name"],
        message: `another class is named "${name}"`,
        mend: "give each class its own name",
      });
    }
    seen.add(name);
  }
  return found;
}

function checkShadowedClasses({ classes }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  for (const [index, later] of classes.entries()) {
    const earlier = classes.slice(0, index)
      .find((candidate) => covers(candidate, later));
    if (!earlier) continue;
    found.push({
      path: ["classes", index, "match"],
      message:
        `class "${earlier.name}" comes first and matches every request of ` +
        "this class",
      mend: `move it before "${earlier.name}" or change its match`,
    });
  }
  return found;
}

/**
 * Whether every request that matches `later` certainly also matches `earlier`.
 * Conservative: a list of all existing names doesn't count as an empty list.
 */
function covers(earlier: RequestClass, later: RequestClass): boolean {
  const { match } = earlier;
  if (!includesAll(match.clients, later.match.clients)) return false;
  if (!coversTargets(earlier, later)) return false;
  if (!match.header) return true;
  const { header } = later.match;
  return header?.name === match.header.name &&
    header.value === match.header.value;
}

function coversTargets(earlier: RequestClass, later: RequestClass): boolean {
  const { models, services } = earlier.match;
  if (models.length === 0 && services.length === 0) return true;
  const wanted = later.match;
  if (wanted.models.length === 0 && wanted.services.length === 0) return false;
  return wanted.models.every((name) => models.includes(name)) &&
    wanted.services.every((name) => services.includes(name));
}

/** Whether `list` includes all of `others`; in both, empty means all names. */
function includesAll(
  list: readonly string[],
  others: readonly string[],
): boolean {
  if (list.length === 0) return true;
  return others.length > 0 && others.every((name) => list.includes(name));
}

function checkFloorShares({ classes }: ServiceDocument): Inconsistency[] {
  let sum = 0;
  for (const [index, { floorShare }] of classes.entries()) {
    sum += floorShare;
    if (sum <= MAX_FLOOR_SHARE_SUM + Number.EPSILON * classes.length) continue;
    return [{
      path: ["classes", index, "floorShare"],
      message: `the floor shares add up to more than ${MAX_FLOOR_SHARE_SUM}`,
      mend: "lower the floorShare of some classes",
    }];
  }
  return [];
}

function checkClassTimes({ classes }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  for (const [index, { queueMs, totalMs }] of classes.entries()) {
    if (queueMs < totalMs) continue;
    found.push({
      path: ["classes", index, "queueMs"],
      message: `the queue time leaves none of the ${totalMs} ms of totalMs`,
      mend: "make queueMs less than totalMs",
    });
  }
  return found;
}

function checkConcurrency({ upstreams }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  for (const [name, upstream] of Object.entries(upstreams)) {
    if (upstream.coldConcurrent <= upstream.maxConcurrent) continue;
    found.push({
      path: ["upstreams", name, "coldConcurrent"],
      message: "a cold upstream may get more calls than a warm one",
      mend: `use at most maxConcurrent, ${upstream.maxConcurrent}`,
    });
  }
  return found;
}

function checkAddresses({ upstreams }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  for (const [name, { address }] of Object.entries(upstreams)) {
    const { protocol, hostname } = new URL(address);
    const host = hostname.replace(/^\[|\]$/g, "");
    if (/^https?:$/.test(protocol) && isIP(host) !== 0) continue;
    found.push({
      path: ["upstreams", name, "address"],
      message: "the address is not an HTTP URL with an IP address",
      mend: "write it such as http://10.0.0.1:8000",
    });
  }
  return found;
}

function checkTargets({ upstreams }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  const kinds = new Map<string, string>();
  for (const [name, { kind, serves }] of Object.entries(upstreams)) {
    for (const [index, target] of serves.entries()) {
      const other = kinds.get(target) ?? kind;
      kinds.set(target, other);
      if (other === kind) continue;
      found.push({
        path: ["upstreams", name, "serves", index],
        message: `"${target}" is served by a ${other} as well`,
        mend: "give the model and the plain service different names",
      });
    }
    if (kind !== "plain-service" || serves.length === 1) continue;
    found.push({
      path: ["upstreams", name, "serves"],
      message: "a plain-service upstream serves one plain service",
      mend: "write an upstream for each plain service",
    });
  }
  return found;
}

function checkKeys({ clients }: ServiceDocument): Inconsistency[] {
  const found: Inconsistency[] = [];
  const owners = new Map<string, string>();
  for (const [name, { keys }] of Object.entries(clients)) {
    for (const [index, key] of keys.entries()) {
      const owner = owners.get(key);
      owners.set(key, owner ?? name);
      if (owner === undefined) continue;
      found.push({
        path: ["clients", name, "keys", index],
        message: `client "${owner}" has the same key`,
        mend: "give each client keys of its own",
      });
    }
  }
  return found;
}
