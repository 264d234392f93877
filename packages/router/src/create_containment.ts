import {
  createSharedFacts,
  type PeerNetwork,
  type SharedFact,
  type SharedFacts,
} from "@rosemarytiller/peers";
import {
  createCrashEvidence,
  QUARANTINE_MS,
  SUSPECT_MS,
} from "@rosemarytiller/policy";
import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Keeps requests from upstreams that they would crash. */
export interface Containment {
  /** Throws a `TillerError` if the request is taken for a cause of crashes. */
  check(request: ContainedRequest): void;
  /** A call of the request was in flight when an upstream crashed. */
  onCrash(crash: string, request: ContainedRequest): void;
  /** An upstream answered the request completely and without an error. */
  onAnswer(request: ContainedRequest): void;
  /** What the VMs know about crashes; all of them are to know the same. */
  facts: Pick<SharedFacts, "merge" | "digest" | "list" | "droppedCount">;
  /** Forgets what has expired. */
  expire(): void;
}

/** What identifies a request that comes again. */
export interface ContainedRequest {
  id: string;
  /** Hashes of the request; any of them identifies it. */
  fingerprints: readonly string[];
}

/** Dependencies of the containment. */
export interface ContainmentOptions {
  clock: Clock;
  log: EventLog;
  network: Pick<PeerNetwork, "publishFact">;
}

/** Kinds of shared fact; the first value of each fact. */
enum FactKind {
  /** Followed by the crash and the request in flight. */
  Crash = "crash",
  /** Followed by a suspect and the crash that it did not cause. */
  Cleared = "cleared",
}

/** Longer than the reports of crashes, also if these are prolonged. */
const CLEARING_MS = SUSPECT_MS + 2 * QUARANTINE_MS;

/** Creates the containment without any crash. */
export function createContainment(options: ContainmentOptions): Containment {
  const { clock, log, network } = options;
  const evidence = createCrashEvidence();
  let quarantined: ReadonlySet<string> = new Set();

  const handlers: Record<
    FactKind,
    (values: string[], isAdded: boolean) => void
  > = {
    [FactKind.Crash]([crash = "", request = ""], isAdded) {
      if (isAdded) evidence.add({ crash, request });
      else evidence.remove({ crash, request });
    },
    [FactKind.Cleared]([suspect = "", crash = ""], isAdded) {
      if (isAdded) evidence.clear({ suspect, crash });
      else evidence.unclear({ suspect, crash });
    },
  };

  function apply([kind, ...values]: string[], isAdded: boolean): void {
    handlers[kind as FactKind]?.(values, isAdded);
  }

  const facts = createSharedFacts({
    now: clock.now,
    publish: network.publishFact,
    onAdded: (values) => apply(values, true),
    onRemoved: (values) => apply(values, false),
  });

  function crashesOf(suspect: string): string[] {
    return evidence.reportsOf(suspect).map(({ crash }) => crash);
  }

  /** Logs changes, and keeps the reports about new causes for longer. */
  function update(): void {
    const before = quarantined;
    quarantined = evidence.quarantined();
    if (quarantined === before) return;
    for (const suspect of quarantined) {
      if (before.has(suspect)) continue;
      for (const { crash, request } of evidence.reportsOf(suspect)) {
        facts.prolong([FactKind.Crash, crash, request], QUARANTINE_MS);
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
    check({ id, fingerprints }) {
      const suspect = fingerprints.find((name) => quarantined.has(name));
      if (suspect === undefined) return;
      const crashes = crashesOf(suspect);
      log.warn(LogEvent.Quarantined, { id, suspect, crashes });
      throw new TillerError(
        ErrorKind.Quarantined,
        "upstreams crashed while this request was in progress",
      );
    },
    onCrash(crash, { fingerprints }) {
      for (const fingerprint of fingerprints) {
        facts.add([FactKind.Crash, crash, fingerprint], SUSPECT_MS);
      }
      update();
    },
    onAnswer({ fingerprints }) {
      const clearings = fingerprints.flatMap(evidence.clearedBy);
      if (clearings.length === 0) return;
      for (const { suspect, crash } of clearings) {
        facts.add([FactKind.Cleared, suspect, crash], CLEARING_MS);
      }
      update();
    },
    facts: {
      digest: facts.digest,
      list: facts.list,
      droppedCount: facts.droppedCount,
      merge(received: readonly SharedFact[]) {
        facts.merge(received);
        update();
      },
    },
    expire() {
      facts.expire();
      update();
    },
  };
}
