/** Number of crashes from which a request is quarantined. */
export const REQUEST_QUARANTINE_CRASHES = 2;

/** A call that was in flight when an upstream crashed. */
export interface CrashReport {
  /** Identifier of the crash, the same on all VMs. */
  crash: string;
  /** Fingerprint of the request. */
  request: string;
}

/** A complete answer after a crash: the suspect did not cause that crash. */
export interface CrashClearing {
  suspect: string;
  crash: string;
}

/**
 * Reports of crashes, and what they say about the requests that were in flight.
 * The result does not depend on the order of the changes.
 */
export interface CrashEvidence {
  add(report: CrashReport): void;
  remove(report: CrashReport): void;
  clear(clearing: CrashClearing): void;
  /** Takes a clearing back, when it has expired. */
  unclear(clearing: CrashClearing): void;
  /** What a complete answer to the request clears. */
  clearedBy(request: string): CrashClearing[];
  /** Requests that are taken for the cause of crashes. */
  quarantined(): ReadonlySet<string>;
  /** The reports that name a suspect. */
  reportsOf(suspect: string): CrashReport[];
}

interface SuspectEntry {
  /** By crash and request. */
  reports: Map<string, CrashReport>;
  /** Number of reports by crash. */
  crashes: Map<string, number>;
}

/** Creates the evidence without any crash. */
export function createCrashEvidence(): CrashEvidence {
  const suspects = new Map<string, SuspectEntry>();
  /** Cleared crashes by suspect. */
  const clearings = new Map<string, Set<string>>();
  let cached: Set<string> | undefined;

  function openCrashes(
    name: string,
    explained: ReadonlySet<string> = new Set(),
  ): string[] {
    const cleared = clearings.get(name);
    return [...suspects.get(name)?.crashes.keys() ?? []].filter((crash) =>
      !explained.has(crash) && !cleared?.has(crash)
    );
  }

  const keyOf = ({ crash, request }: CrashReport) => `${crash}\n${request}`;

  function addTo(name: string, report: CrashReport): void {
    let entry = suspects.get(name);
    if (!entry) {
      suspects.set(name, entry = { reports: new Map(), crashes: new Map() });
    }
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

  /**
   * Finds the fewest causes: the suspect with the most crashes explains those,
   * which then no longer count against the others that were in flight.
   */
  function findCauses(): Set<string> {
    const found = new Set<string>();
    const explained = new Set<string>();
    for (;;) {
      let most = 0;
      let causes: string[] = [];
      for (const [name, { crashes }] of suspects) {
        if (found.has(name) || crashes.size < REQUEST_QUARANTINE_CRASHES) {
          continue;
        }
        const count = openCrashes(name, explained).length;
        if (count < REQUEST_QUARANTINE_CRASHES || count < most) continue;
        if (count > most) causes = [];
        most = count;
        causes.push(name);
      }
      if (causes.length === 0) return found;
      for (const name of causes) {
        found.add(name);
        for (const crash of openCrashes(name)) explained.add(crash);
      }
    }
  }

  return {
    add(report) {
      addTo(report.request, report);
      cached = undefined;
    },
    remove(report) {
      removeFrom(report.request, report);
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
    clearedBy: (request) =>
      openCrashes(request).map((crash) => ({ suspect: request, crash })),
    quarantined: () => cached ??= findCauses(),
    reportsOf: (suspect) => [...suspects.get(suspect)?.reports.values() ?? []],
  };
}
