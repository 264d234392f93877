import type { PeerNetwork, SharedFacts } from "@rosemarytiller/peers";
import {
  type CrashReport,
  createCrashEvidence,
  partSuspectOf,
  QUARANTINE_MS,
  SUSPECT_MS,
} from "@rosemarytiller/policy";
import type { Clock, TillerError } from "@rosemarytiller/shared";
import {
  createQuarantineTrials,
  type QuarantineTrial,
} from "./create_quarantine_trials.ts";
import type { FactHandler } from "./create_router_facts.ts";
import { FactKind, LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Keeps requests from upstreams that they would crash. */
export interface Containment {
  /**
   * Resolves with undefined if the request may be sent, and with a trial if it
   * is quarantined and may be sent once; throws a `TillerError` otherwise.
   */
  admit(request: ContainedRequest): Promise<QuarantineTrial | undefined>;
  /** Throws a `TillerError` if the request is taken for a cause of crashes. */
  check(request: ContainedRequest): void;
  /** Whether `check` throws nothing; logs nothing. */
  isAllowed(request: ContainedRequest): boolean;
  /**
   * A call of the request was in flight when an upstream crashed. `earlier` has
   * the crashes that were known when the call was sent.
   */
  onCrash(
    crash: string,
    request: ContainedRequest,
    earlier?: readonly string[],
  ): void;
  /** Known crashes of the request or of parts of its prompt, not all of many. */
  crashesOf(request: ContainedRequest): string[];
  /** An upstream answered the request completely and without an error. */
  onAnswer(request: ContainedRequest): void;
  /**
   * An upstream sends events of the request long after the first one: no part of
   * its prompt crashes every upstream that begins to run it.
   */
  onProgress(request: ContainedRequest): void;
  /** Handlers of the facts about crashes. */
  factHandlers: Record<Exclude<FactKind, FactKind.Leaving>, FactHandler>;
  /** Logs what changed, and keeps the reports about new causes for longer. */
  update(): void;
}

/** What identifies a request that comes again. */
export interface ContainedRequest {
  id: string;
  /** Hashes of the request; any of them identifies it. */
  fingerprints: readonly string[];
  /** Parts of its prompt that other requests may share, in their order. */
  parts: readonly string[];
}

/** Dependencies of the containment. */
export interface ContainmentOptions {
  clock: Clock;
  log: EventLog;
  facts: Pick<SharedFacts, "add" | "prolong">;
  network: Pick<PeerNetwork, "isWhole" | "knownVmCount">;
  /** Whether all VMs start for the first time, without earlier crashes. */
  isFirstStart: boolean;
}

/** Longer than the reports of crashes, also if these are prolonged. */
const CLEARING_MS = SUSPECT_MS + 2 * QUARANTINE_MS;

/**
 * Time after a complete answer for which this VM does not suspect the parts of
 * its prompt, in milliseconds.
 */
const ANSWERED_MS = 10_000;
/** Parts whose answers are remembered; the oldest are forgotten first. */
const MAX_ANSWERED_PARTS = 5000;
/** Parts reported of a prompt; of more, those that prompts share most are left out. */
const MAX_REPORTED_PARTS = 32;
/** Earlier crashes reported with a crash. */
const MAX_EARLIER_CRASHES = 16;
/**
 * First character of the value of a report that lists the earlier crashes, and
 * their separator; neither identifiers nor parts have line breaks.
 */
const EARLIER_MARK = "\n";

/** Creates the containment without any crash. */
export function createContainment(options: ContainmentOptions): Containment {
  const { clock, log, facts } = options;
  const evidence = createCrashEvidence();
  const trials = createQuarantineTrials(options);
  /** Times of the last complete answers on this VM, by prompt part. */
  const answeredMs = new Map<string, number>();
  let quarantined: ReadonlySet<string> = new Set();

  function crashesOf(suspect: string): string[] {
    return evidence.reportsOf(suspect).map(({ crash }) => crash);
  }

  function factOf(report: CrashReport): string[] {
    const { crash, requests, parts = [], earlier } = report;
    const marked = earlier ? [EARLIER_MARK + earlier.join(EARLIER_MARK)] : [];
    return [FactKind.Crash, crash, requests.join(), ...marked, ...parts];
  }

  function reportOf(
    [crash = "", requests = "", ...rest]: string[],
  ): CrashReport {
    // Reports of earlier versions have no such value.
    const marked = rest[0]?.startsWith(EARLIER_MARK) ? rest[0] : undefined;
    return {
      crash,
      requests: requests.split(","),
      parts: marked === undefined ? rest : rest.slice(1),
      earlier: marked?.split(EARLIER_MARK).filter((name) => name !== ""),
    };
  }

  /** Parts without a recent complete answer on this VM. */
  function suspectParts(parts: readonly string[]): string[] {
    const sinceMs = clock.now() - ANSWERED_MS;
    return parts.filter((part) => (answeredMs.get(part) ?? -Infinity) < sinceMs)
      .slice(-MAX_REPORTED_PARTS);
  }

  function noteAnswered(parts: readonly string[]): void {
    for (const part of parts) {
      // Keeps the parts in the order of their answers, for eviction.
      answeredMs.delete(part);
      answeredMs.set(part, clock.now());
    }
    for (const oldest of answeredMs.keys()) {
      if (answeredMs.size <= MAX_ANSWERED_PARTS) break;
      answeredMs.delete(oldest);
    }
  }

  /** Publishes which crashes the suspects did not cause. */
  function clear(suspects: Omit<ContainedRequest, "id">): void {
    const clearings = evidence.clearedBy(suspects);
    if (clearings.length === 0) return;
    for (const { suspect, crash } of clearings) {
      facts.add([FactKind.Cleared, suspect, crash], CLEARING_MS);
    }
    update();
  }

  /** See `Containment.update`. */
  function update(): void {
    const before = quarantined;
    quarantined = evidence.quarantined();
    if (quarantined === before) return;
    trials.setQuarantined(quarantined);
    for (const suspect of quarantined) {
      if (before.has(suspect)) continue;
      for (const report of evidence.reportsOf(suspect)) {
        facts.prolong(factOf(report), QUARANTINE_MS);
      }
      const crashes = crashesOf(suspect);
      log.warn(LogEvent.QuarantineStarted, { suspect, crashes });
    }
    for (const suspect of before) {
      if (quarantined.has(suspect)) continue;
      log.info(LogEvent.QuarantineEnded, { suspect });
    }
  }

  /** Names of the request and its parts that are quarantined. */
  function quarantinedOf({ fingerprints, parts }: ContainedRequest): string[] {
    update();
    if (quarantined.size === 0) return [];
    return [...fingerprints, ...parts.map(partSuspectOf)]
      .filter((name) => quarantined.has(name));
  }

  function refuse(
    { id, fingerprints }: ContainedRequest,
    suspects: readonly string[],
  ): TillerError {
    const suspect = suspects[0]!;
    const crashes = crashesOf(suspect);
    log.warn(LogEvent.Quarantined, { id, suspect, crashes });
    return trials.refusalOf(
      suspects,
      fingerprints.includes(suspect)
        ? "upstreams crashed while this request was in progress"
        : "upstreams crashed under requests with a part of this prompt",
    );
  }

  return {
    async admit(request) {
      const suspects = quarantinedOf(request);
      if (suspects.length === 0) return undefined;
      const trial = await trials.claim(request.id, suspects);
      if (trial) return trial;
      if (quarantinedOf(request).length === 0) return undefined;
      throw refuse(request, suspects);
    },
    check(request) {
      const suspects = quarantinedOf(request);
      if (suspects.length > 0) throw refuse(request, suspects);
    },
    isAllowed: (request) => quarantinedOf(request).length === 0,
    crashesOf: (request) => evidence.crashesOf(request, MAX_EARLIER_CRASHES),
    onCrash(crash, { fingerprints, parts }, earlier) {
      const report = {
        crash,
        requests: fingerprints,
        parts: suspectParts(parts),
        earlier: earlier?.slice(0, MAX_EARLIER_CRASHES),
      };
      facts.add(factOf(report), SUSPECT_MS);
      update();
    },
    onAnswer(request) {
      noteAnswered(request.parts);
      clear(request);
    },
    onProgress({ parts }) {
      noteAnswered(parts);
      clear({ fingerprints: [], parts });
    },
    factHandlers: {
      ...trials.factHandlers,
      [FactKind.Crash]: {
        onAdded(values) {
          const report = reportOf(values);
          evidence.add(report);
          for (const name of report.requests) trials.onCrash(name);
          for (const part of report.parts ?? []) {
            trials.onCrash(partSuspectOf(part));
          }
        },
        onRemoved: (values) => evidence.remove(reportOf(values)),
      },
      [FactKind.Cleared]: {
        onAdded: ([suspect = "", crash = ""]) =>
          evidence.clear({ suspect, crash }),
        onRemoved: ([suspect = "", crash = ""]) =>
          evidence.unclear({ suspect, crash }),
      },
    },
    update() {
      update();
      trials.update();
    },
  };
}
