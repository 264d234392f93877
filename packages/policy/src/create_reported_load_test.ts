import assert from "node:assert/strict";
import { test } from "node:test";
import { createEngineModel } from "./create_engine_model.ts";
import { createReportedLoad } from "./create_reported_load.ts";

const NO_LOAD = { queuedTokens: 0, calls: 0, memoryTokens: 0 };
const SPEED = { tokensPerMs: 10, baseMs: 0, pauseMs: 100 };

test("reported prefill stays until the next report", () => {
  const reported = createReportedLoad();
  const load = { queuedTokens: 5000, calls: 3, memoryTokens: 9000 };
  reported.onReport(load, { own: NO_LOAD, nowMs: 1000 });
  assert.deepEqual(reported.current(1900), load);
  reported.onReport(NO_LOAD, { own: NO_LOAD, nowMs: 1900 });
  assert.deepEqual(reported.current(1900), NO_LOAD);
});

test("a report that is too old says nothing", () => {
  const reported = createReportedLoad();
  assert.equal(reported.ageMs(0), Infinity);
  const load = { queuedTokens: 50_000, calls: 3, memoryTokens: 9000 };
  reported.onReport(load, { own: NO_LOAD, nowMs: 1000 });
  assert.deepEqual(reported.current(2001), NO_LOAD);
});

test("own calls are not counted once more by a report of them", () => {
  const model = createEngineModel({ slots: 8, memoryTokens: 100_000 }, SPEED);
  const work = {
    urgency: 1,
    newTokens: 1000,
    memoryTokens: 1500,
    maxPauseMs: 200,
  };
  model.start("own:1", work, { nowMs: 0, parts: [] });
  const others = { queuedTokens: 2000, calls: 2, memoryTokens: 3500 };
  model.onReport(others, 0);
  assert.equal(model.callCount(), 2);
  assert.equal(model.queuedPrefillTokens(Infinity, 0), 2000);
  model.start("own:2", work, { nowMs: 0, parts: [] });
  assert.equal(model.callCount(), 3);
  assert.equal(model.queuedPrefillTokens(Infinity, 0), 3000);
});
