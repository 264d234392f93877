import type { Statement } from "@rosemarytiller/peers";
import type { Clock } from "@rosemarytiller/shared";

/**
 * What upstreams said about themselves in their last responses to any VM. VMs
 * exchange it with the age of the response; the latest one counts.
 */
export interface Statements {
  /** Notes a response to this VM; `value` is 0 if it said nothing. */
  put(subject: string, value: number): void;
  /** Merges what the VM `from` knows. */
  merge(statements: readonly Statement[], from: string): void;
  /** What this VM knows, the latest first, for the other VMs. */
  list(): Statement[];
}

/** Dependencies of the statements. */
export interface StatementsOptions {
  clock: Clock;
  /** A value has changed; `from` is the VM that knew it, undefined for this one. */
  onChanged(subject: string, value: number, from: string | undefined): void;
  /** Sends what this VM knows to the others. */
  publish(): void;
}

/** Statements that a heartbeat carries. */
const MAX_LISTED = 32;
/** Statements that are kept; beyond that, the oldest are dropped. */
const MAX_KEPT = 1000;
/** Age of the response beyond which a statement is dropped, in ms. */
const MAX_AGE_MS = 600_000;

/** Creates the statements; none is known at first. */
export function createStatements(options: StatementsOptions): Statements {
  const { clock, onChanged, publish } = options;
  const known = new Map<string, { value: number; atMs: number }>();

  /** Notes a response; returns whether it changed a value. */
  function note(
    subject: string,
    value: number,
    { atMs, from }: { atMs: number; from?: string },
  ): boolean {
    const last = known.get(subject);
    if (!last && value === 0) return false;
    if (last && last.atMs >= atMs) return false;
    // Keeps the map in the order in which the statements were last noted.
    known.delete(subject);
    known.set(subject, { value, atMs });
    if (last?.value === value) return false;
    onChanged(subject, value, from);
    return true;
  }

  /** Drops what is too old, such as that of upstreams that are no more. */
  function dropOldest(): void {
    for (const [subject, { value, atMs }] of known) {
      const isRecent = clock.now() - atMs < MAX_AGE_MS;
      if (isRecent && known.size <= MAX_KEPT) return;
      known.delete(subject);
      if (value !== 0) onChanged(subject, 0, undefined);
    }
  }

  return {
    put(subject, value) {
      if (note(subject, value, { atMs: clock.now() })) publish();
    },
    merge(statements, from) {
      const nowMs = clock.now();
      for (const [subject, value, ageMs] of statements) {
        note(subject, value, { atMs: nowMs - ageMs, from });
      }
    },
    list() {
      dropOldest();
      const nowMs = clock.now();
      return [...known]
        .sort(([, left], [, right]) => right.atMs - left.atMs)
        .slice(0, MAX_LISTED)
        .map(([subject, { value, atMs }]) => [
          subject,
          value,
          Math.round(nowMs - atMs),
        ]);
    },
  };
}
