import fc from "fast-check";
import {
  type ClaimHistory,
  type ClaimStep,
  ClaimStepKind,
} from "./run_claim_history.ts";

/** Kinds of random history. */
export enum ClaimProfile {
  /** All kinds of step over an unreliable network. */
  Any = "any",
  /**
   * Long histories of restarts and list changes with fewer claims, more waits,
   * no pauses and a long horizon.
   */
  Churn = "churn",
}

/** Relative frequency of each kind of step. */
const STEP_WEIGHTS: Record<ClaimProfile, Record<ClaimStepKind, number>> = {
  [ClaimProfile.Any]: {
    [ClaimStepKind.Claim]: 3,
    [ClaimStepKind.Restart]: 1,
    [ClaimStepKind.Pause]: 1,
    [ClaimStepKind.ChangeList]: 1,
    [ClaimStepKind.Wait]: 1,
  },
  [ClaimProfile.Churn]: {
    [ClaimStepKind.Claim]: 4,
    [ClaimStepKind.Restart]: 2,
    [ClaimStepKind.Pause]: 0,
    [ClaimStepKind.ChangeList]: 3,
    [ClaimStepKind.Wait]: 6,
  },
};

/** Values that a history's fields are chosen from. */
interface HistoryValues {
  lossRates: number[];
  maxDelaysMs: number[];
  horizonsMs: number[];
  maxSteps: number;
}

const HISTORY_VALUES: Record<ClaimProfile, HistoryValues> = {
  [ClaimProfile.Any]: {
    lossRates: [0, 0.02, 0.2],
    maxDelaysMs: [10, 300, 3000],
    horizonsMs: [15_000, 60_000],
    maxSteps: 30,
  },
  [ClaimProfile.Churn]: {
    lossRates: [0, 0.05],
    maxDelaysMs: [10, 200],
    horizonsMs: [200_000],
    maxSteps: 60,
  },
};

function arbitraryClaimStep(profile: ClaimProfile): fc.Arbitrary<ClaimStep> {
  const kinds = Object.entries(STEP_WEIGHTS[profile]).map(([kind, weight]) => ({
    arbitrary: fc.constant(kind as ClaimStepKind),
    weight,
  }));
  return fc.record({
    kind: fc.oneof(...kinds),
    vmIndex: fc.nat({ max: 8 }),
    value: fc.nat({ max: 999 }),
  });
}

/** Creates the fast-check arbitrary of a profile's histories. */
export function arbitraryClaimHistory(
  profile: ClaimProfile,
): fc.Arbitrary<ClaimHistory> {
  const { lossRates, maxDelaysMs, horizonsMs, maxSteps } =
    HISTORY_VALUES[profile];
  return fc.record({
    steps: fc.array(arbitraryClaimStep(profile), {
      minLength: 2,
      maxLength: maxSteps,
      size: "max",
    }),
    seed: fc.nat(),
    vms: fc.integer({ min: 1, max: 9 }),
    lossRate: fc.constantFrom(...lossRates),
    maxDelayMs: fc.constantFrom(...maxDelaysMs),
    horizonMs: fc.constantFrom(...horizonsMs),
  });
}
