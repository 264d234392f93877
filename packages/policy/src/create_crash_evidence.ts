/**
 * Number of successive crashes from which a request is quarantined, one more if
 * several requests were in flight at the same ones.
 */
export const REQUEST_QUARANTINE_CRASHES = 2;
/** Number of successive crashes from which a part is quarantined. */
export const PART_QUARANTINE_CRASHES = 3;
/**
 * Number of different requests among these: fewer than the crashes, as a VM may
 * send a request again to a second upstream.
 */
export const PART_QUARANTINE_REQUESTS = 2;

/** A call that was in flight when an upstream crashed. */
export interface CrashReport {
  /** Identifier of the crash, the same on all VMs. */
  crash: string;
  /** Fingerprints of the request. */
  requests: readonly string[];
  /** Parts of its prompt that other requests may share, in their order. */
  parts?: readonly string[];
  /**
   * Crashes of the same suspects that its VM knew of when it sent the call;
   * undefined if that is unknown, which counts as all others.
   */
  earlier?: readonly string[] | undefined;
}

/** A complete answer after a crash: the suspect did not cause that crash. */
export interface CrashClearing {
  /** Name of a request or part, as in `suspectOf`. */
  suspect: string;
  crash: string;
}

/** A request, as it is compared with the reports. */
export interface SuspectRequest {
  fingerprints: readonly string[];
  parts: readonly string[];
}

/**
 * Reports of crashes, and what they say about the requests that were in flight
 * and the parts of their prompts. The result does not depend on the order of
 * the changes.
 */
export interface CrashEvidence {
  add(report: CrashReport): void;
  remove(report: CrashReport): void;
  clear(clearing: CrashClearing): void;
  /** Takes a clearing back, when it has expired. */
  unclear(clearing: CrashClearing): void;
  /** What a complete answer to the request clears. */
  clearedBy(request: SuspectRequest): CrashClearing[];
  /** Suspects that are taken for the cause of crashes. */
  quarantined(): ReadonlySet<string>;
  /** The reports that name a suspect. */
  reportsOf(suspect: string): CrashReport[];
  /** Crashes that count against the request or its parts, at most `maxCount`. */
  crashesOf(request: SuspectRequest, maxCount: number): string[];
}

interface SuspectEntry {
  isPart: boolean;
  /** Largest position among the parts of a prompt, 0 for a request. */
  depth: number;
  /** By crash and request. */
  reports: Map<string, CrashReport>;
  /** Number of reports by crash. */
  crashes: Map<string, number>;
}

/** Suspect with the crashes that speak against it. */
interface OpenSuspect {
  name: string;
  entry: SuspectEntry;
  count: number;
}

/** First characters of the name of a part; fingerprints have no spaces. */
const PART_PREFIX = "part ";

/** Name of a prompt part as a suspect; a request's is its fingerprint. */
export function partSuspectOf(part: string): string {
  return `${PART_PREFIX}${part}`;
}

/** Whether a suspect's name is that of a part. */
export function isPartSuspect(suspect: string): boolean {
  return suspect.startsWith(PART_PREFIX);
}

/** Creates the evidence without any crash. */
export function createCrashEvidence(): CrashEvidence {
  const suspects = new Map<string, SuspectEntry>();
  /** Cleared crashes by suspect. */
  const clearings = new Map<string, Set<string>>();
  let cached: Set<string> | undefined;

  const keyOf = ({ crash, requests, earlier }: CrashReport) =>
    JSON.stringify([crash, requests, earlier]);

  function openCrashes(
    name: string,
    explained: ReadonlySet<string> = new Set(),
  ): string[] {
    const cleared = clearings.get(name);
    return [...suspects.get(name)?.crashes.keys() ?? []].filter((crash) =>
      !explained.has(crash) && !cleared?.has(crash)
    );
  }

  function addTo(
    name: string,
    report: CrashReport,
    position: { isPart: boolean; depth: number },
  ): void {
    let entry = suspects.get(name);
    if (!entry) {
      entry = { ...position, reports: new Map(), crashes: new Map() };
      suspects.set(name, entry);
    }
    entry.depth = Math.max(entry.depth, position.depth);
    if (entry.reports.has(keyOf(report))) return;
    entry.reports.set(keyOf(report), report);
    entry.crashes.set(report.crash, (entry.crashes.get(report.crash) ?? 0) + 1);
  }

  function removeFrom(name: string, report: CrashReport): void {
    const entry = suspects.get(name);
    if (!entry?.reports.delete(keyOf(report))) return;
    const left = entry.crashes.get(report.crash)! - 1;
    if (left > 0) entry.crashes.set(report.crash, left);
    else entry.crashes.delete(report.crash);
    if (entry.reports.size === 0) suspects.delete(name);
  }

  /** First fingerprints of the requests that were in flight at the crashes. */
  function requestsAt(
    entry: SuspectEntry,
    crashes: readonly string[],
  ): Set<string> {
    const open = new Set(crashes);
    const requests = new Set<string>();
    for (const { crash, requests: names } of entry.reports.values()) {
      if (open.has(crash)) requests.add(names[0]!);
    }
    return requests;
  }

  /** Whether open crashes suffice to quarantine a suspect. */
  function isCause(entry: SuspectEntry, crashes: readonly string[]): boolean {
    if (!hasSuccession(entry, crashes)) return false;
    if (!entry.isPart) return true;
    return requestsAt(entry, crashes).size >= PART_QUARANTINE_REQUESTS;
  }

  /** The causes with the most crashes that are not explained yet. */
  function mostFrequentCauses(
    explained: ReadonlySet<string>,
    found: ReadonlySet<string>,
  ): OpenSuspect[] {
    let causes: OpenSuspect[] = [];
    for (const [name, entry] of suspects) {
      const isRare = entry.crashes.size < REQUEST_QUARANTINE_CRASHES;
      if (isRare || found.has(name)) continue;
      const crashes = openCrashes(name, explained);
      const most = causes[0]?.count ?? 0;
      if (crashes.length < most || !isCause(entry, crashes)) continue;
      if (crashes.length > most) causes = [];
      causes.push({ name, entry, count: crashes.length });
    }
    return causes;
  }

  /**
   * Whether a part of other prompts was in flight at as many crashes in
   * succession: a further one shows which of them is the cause.
   */
  function hasRivalPart(
    { name: cause, entry, count }: OpenSuspect,
    explained: ReadonlySet<string>,
  ): boolean {
    if (!entry.isPart || count > PART_QUARANTINE_CRASHES) return false;
    const requests = requestsAt(entry, openCrashes(cause, explained));
    for (const [name, other] of suspects) {
      if (!other.isPart || other.crashes.size < count) continue;
      const crashes = openCrashes(name, explained);
      if (crashes.length < count || !hasSuccession(other, crashes)) continue;
      const others = requestsAt(other, crashes);
      if (![...others].some((request) => requests.has(request))) return true;
    }
    return false;
  }

  /**
   * Finds the fewest causes: the suspect with the most crashes explains those,
   * which then no longer count against the others that were in flight.
   */
  function findCauses(): Set<string> {
    const found = new Set<string>();
    const open = new Set<string>();
    const explained = new Set<string>();
    for (;;) {
      const causes = mostFrequentCauses(
        explained,
        new Set([...found, ...open]),
      );
      if (causes.length === 0 || isAmbiguous(causes)) return found;
      const chosen = narrowest(causes);
      if (hasRivalPart(chosen[0]!, explained)) {
        for (const { name } of causes) open.add(name);
        continue;
      }
      for (const { name } of chosen) {
        found.add(name);
        for (const crash of openCrashes(name)) explained.add(crash);
      }
    }
  }

  return {
    add(report) {
      for (const request of report.requests) {
        addTo(request, report, { isPart: false, depth: 0 });
      }
      for (const [depth, part] of report.parts?.entries() ?? []) {
        addTo(partSuspectOf(part), report, { isPart: true, depth });
      }
      cached = undefined;
    },
    remove(report) {
      for (const request of report.requests) removeFrom(request, report);
      for (const part of report.parts ?? []) {
        removeFrom(partSuspectOf(part), report);
      }
      cached = undefined;
    },
    clear({ suspect, crash }) {
      const crashes = clearings.get(suspect);
      if (crashes) crashes.add(crash);
      else clearings.set(suspect, new Set([crash]));
      cached = undefined;
    },
    unclear({ suspect, crash }) {
      const crashes = clearings.get(suspect);
      crashes?.delete(crash);
      if (crashes?.size === 0) clearings.delete(suspect);
      cached = undefined;
    },
    clearedBy({ fingerprints, parts }) {
      const cleared: CrashClearing[] = [];
      for (const suspect of fingerprints) {
        for (const crash of openCrashes(suspect)) {
          cleared.push({ suspect, crash });
        }
      }
      for (const suspect of parts.map(partSuspectOf)) {
        const crashes = openCrashes(suspect);
        // Shared parts are answered all the time; fewer crashes do no harm.
        if (crashes.length < PART_QUARANTINE_CRASHES - 1) continue;
        for (const crash of crashes) cleared.push({ suspect, crash });
      }
      return cleared;
    },
    quarantined: () => cached ??= findCauses(),
    reportsOf: (suspect) => [...suspects.get(suspect)?.reports.values() ?? []],
    crashesOf({ fingerprints, parts }, maxCount) {
      if (suspects.size === 0) return [];
      const names = [...fingerprints, ...parts.map(partSuspectOf).reverse()];
      const crashes = names.flatMap((name) =>
        openCrashes(name).slice(-maxCount).reverse()
      );
      return [...new Set(crashes)].slice(0, maxCount);
    },
  };
}

/**
 * Whether so many of the crashes followed one another that they can be the
 * suspect's doing. Crashes whose calls were all sent before any of them was known
 * may have a common cause, such as the loss of power, and count as one.
 */
function hasSuccession(
  { isPart, reports }: SuspectEntry,
  crashes: readonly string[],
): boolean {
  const needed = isPart ? PART_QUARANTINE_CRASHES : REQUEST_QUARANTINE_CRASHES;
  if (crashes.length < needed) return false;
  const left = new Map<string, Set<string>>();
  for (const crash of crashes) left.set(crash, new Set());
  const isolated = new Set<string>();
  for (const { crash, earlier } of reports.values()) {
    if (!earlier) isolated.add(crash);
    for (const other of earlier ?? []) left.get(crash)?.add(other);
  }
  let count = 0;
  for (const crash of isolated) if (left.delete(crash)) count++;
  return count + longestSuccession(left) >= needed;
}

/**
 * Length of the longest succession of crashes, each known when a call was sent
 * that was in flight at the next one.
 */
function longestSuccession(
  earlierOf: ReadonlyMap<string, ReadonlySet<string>>,
): number {
  const left = new Map(earlierOf);
  for (let length = 0;; length++) {
    const first = [...left].filter(([crash, earlier]) =>
      ![...earlier].some((other) => other !== crash && left.has(other))
    );
    // None is left, or reports contradict each other.
    if (first.length === 0) return length;
    for (const [crash] of first) left.delete(crash);
  }
}

/**
 * Whether different requests were in flight at the same few crashes, as after a
 * retry at the upstream that the cause reached next.
 */
function isAmbiguous(causes: readonly OpenSuspect[]): boolean {
  if (causes[0]!.count > REQUEST_QUARANTINE_CRASHES) return false;
  const requests = new Set<string>();
  for (const { entry } of causes) {
    for (const report of entry.reports.values()) {
      requests.add(report.requests[0]!);
    }
  }
  return requests.size > 1;
}

/**
 * Of equally frequent causes those that concern the fewest requests: single
 * requests before parts, and the parts furthest behind, as prompts share their
 * first parts most.
 */
function narrowest(causes: readonly OpenSuspect[]): readonly OpenSuspect[] {
  const single = causes.filter(({ entry }) => !entry.isPart);
  if (single.length > 0) return single;
  const deepest = Math.max(...causes.map(({ entry }) => entry.depth));
  return causes.filter(({ entry }) => entry.depth === deepest);
}
