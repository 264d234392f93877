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

test("the first call that ends tells the length of calls", () => {
  const drain = createDrainRate();
  drain.setWaiting(true, 0);
  drain.onCallEnded(400);
  // Four calls of 400 ms: three requests ahead wait for about 300 ms.
  const expectedMs = drain.predictMs(QUESTION, 350);
  assert.ok(expectedMs < 500, `${expectedMs} ms`);
});

test("one long call among short ones changes the expected wait little", () => {
  const drain = createDrainRate();
  drain.setWaiting(true, 0);
  drain.onCallEnded(400);
  const before = drain.predictMs(QUESTION, 350);
  drain.onCallEnded(4000);
  assert.ok(drain.predictMs(QUESTION, 350) < before * 2);
});
