import assert from "node:assert/strict";
import { test } from "node:test";
import { createDrainRate } from "./create_drain_rate.ts";

const QUESTION = {
  tier: 1,
  ahead: 3,
  aheadInClass: 3,
  floorShare: 0,
  outstanding: 4,
};

test("the first call that ends replaces the assumed duration of calls", () => {
  const drain = createDrainRate();
  drain.setQueueing(true, 0);
  drain.onCallEnded(400);
  // With four calls of 400 ms, three requests ahead take about 300 ms.
  const expectedMs = drain.predictMs(QUESTION, 350);
  assert.ok(expectedMs < 500, `${expectedMs} ms`);
});

test("one long call among short ones hardly changes the expected wait", () => {
  const drain = createDrainRate();
  drain.setQueueing(true, 0);
  drain.onCallEnded(400);
  const before = drain.predictMs(QUESTION, 350);
  drain.onCallEnded(4000);
  assert.ok(drain.predictMs(QUESTION, 350) < before * 2);
});
