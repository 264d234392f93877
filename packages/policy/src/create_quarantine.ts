import { MAX_REQUEST_TRIALS, TRIAL_DELAY_MS } from "./create_trial_record.ts";

/** How long a fingerprint stays suspect after a crash, in milliseconds. */
export const SUSPECT_MS = 60_000;
/**
 * How long a fingerprint with `QUARANTINE_CRASHES` crashes is refused, in
 * milliseconds.
 */
export const QUARANTINE_MS = 600_000;
/** Number of uncleared crashes at which a fingerprint is refused. */
export const QUARANTINE_CRASHES = 2;
/** Largest number of fingerprints that are kept. */
export const MAX_FINGERPRINTS = 10_000;

/** Whether a fingerprint is suspected of crashing upstreams. */
export enum FingerprintState {
  Clear = "clear",
  /** An upstream crashed with it in flight, or its trial is due. */
  Suspect = "suspect",
  /** Upstreams crashed with two calls of it, or a trial is in progress. */
  Quarantined = "quarantined",
}

/** A fingerprint with the crashes during which it was in flight. */
export interface FingerprintRecord {
  fingerprint: string;
  /** Identifiers of the crashes. */
  crashes: string[];
  /** Those of them after which a call of it was answered completely. */
  cleared: string[];
  /** Time after which the record expires, in milliseconds. */
  remainingMs: number;
}

/** Fingerprints of requests that were in flight when upstreams crashed. */
export interface Quarantine {
  stateOf(fingerprint: string): FingerprintState;
  /**
   * Time until a quarantined fingerprint is tried or its record expires, in ms;
   * 0 without a record.
   */
  remainingMs(fingerprint: string): number;
  /** Records a crash with the fingerprints that were in flight. */
  onCrash(crash: string, fingerprints: Iterable<string>): void;
  /**
   * A call of the fingerprint begins. A trial counts as a crash from now on, on
   * all processes, so that they make no other one.
   */
  onStarted(fingerprint: string, crash: string): void;
  /** The call that began as `crash` was not sent: if a trial, it has no result. */
  onUnused(fingerprint: string, crash: string): void;
  /** Records a complete answer, which clears the fingerprint. */
  onAnswer(fingerprint: string): void;
  /** Merges the record of another process. */
  merge(record: FingerprintRecord): void;
  /** Records that haven't expired, to be merged by other processes. */
  records(): FingerprintRecord[];
}

/** Options of `createQuarantine`. */
export interface QuarantineOptions {
  /** Monotonic time in milliseconds. */
  now(): number;
  /**
   * Called with the whole record when a fingerprint gets a new crash or
   * clearing, own or merged.
   */
  onChange(record: FingerprintRecord): void;
}

interface FingerprintEntry {
  crashes: Set<string>;
  cleared: Set<string>;
  untilMs: number;
  /** Time at which the last crash became known. */
  crashedMs: number;
}

type CrashChange = Partial<Pick<FingerprintRecord, "crashes" | "cleared">>;

/**
 * Creates an empty quarantine. Beyond `MAX_FINGERPRINTS` the least recently
 * changed record is evicted.
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { now, onChange } = options;
  const entries = new Map<string, FingerprintEntry>();

  function find(fingerprint: string): FingerprintEntry | undefined {
    const entry = entries.get(fingerprint);
    if (!entry || entry.untilMs > now()) return entry;
    entries.delete(fingerprint);
    return undefined;
  }

  /** Time at which a trial is due; infinite if none follows. */
  function trialMs(entry: FingerprintEntry): number {
    const hasTrial =
      countCrashes(entry) < QUARANTINE_CRASHES + MAX_REQUEST_TRIALS;
    return hasTrial ? entry.crashedMs + TRIAL_DELAY_MS : Infinity;
  }

  function countCrashes({ crashes, cleared }: FingerprintEntry): number {
    return crashes.size - cleared.size;
  }

  function recordOf(
    fingerprint: string,
    entry: FingerprintEntry,
  ): FingerprintRecord {
    const crashes = [...entry.crashes];
    const cleared = [...entry.cleared];
    const remainingMs = entry.untilMs - now();
    return { fingerprint, crashes, cleared, remainingMs };
  }

  function createEntry(): FingerprintEntry {
    return { crashes: new Set(), cleared: new Set(), untilMs: 0, crashedMs: 0 };
  }

  function update(
    fingerprint: string,
    { crashes = [], cleared = [] }: CrashChange,
    remainingMs: number,
  ): void {
    const entry = find(fingerprint) ?? createEntry();
    const sizeBefore = entry.crashes.size + entry.cleared.size;
    const crashesBefore = countCrashes(entry);
    for (const crash of [...crashes, ...cleared]) entry.crashes.add(crash);
    for (const crash of cleared) entry.cleared.add(crash);
    if (entry.crashes.size + entry.cleared.size === sizeBefore) return;
    if (countCrashes(entry) > crashesBefore) entry.crashedMs = now();
    const isSecond = crashesBefore > 0 &&
      crashesBefore < QUARANTINE_CRASHES &&
      countCrashes(entry) >= QUARANTINE_CRASHES;
    const durationMs = isSecond ? QUARANTINE_MS : remainingMs;
    entry.untilMs = Math.max(entry.untilMs, now() + durationMs);
    // Keeps the entries in the order of their last changes, for eviction.
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
    return crashes < QUARANTINE_CRASHES || trialMs(entry!) <= now()
      ? FingerprintState.Suspect
      : FingerprintState.Quarantined;
  }

  return {
    stateOf,
    remainingMs(fingerprint) {
      const entry = find(fingerprint);
      if (!entry) return 0;
      const untilMs = Math.min(entry.untilMs, trialMs(entry));
      return Math.max(0, untilMs - now());
    },
    onCrash(crash, fingerprints) {
      for (const fingerprint of new Set(fingerprints)) {
        update(fingerprint, { crashes: [crash] }, SUSPECT_MS);
      }
    },
    onStarted(fingerprint, crash) {
      const entry = find(fingerprint);
      if (!entry || countCrashes(entry) < QUARANTINE_CRASHES) return;
      update(fingerprint, { crashes: [crash] }, SUSPECT_MS);
    },
    onUnused(fingerprint, crash) {
      if (!find(fingerprint)?.crashes.has(crash)) return;
      update(fingerprint, { cleared: [crash] }, SUSPECT_MS);
    },
    onAnswer(fingerprint) {
      if (stateOf(fingerprint) === FingerprintState.Clear) return;
      const cleared = [...find(fingerprint)!.crashes];
      update(fingerprint, { cleared }, SUSPECT_MS);
    },
    merge(record) {
      const remainingMs = Math.min(QUARANTINE_MS, record.remainingMs);
      update(record.fingerprint, record, remainingMs);
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
