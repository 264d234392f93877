import fc from "fast-check";
import assert from "node:assert/strict";
import { claimHistories, ClaimProfile } from "./claim_histories.ts";
import { findDoubleRun, runClaimHistory } from "./run_claim_history.ts";

/** What a check of claims has gone through. */
export interface ClaimCheck {
  histories: number;
  ran: number;
  refused: number;
}

/** Checks that no key runs twice within a horizon over random histories. */
export async function checkClaims(
  options: { seed: number; histories: number; profile: ClaimProfile },
): Promise<ClaimCheck> {
  const { seed, histories, profile } = options;
  const check: ClaimCheck = { histories: 0, ran: 0, refused: 0 };
  await fc.assert(
    fc.asyncProperty(claimHistories(profile), async (history) => {
      const { runs, refused } = await runClaimHistory(history);
      check.histories++;
      check.ran += runs.length;
      check.refused += refused;
      assert.equal(findDoubleRun(runs, history.horizonMs), undefined);
    }),
    { seed, numRuns: histories, includeErrorInReport: true },
  );
  return check;
}
