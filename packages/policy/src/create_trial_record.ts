import { isPartSuspect } from "./create_crash_evidence.ts";

/** Claim of a VM to send one request with a quarantined suspect. */
export interface TrialClaim {
  /** Name of a request or part, as in `CrashClearing`. */
  suspect: string;
  /** Distinguishes claims; of concurrent ones the smallest counts. */
  token: string;
}

/** Whether a request with a quarantined suspect may be sent. */
export enum TrialStage {
  /** A trial may begin. */
  Due = "due",
  /** A trial is in progress, or the next one is not due yet. */
  Pending = "pending",
  /** No further trial follows before the quarantine ends. */
  UsedUp = "used-up",
}

/** Stage of a suspect's trials. */
export interface TrialProgress {
  stage: TrialStage;
  /** Time until the stage may change, in milliseconds; 0 if none is known. */
  waitMs: number;
}

/** The trials of quarantined suspects, as claimed by all VMs. */
export interface TrialRecord {
  /** A claim became known. */
  onClaimed(claim: TrialClaim): void;
  /** The claimed trial has ended and certainly crashed no upstream. */
  onHarmless(claim: TrialClaim): void;
  /** The claimed trial has ended without an answer. */
  onFailed(claim: TrialClaim): void;
  /** Forgets a claim. */
  remove(claim: TrialClaim): void;
  /** Trials of a suspect whose last crash became known at `crashedMs`. */
  progressOf(suspect: string, crashedMs: number): TrialProgress;
  /** Whether the claim is the only one in progress, or the first of these. */
  isFirst(claim: TrialClaim): boolean;
}

/**
 * Trials of a request that may crash upstreams: with the two crashes of its
 * quarantine, and two more in a part of the fleet that was cut off or had not
 * learned of them, it crashes five at most.
 */
export const MAX_REQUEST_TRIALS = 1;
/** The same of a part, with three crashes each: eight at most. */
export const MAX_PART_TRIALS = 2;
/**
 * Time from a suspect's last crash to its first trial, in milliseconds, doubled
 * for each further one: upstreams that fail for another reason, one after the
 * other, should be past that.
 */
export const TRIAL_DELAY_MS = 3000;
/** Time after which a trial whose end is not known has failed, in ms. */
export const MAX_TRIAL_MS = 30_000;
/** Time after which a trial in progress is looked at again, in ms. */
const TRIAL_POLL_MS = 500;

interface KnownClaim {
  claimedMs: number;
  hasEnded: boolean;
}

/** Creates the record without any claim; `now` is in milliseconds. */
export function createTrialRecord(now: () => number): TrialRecord {
  /** Claims by suspect and token, without those that ended harmlessly. */
  const claims = new Map<string, Map<string, KnownClaim>>();
  /** Claims that ended harmlessly, whose end may be known before them. */
  const harmless = new Set<string>();

  const keyOf = ({ suspect, token }: TrialClaim) => `${token} ${suspect}`;

  function claimsOf(suspect: string): ReadonlyMap<string, KnownClaim> {
    return claims.get(suspect) ?? new Map();
  }

  function put({ suspect, token }: TrialClaim, hasEnded: boolean): void {
    if (harmless.has(keyOf({ suspect, token }))) return;
    let known = claims.get(suspect);
    if (!known) claims.set(suspect, known = new Map());
    const claim = known.get(token);
    if (!claim) known.set(token, { claimedMs: now(), hasEnded });
    else claim.hasEnded ||= hasEnded;
  }

  function drop({ suspect, token }: TrialClaim): void {
    const known = claims.get(suspect);
    known?.delete(token);
    if (known?.size === 0) claims.delete(suspect);
  }

  function isInProgress({ claimedMs, hasEnded }: KnownClaim): boolean {
    return !hasEnded && now() < claimedMs + MAX_TRIAL_MS;
  }

  return {
    onClaimed: (claim) => put(claim, false),
    onFailed: (claim) => put(claim, true),
    onHarmless(claim) {
      harmless.add(keyOf(claim));
      drop(claim);
    },
    remove(claim) {
      harmless.delete(keyOf(claim));
      drop(claim);
    },
    progressOf(suspect, crashedMs) {
      let failures = 0;
      for (const claim of claimsOf(suspect).values()) {
        if (isInProgress(claim)) {
          return { stage: TrialStage.Pending, waitMs: TRIAL_POLL_MS };
        }
        failures++;
      }
      const most = isPartSuspect(suspect)
        ? MAX_PART_TRIALS
        : MAX_REQUEST_TRIALS;
      if (failures >= most) return { stage: TrialStage.UsedUp, waitMs: 0 };
      const waitMs = crashedMs + TRIAL_DELAY_MS * 2 ** failures - now();
      return waitMs > 0
        ? { stage: TrialStage.Pending, waitMs }
        : { stage: TrialStage.Due, waitMs: 0 };
    },
    isFirst({ suspect, token }) {
      const own = claimsOf(suspect).get(token);
      if (!own || !isInProgress(own)) return false;
      for (const [other, claim] of claimsOf(suspect)) {
        if (other < token && isInProgress(claim)) return false;
      }
      return true;
    },
  };
}
