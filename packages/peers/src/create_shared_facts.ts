import { createHash } from "node:crypto";

/** A fact as VMs exchange it. */
export interface SharedFact {
  /** Kind and content; two facts with the same values are the same fact. */
  values: string[];
  /** Time until it expires, in milliseconds. */
  remainingMs: number;
}

/**
 * Facts that all VMs are to know until they expire. Merging neither depends on
 * the order nor on repetitions: a fact is known or not, and of two lifetimes the
 * longer one counts.
 */
export interface SharedFacts {
  /** Adds a fact of this VM and publishes it if it is new. */
  add(values: string[], lifetimeMs: number): void;
  /** Merges facts that the VM `from` sent. */
  merge(facts: readonly SharedFact[], from: string): void;
  /** Prolongs the lifetime of a known fact on this VM. */
  prolong(values: string[], lifetimeMs: number): void;
  /** Removes expired facts. */
  expire(): void;
  /** Differs, almost surely, between VMs that know different facts. */
  digest(): number;
  /** All facts, to be merged by other VMs. */
  list(): SharedFact[];
  /** Number of facts. */
  size(): number;
  /** Number of facts dropped since the start beyond `MAX_SHARED_FACTS`. */
  droppedCount(): number;
}

/** Dependencies of `createSharedFacts`. */
export interface SharedFactsOptions {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Sends a new fact of this VM to the others. */
  publish(fact: SharedFact): void;
  /** A fact became known; `from` is the VM that sent it, undefined for this one. */
  onAdded(values: string[], from: string | undefined): void;
  /** A fact expired or was dropped. */
  onRemoved(values: string[]): void;
}

/** Facts that are kept; beyond that, those that expire first are dropped. */
export const MAX_SHARED_FACTS = 10_000;
/** Longest lifetime of a fact, in milliseconds. */
const MAX_LIFETIME_MS = 3_600_000;

interface KnownFact {
  values: string[];
  hash: number;
  expiresMs: number;
}

/** Creates an empty set of facts. */
export function createSharedFacts(options: SharedFactsOptions): SharedFacts {
  const { now, publish, onAdded, onRemoved } = options;
  const facts = new Map<string, KnownFact>();
  let digest = 0;
  let dropped = 0;

  const keyOf = (values: readonly string[]) => values.join("\n");

  /** Adds a fact or prolongs it; returns whether it is new. */
  function put(values: string[], lifetimeMs: number, from?: string): boolean {
    const key = keyOf(values);
    const expiresMs = now() + Math.min(MAX_LIFETIME_MS, lifetimeMs);
    const known = facts.get(key);
    if (known) {
      known.expiresMs = Math.max(known.expiresMs, expiresMs);
      return false;
    }
    if (!(lifetimeMs > 0)) return false;
    const hash = createHash("sha1").update(key).digest().readUInt32LE();
    facts.set(key, { values, hash, expiresMs });
    digest = (digest + hash) % 2 ** 32;
    onAdded(values, from);
    if (facts.size > MAX_SHARED_FACTS) dropFirstToExpire();
    return facts.has(key);
  }

  function remove(key: string, fact: KnownFact): void {
    facts.delete(key);
    digest = (digest - fact.hash + 2 ** 32) % 2 ** 32;
    onRemoved(fact.values);
  }

  function dropFirstToExpire(): void {
    let first: [string, KnownFact] | undefined;
    for (const entry of facts) {
      if (!first || entry[1].expiresMs < first[1].expiresMs) first = entry;
    }
    if (!first) return;
    dropped++;
    remove(...first);
  }

  return {
    add(values, lifetimeMs) {
      if (put(values, lifetimeMs)) publish({ values, remainingMs: lifetimeMs });
    },
    merge(received, from) {
      for (const { values, remainingMs } of received) {
        put(values, remainingMs, from);
      }
    },
    prolong(values, lifetimeMs) {
      if (facts.has(keyOf(values))) put(values, lifetimeMs);
    },
    expire() {
      for (const [key, fact] of facts) {
        if (fact.expiresMs <= now()) remove(key, fact);
      }
    },
    digest: () => digest,
    list: () =>
      [...facts.values()].map(({ values, expiresMs }) => ({
        values,
        remainingMs: Math.ceil(expiresMs - now()),
      })),
    size: () => facts.size,
    droppedCount: () => dropped,
  };
}
