import assert from "node:assert/strict";
import { test } from "node:test";
import { createPaceEstimate } from "./create_pace_estimate.ts";

/** Pause of an engine that slows down with its batch and while it prefills. */
function pauseOf(calls: number, prefillShare: number): number {
  return 25 + 2 * calls + 90 * prefillShare;
}

test("streams beside long prompts: the pace follows batch and prefill", () => {
  const pace = createPaceEstimate();
  for (let number = 0; number < 400; number++) {
    const load = { calls: number * 7 % 40, prefillShare: number % 3 ? 0 : 1 };
    pace.observe(load, pauseOf(load.calls, load.prefillShare));
  }
  for (const [calls, prefillShare] of [[5, 0], [30, 0], [10, 1]] as const) {
    const predictedMs = pace.predictMs({ calls, prefillShare });
    const expectedMs = pauseOf(calls, prefillShare);
    assert.ok(Math.abs(predictedMs - expectedMs) < 5, String(predictedMs));
  }
});

test("a constant load and long silences leave the estimate finite", () => {
  const pace = createPaceEstimate();
  for (let number = 0; number < 20_000; number++) {
    pace.observe({ calls: 8, prefillShare: 0 }, number % 500 ? 40 : 60_000);
  }
  const predictedMs = pace.predictMs({ calls: 8, prefillShare: 0 });
  assert.ok(predictedMs > 30 && predictedMs < 60, String(predictedMs));
  assert.ok(Number.isFinite(pace.predictMs({ calls: 60, prefillShare: 1 })));
});
