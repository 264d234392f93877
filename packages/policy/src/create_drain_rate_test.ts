import assert from "node:assert/strict";
import { test } from "node:test";
import { createDrainRate } from "./create_drain_rate.ts";

const POSITION = {
  tier: 1,
  ahead: 3,
  aheadInClass: 3,
  floorShare: 0,
  endRate: (callMs: number) => 4 / callMs,
};

test("the first call that ends replaces the assumed duration of calls", () => {
  const drainRate = createDrainRate();
  drainRate.setQueueing(true, 0);
  drainRate.onCallEnded(400);
  // With four calls of 400 ms, three requests ahead take about 300 ms.
  const expectedMs = drainRate.predictMs(POSITION, 350);
  assert.ok(expectedMs < 500, `${expectedMs} ms`);
});

test("one long call among short ones less than doubles the expected wait", () => {
  const drainRate = createDrainRate();
  drainRate.setQueueing(true, 0);
  drainRate.onCallEnded(400);
  const before = drainRate.predictMs(POSITION, 350);
  drainRate.onCallEnded(4000);
  assert.ok(drainRate.predictMs(POSITION, 350) < before * 2);
});

// Guards against a wait and a retry time of NaN.
test("without a measurement, the expected wait is 0 with and without a floor", () => {
  for (const floorShare of [0, 0.05]) {
    const unmeasured = createDrainRate();
    assert.equal(unmeasured.predictMs({ ...POSITION, floorShare }, 0), 0);
    const idle = createDrainRate();
    idle.setQueueing(true, 0);
    idle.setQueueing(false, 1000);
    // By then, the measured time has decayed to less than 1e-308 ms.
    assert.equal(idle.predictMs({ ...POSITION, floorShare }, 2_180_000), 0);
    const immediate = createDrainRate();
    immediate.onCallEnded(0);
    const position = { ...POSITION, floorShare, outstanding: 0 };
    assert.equal(immediate.predictMs(position, 0), 0);
  }
});
