import fc from "fast-check";
import {
  type ClaimHistory,
  type ClaimStep,
  ClaimStepKind,
} from "./run_claim_history.ts";

/** Sorts of history that a run draws. */
export enum ClaimProfile {
  /** Any mix of steps over a poor network. */
  Any = "any",
  /** VMs restart and lists change again and again beside few claims. */
  Churn = "churn",
}

/** How often each kind of step comes up. */
const WEIGHTS: Record<ClaimProfile, Record<ClaimStepKind, number>> = {
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

interface Network {
  loss: number[];
  delayMs: number[];
  horizonMs: number[];
  maxSteps: number;
}

const NETWORKS: Record<ClaimProfile, Network> = {
  [ClaimProfile.Any]: {
    loss: [0, 0.02, 0.2],
    delayMs: [10, 300, 3000],
    horizonMs: [15_000, 60_000],
    maxSteps: 30,
  },
  [ClaimProfile.Churn]: {
    loss: [0, 0.05],
    delayMs: [10, 200],
    horizonMs: [200_000],
    maxSteps: 60,
  },
};

function claimSteps(profile: ClaimProfile): fc.Arbitrary<ClaimStep> {
  const kinds = Object.entries(WEIGHTS[profile]).map(([kind, weight]) => ({
    arbitrary: fc.constant(kind as ClaimStepKind),
    weight,
  }));
  return fc.record({
    kind: fc.oneof(...kinds),
    place: fc.nat({ max: 8 }),
    amount: fc.nat({ max: 999 }),
  });
}

/** Histories of a profile. */
export function claimHistories(
  profile: ClaimProfile,
): fc.Arbitrary<ClaimHistory> {
  const { loss, delayMs, horizonMs, maxSteps } = NETWORKS[profile];
  return fc.record({
    steps: fc.array(claimSteps(profile), {
      minLength: 2,
      maxLength: maxSteps,
      size: "max",
    }),
    seed: fc.nat(),
    vms: fc.integer({ min: 1, max: 9 }),
    loss: fc.constantFrom(...loss),
    delayMs: fc.constantFrom(...delayMs),
    horizonMs: fc.constantFrom(...horizonMs),
  });
}
