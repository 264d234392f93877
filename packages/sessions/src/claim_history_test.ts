import fc from "fast-check";
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import {
  ClaimStepKind,
  findDoubleRun,
  runClaimHistory,
} from "./run_claim_history.ts";

const seed = Number(process.env.SEED ?? 20261203);
const numRuns = Number(process.env.RUNS ?? 150);

const step = fc.record({
  kind: fc.constantFrom(
    ...Object.values(ClaimStepKind),
    ClaimStepKind.Claim,
    ClaimStepKind.Claim,
  ),
  place: fc.nat({ max: 8 }),
  amount: fc.nat({ max: 999 }),
});

const history = fc.record({
  steps: fc.array(step, { minLength: 2, maxLength: 30, size: "max" }),
  seed: fc.nat(),
  vms: fc.integer({ min: 1, max: 9 }),
  loss: fc.constantFrom(0, 0.02, 0.2),
  delayMs: fc.constantFrom(10, 300, 3000),
  horizonMs: fc.constantFrom(15_000, 60_000),
});

test(`a key runs at most once over any history, seed ${seed}`, async (t) => {
  let ran = 0;
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(history, async (one) => {
      const result = await runClaimHistory(one);
      ran += result.runs.length;
      refused += result.refused;
      assert.equal(findDoubleRun(result.runs, one.horizonMs), undefined);
    }),
    { seed, numRuns, includeErrorInReport: true, endOnFailure: numRuns > 150 },
  );
  t.diagnostic(`${ran} claims ran, ${refused} were refused`);
  assert.ok(ran > numRuns / 4, `only ${ran} claims ran`);
});
