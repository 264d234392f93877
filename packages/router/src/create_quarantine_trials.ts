import type { PeerNetwork, SharedFacts } from "@rosemarytiller/peers";
import {
  createTrialRecord,
  MAX_TRIAL_MS,
  QUARANTINE_MS,
  TrialStage,
} from "@rosemarytiller/policy";
import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import { randomUUID } from "node:crypto";
import type { FactHandler } from "./create_router_facts.ts";
import { AttemptResult, FactKind, LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/**
 * A request that is sent once although it is quarantined: its answer shows that
 * it is sound.
 */
export interface QuarantineTrial {
  /** Whether the request may be sent now. */
  maySend(): boolean;
  /** The request is about to be written. */
  onSent(): void;
  /** A send of the request ended. */
  onSendEnded(result: AttemptResult): void;
  /** The request has ended; publishes whether it may have crashed an upstream. */
  end(): void;
}

/** Decides, with the other VMs, when a quarantined request is tried. */
export interface QuarantineTrials {
  /** The error with which a request with these suspects is refused. */
  refusalOf(suspects: readonly string[], detail: string): TillerError;
  /**
   * Claims the trial of all suspects of a request, and resolves once other VMs
   * can have claimed it too; undefined if it is not due or another VM has it.
   */
  claim(
    id: string,
    suspects: readonly string[],
  ): Promise<QuarantineTrial | undefined>;
  /** Notes which suspects are quarantined, and that these had a new crash. */
  setQuarantined(suspects: ReadonlySet<string>): void;
  /** A suspect was in flight at a crash. */
  onCrash(suspect: string): void;
  /** Publishes that this VM's facts are complete, once they are. */
  update(): void;
  /** Handlers of the facts about trials. */
  factHandlers: Record<
    FactKind.Trial | FactKind.TrialEnded | FactKind.Complete,
    FactHandler
  >;
}

/** Dependencies of the trials. */
export interface QuarantineTrialsOptions {
  clock: Clock;
  log: EventLog;
  facts: Pick<SharedFacts, "add">;
  network: Pick<PeerNetwork, "isWhole" | "knownVmCount">;
  /** Whether all VMs start for the first time, without earlier crashes. */
  isFirstStart: boolean;
}

/** How a trial ended, as VMs exchange it. */
enum TrialOutcome {
  /** It crashed no upstream: it was answered, or not sent. */
  Harmless = "harmless",
  Failed = "failed",
}

/**
 * Time for which a VM that claims a trial waits for claims of the others, in
 * milliseconds: a message and its batch take less. It grows with the fleet as
 * the delay of batches does.
 */
const CLAIM_SETTLE_MS = 100;
const CLAIM_SETTLE_MS_PER_VM = 1;
/** Lifetime of facts about trials: longer than the quarantine, in ms. */
const TRIAL_FACT_MS = 2 * QUARANTINE_MS + MAX_TRIAL_MS;
/** Retry-after while the VMs are not all in touch, in milliseconds. */
const NOT_WHOLE_RETRY_AFTER_MS = 1000;
/** Retry-after is spread by this time, in ms, so that callers differ. */
const RETRY_JITTER_MS = 250;
/** Results of a send that certainly crashed no upstream. */
const HARMLESS_RESULTS: ReadonlySet<AttemptResult> = new Set([
  AttemptResult.Unsent,
  AttemptResult.Withdrawn,
  AttemptResult.NotRun,
  AttemptResult.Complete,
  AttemptResult.UnstatedRefusal,
]);

/** Creates the trials of a VM that starts now. */
export function createQuarantineTrials(
  options: QuarantineTrialsOptions,
): QuarantineTrials {
  const { clock, log, facts, network, isFirstStart } = options;
  const startedMs = clock.now();
  const record = createTrialRecord(clock.now);
  /** Times at which the last crash of quarantined suspects became known. */
  const crashedMs = new Map<string, number>();
  /** Whether the fleet's facts reach back as far as a quarantine lasts. */
  let isComplete = false;

  function progressOf(suspect: string) {
    return record.progressOf(suspect, crashedMs.get(suspect) ?? clock.now());
  }

  /** Whether this VM knows of all trials and crashes of the fleet. */
  function knowsAll(): boolean {
    return isComplete && network.isWhole();
  }

  function areDue(suspects: readonly string[]): boolean {
    return knowsAll() &&
      suspects.every((suspect) => progressOf(suspect).stage === TrialStage.Due);
  }

  function publishEnd(
    suspect: string,
    token: string,
    outcome: TrialOutcome,
  ): void {
    facts.add([FactKind.TrialEnded, suspect, token, outcome], TRIAL_FACT_MS);
  }

  function createTrial(
    id: string,
    suspects: readonly string[],
    token: string,
  ): QuarantineTrial {
    let mayHaveCrashed = false;
    return {
      maySend: () => !mayHaveCrashed,
      onSent: () => void (mayHaveCrashed = true),
      onSendEnded(result) {
        if (HARMLESS_RESULTS.has(result)) mayHaveCrashed = false;
      },
      end() {
        for (const suspect of suspects) {
          const outcome = mayHaveCrashed && crashedMs.has(suspect)
            ? TrialOutcome.Failed
            : TrialOutcome.Harmless;
          log.info(LogEvent.TrialEnded, { id, suspect, outcome });
          publishEnd(suspect, token, outcome);
        }
      },
    };
  }

  return {
    refusalOf(suspects, detail) {
      let retryAfterMs = knowsAll() ? 0 : NOT_WHOLE_RETRY_AFTER_MS;
      for (const suspect of suspects) {
        const { stage, waitMs } = progressOf(suspect);
        if (stage === TrialStage.UsedUp) {
          return new TillerError(ErrorKind.Quarantined, detail);
        }
        retryAfterMs = Math.max(retryAfterMs, waitMs);
      }
      return new TillerError(ErrorKind.TrialPending, detail, {
        retryAfterMs: retryAfterMs + Math.random() * RETRY_JITTER_MS,
      });
    },
    async claim(id, suspects) {
      if (!areDue(suspects)) return undefined;
      const token = randomUUID();
      for (const suspect of suspects) {
        facts.add([FactKind.Trial, suspect, token], TRIAL_FACT_MS);
      }
      await new Promise<void>((resolve) =>
        clock.after(
          CLAIM_SETTLE_MS + CLAIM_SETTLE_MS_PER_VM * network.knownVmCount(),
          resolve,
        )
      );
      const isOwn = suspects.every((suspect) =>
        record.isFirst({ suspect, token })
      );
      if (isOwn && knowsAll()) {
        log.info(LogEvent.TrialStarted, { id, suspects });
        return createTrial(id, suspects, token);
      }
      for (const suspect of suspects) {
        publishEnd(suspect, token, TrialOutcome.Harmless);
      }
      return undefined;
    },
    setQuarantined(suspects) {
      for (const suspect of crashedMs.keys()) {
        if (!suspects.has(suspect)) crashedMs.delete(suspect);
      }
      for (const suspect of suspects) {
        if (!crashedMs.has(suspect)) crashedMs.set(suspect, clock.now());
      }
    },
    onCrash(suspect) {
      if (crashedMs.has(suspect)) crashedMs.set(suspect, clock.now());
    },
    update() {
      const isOldEnough = clock.now() - startedMs >= QUARANTINE_MS;
      if (!isFirstStart && !isOldEnough) return;
      facts.add([FactKind.Complete], TRIAL_FACT_MS);
    },
    factHandlers: {
      [FactKind.Trial]: {
        onAdded: ([suspect = "", token = ""]) =>
          record.onClaimed({ suspect, token }),
        onRemoved: ([suspect = "", token = ""]) =>
          record.remove({ suspect, token }),
      },
      [FactKind.TrialEnded]: {
        onAdded([suspect = "", token = "", outcome]) {
          const claim = { suspect, token };
          if (outcome === TrialOutcome.Harmless) record.onHarmless(claim);
          else record.onFailed(claim);
        },
        onRemoved: ([suspect = "", token = ""]) =>
          record.remove({ suspect, token }),
      },
      [FactKind.Complete]: {
        onAdded: () => void (isComplete = true),
        onRemoved: () => void (isComplete = false),
      },
    },
  };
}
