import type { SharedFacts } from "@rosemarytiller/peers";
import {
  type CrashReport,
  createCrashEvidence,
  partSuspectOf,
  QUARANTINE_MS,
  SUSPECT_MS,
} from "@rosemarytiller/policy";
import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { FactHandler } from "./create_router_facts.ts";
import { FactKind, LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Keeps requests from upstreams that they would crash. */
export interface Containment {
  /** Throws a `TillerError` if the request is taken for a cause of crashes. */
  check(request: ContainedRequest): void;
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
  factHandlers: Record<FactKind.Crash | FactKind.Cleared, FactHandler>;
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

  return {
    check({ id, fingerprints, parts }) {
      update();
      if (quarantined.size === 0) return;
      const suspect = [...fingerprints, ...parts.map(partSuspectOf)]
        .find((name) => quarantined.has(name));
      if (suspect === undefined) return;
      const crashes = crashesOf(suspect);
      log.warn(LogEvent.Quarantined, { id, suspect, crashes });
      throw new TillerError(
        ErrorKind.Quarantined,
        fingerprints.includes(suspect)
          ? "upstreams crashed while this request was in progress"
          : "upstreams crashed under requests with a part of this prompt",
      );
    },
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
      [FactKind.Crash]: {
        onAdded: (values) => evidence.add(reportOf(values)),
        onRemoved: (values) => evidence.remove(reportOf(values)),
      },
      [FactKind.Cleared]: {
        onAdded: ([suspect = "", crash = ""]) =>
          evidence.clear({ suspect, crash }),
        onRemoved: ([suspect = "", crash = ""]) =>
          evidence.unclear({ suspect, crash }),
      },
    },
    update,
  };
}
