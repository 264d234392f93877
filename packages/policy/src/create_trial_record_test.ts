import assert from "node:assert/strict";
import { test } from "node:test";
import { partSuspectOf } from "./create_crash_evidence.ts";
import {
  createTrialRecord,
  MAX_PART_TRIALS,
  MAX_REQUEST_TRIALS,
  MAX_TRIAL_MS,
  TRIAL_DELAY_MS,
  TrialStage,
} from "./create_trial_record.ts";

/** A record of trials with its clock, in milliseconds. */
function createTestRecord() {
  let nowMs = 1000;
  const record = createTrialRecord(() => nowMs);
  return { record, advance: (ms: number) => nowMs += ms, now: () => nowMs };
}

for (
  const { suspect, maxTrials } of [
    { suspect: "request", maxTrials: MAX_REQUEST_TRIALS },
    { suspect: partSuspectOf("part"), maxTrials: MAX_PART_TRIALS },
  ]
) {
  test(`trials of ${suspect} follow one another, ever later, and are used up`, () => {
    const { record, advance, now } = createTestRecord();
    for (let trial = 0; trial < maxTrials; trial++) {
      const crashedMs = now();
      const waitMs = TRIAL_DELAY_MS * 2 ** trial;
      const stageOf = () => record.progressOf(suspect, crashedMs).stage;
      assert.deepEqual(record.progressOf(suspect, crashedMs), {
        stage: TrialStage.Pending,
        waitMs,
      });
      advance(waitMs);
      assert.equal(stageOf(), TrialStage.Due);
      const claim = { suspect, token: `token ${trial}` };
      record.onClaimed(claim);
      assert.equal(stageOf(), TrialStage.Pending);
      record.onFailed(claim);
    }
    advance(MAX_TRIAL_MS * 10);
    assert.equal(record.progressOf(suspect, 0).stage, TrialStage.UsedUp);
  });
}

test("a harmless trial does not count, in any order of the news", () => {
  const { record, advance } = createTestRecord();
  const claim = { suspect: "a", token: "t" };
  const stageOf = () => record.progressOf("a", 0).stage;
  advance(TRIAL_DELAY_MS);
  record.onClaimed(claim);
  record.onHarmless(claim);
  assert.equal(stageOf(), TrialStage.Due);
  record.onClaimed(claim);
  assert.equal(stageOf(), TrialStage.Due);
});

// Guards against a VM that ends during a trial: the request may have crashed an
// upstream without a report.
test("a trial whose end is not known counts as failed", () => {
  const { record, advance } = createTestRecord();
  record.onClaimed({ suspect: "a", token: "t" });
  advance(MAX_TRIAL_MS);
  assert.equal(record.progressOf("a", 0).stage, TrialStage.UsedUp);
});

// Guards against two VMs that claim a trial at the same time and both send it.
test("of concurrent claims one is the first", () => {
  const { record } = createTestRecord();
  const claims = ["t2", "t1", "t3"].map((token) => ({ suspect: "a", token }));
  for (const claim of claims) record.onClaimed(claim);
  const first = claims.filter((claim) => record.isFirst(claim));
  assert.deepEqual(first, [{ suspect: "a", token: "t1" }]);
  record.onHarmless(first[0]!);
  assert.equal(record.isFirst({ suspect: "a", token: "t2" }), true);
  assert.equal(record.isFirst({ suspect: "b", token: "t1" }), false);
});
