import fc from "fast-check";
import assert from "node:assert/strict";
import {
  arbitraryClaimHistory,
  ClaimProfile,
} from "./arbitrary_claim_history.ts";
import { findDuplicateRun, runClaimHistory } from "./run_claim_history.ts";

/** Totals over all histories of a check. */
export interface ClaimCheckTotals {
  histories: number;
  /** Calls that ran under a claim. */
  ran: number;
  /** Claims that were refused. */
  refused: number;
}

/**
 * Checks over random histories that no key runs twice within the horizon.
 * Rejects with the shrunk counterexample and its seed.
 */
export async function checkClaims(
  options: { seed: number; histories: number; profile: ClaimProfile },
): Promise<ClaimCheckTotals> {
  const { seed, histories, profile } = options;
  const totals: ClaimCheckTotals = { histories: 0, ran: 0, refused: 0 };
  await fc.assert(
    fc.asyncProperty(arbitraryClaimHistory(profile), async (history) => {
      const { runs, refused } = await runClaimHistory(history);
      totals.histories++;
      totals.ran += runs.length;
      totals.refused += refused;
      assert.equal(findDuplicateRun(runs, history.horizonMs), undefined);
    }),
    { seed, numRuns: histories, includeErrorInReport: true },
  );
  return totals;
}
