/** How long a fingerprint stays suspect after a crash, in milliseconds. */
export const SUSPECT_MS = 60_000;
/** How long a fingerprint that crashed twice is refused, in milliseconds. */
export const QUARANTINE_MS = 600_000;
/** Crashes in flight after which a fingerprint is refused. */
export const QUARANTINE_CRASHES = 2;
/** Fingerprints that are remembered at most. */
export const MAX_FINGERPRINTS = 10_000;

/** What is held of a fingerprint. */
export enum FingerprintState {
  Clear = "clear",
  /** An upstream crashed with it in flight. */
  Suspect = "suspect",
  /** Upstreams crashed with two calls of it. */
  Quarantined = "quarantined",
}

/** A fingerprint with the crashes that it was in flight at. */
export interface FingerprintRecord {
  fingerprint: string;
  /** Identifiers of the crashes. */
  crashes: string[];
  /** Those of them after which a call of it was answered whole. */
  cleared: string[];
  /** Time after which it is forgotten, in milliseconds. */
  remainingMs: number;
}

/** Fingerprints that were in flight when upstreams crashed. */
export interface Quarantine {
  stateOf(fingerprint: string): FingerprintState;
  /** Time until a fingerprint is forgotten, in milliseconds. */
  remainingMs(fingerprint: string): number;
  /** Notes one crash with the fingerprints that were in flight at it. */
  onCrash(crash: string, fingerprints: Iterable<string>): void;
  /** Notes a whole answer, which clears a suspect. */
  onAnswer(fingerprint: string): void;
  /** Takes what another broker knows. */
  merge(record: FingerprintRecord): void;
  records(): FingerprintRecord[];
}

/** What a quarantine needs. */
export interface QuarantineOptions {
  now(): number;
  /** Hears of each crash and clearing that is new for a fingerprint. */
  onChange(record: FingerprintRecord): void;
}

interface Entry {
  crashes: Set<string>;
  cleared: Set<string>;
  untilMs: number;
}

type Change = Partial<Pick<FingerprintRecord, "crashes" | "cleared">>;

/** Creates a quarantine that holds nothing. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { now, onChange } = options;
  const entries = new Map<string, Entry>();

  function find(fingerprint: string): Entry | undefined {
    const entry = entries.get(fingerprint);
    if (!entry || entry.untilMs > now()) return entry;
    entries.delete(fingerprint);
    return undefined;
  }

  function countCrashes({ crashes, cleared }: Entry): number {
    return crashes.size - cleared.size;
  }

  function recordOf(fingerprint: string, entry: Entry): FingerprintRecord {
    const crashes = [...entry.crashes];
    const cleared = [...entry.cleared];
    const remainingMs = entry.untilMs - now();
    return { fingerprint, crashes, cleared, remainingMs };
  }

  function newEntry(): Entry {
    return { crashes: new Set(), cleared: new Set(), untilMs: 0 };
  }

  function change(
    fingerprint: string,
    { crashes = [], cleared = [] }: Change,
    remainingMs: number,
  ): void {
    const entry = find(fingerprint) ?? newEntry();
    const before = entry.crashes.size + entry.cleared.size;
    const crashesBefore = countCrashes(entry);
    for (const crash of [...crashes, ...cleared]) entry.crashes.add(crash);
    for (const crash of cleared) entry.cleared.add(crash);
    if (entry.crashes.size + entry.cleared.size === before) return;
    const isSecond = crashesBefore > 0 &&
      crashesBefore < QUARANTINE_CRASHES &&
      countCrashes(entry) >= QUARANTINE_CRASHES;
    const heldMs = isSecond ? QUARANTINE_MS : remainingMs;
    entry.untilMs = Math.max(entry.untilMs, now() + heldMs);
    // The newest stand last, so that the oldest give way.
    entries.delete(fingerprint);
    entries.set(fingerprint, entry);
    if (entries.size > MAX_FINGERPRINTS) {
      entries.delete(entries.keys().next().value!);
    }
    onChange(recordOf(fingerprint, entry));
  }

  function stateOf(fingerprint: string): FingerprintState {
    const entry = find(fingerprint);
    const crashes = entry ? countCrashes(entry) : 0;
    if (crashes === 0) return FingerprintState.Clear;
    return crashes < QUARANTINE_CRASHES
      ? FingerprintState.Suspect
      : FingerprintState.Quarantined;
  }

  return {
    stateOf,
    remainingMs(fingerprint) {
      const entry = find(fingerprint);
      return entry ? entry.untilMs - now() : 0;
    },
    onCrash(crash, fingerprints) {
      for (const fingerprint of new Set(fingerprints)) {
        change(fingerprint, { crashes: [crash] }, SUSPECT_MS);
      }
    },
    onAnswer(fingerprint) {
      if (stateOf(fingerprint) !== FingerprintState.Suspect) return;
      const cleared = [...find(fingerprint)!.crashes];
      change(fingerprint, { cleared }, SUSPECT_MS);
    },
    merge(record) {
      const remainingMs = Math.min(QUARANTINE_MS, record.remainingMs);
      change(record.fingerprint, record, remainingMs);
    },
    records() {
      const records: FingerprintRecord[] = [];
      for (const [fingerprint, entry] of entries) {
        if (entry.untilMs > now()) records.push(recordOf(fingerprint, entry));
      }
      return records;
    },
  };
}
