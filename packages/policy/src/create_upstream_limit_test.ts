import { CallOutcome } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createUpstreamLimit,
  type LimitBounds,
} from "./create_upstream_limit.ts";
import { PROBE_FIRST_MS, PROBE_MAX_MS } from "./create_probe.ts";

const BOUNDS = { coldConcurrent: 2, maxConcurrent: 16, warmAfterCalls: 10 };

function createModel(bounds: LimitBounds = BOUNDS) {
  let nowMs = 1000;
  let outstanding = 0;
  const limit = createUpstreamLimit(bounds, {
    outstanding: () => outstanding,
  });
  return {
    limit: () => limit.current(nowMs),
    advance: (ms: number) => void (nowMs += ms),
    setOutstanding: (count: number) => void (outstanding = count),
    /** Ends a call that began `totalMs` ago. */
    finish(outcome: CallOutcome, firstTokenMs = 10, totalMs = 50): void {
      nowMs += 51;
      limit.onFinished(
        { outcome, firstTokenMs, totalMs, targetMs: 100 },
        nowMs,
      );
    },
    finishMany(count: number, firstTokenMs?: number): void {
      for (let index = 0; index < count; index++) {
        this.finish(CallOutcome.Complete, firstTokenMs);
      }
    },
    report(running: number, waiting = 0, instance = "1", ageMs = 0): void {
      limit.onReport({ running, waiting, ageMs, instance }, nowMs);
    },
  };
}

test("the limit doubles after the warm-up and after each full window", () => {
  const model = createModel();
  model.finishMany(9);
  assert.equal(model.limit(), 2);
  model.finishMany(1);
  assert.equal(model.limit(), 4);
  model.finishMany(4);
  assert.equal(model.limit(), 8);
  model.finishMany(8);
  assert.equal(model.limit(), 16);
  model.finishMany(100);
  assert.equal(model.limit(), 16);
});

test("incomplete calls do not count towards the warm-up", () => {
  const model = createModel();
  for (let index = 0; index < 50; index++) model.finish(CallOutcome.Cancelled);
  assert.equal(model.limit(), 2);
});

test("a new instance starts with a warm-up", () => {
  const model = createModel();
  model.report(0);
  model.finishMany(100);
  model.report(0, 0, "2");
  assert.equal(model.limit(), 2);
});

test("a crashed upstream is probed with backoff, by one call at a time", () => {
  const model = createModel();
  model.finishMany(100);
  for (let delayMs = PROBE_FIRST_MS, count = 0; count < 8; count++) {
    model.finish(CallOutcome.Crashed);
    assert.equal(model.limit(), 0);
    model.advance(Math.min(delayMs, PROBE_MAX_MS) - 1);
    assert.equal(model.limit(), 0);
    model.advance(1);
    assert.equal(model.limit(), 1);
    delayMs *= 2;
  }
  model.finishMany(1);
  assert.equal(model.limit(), 2);
});

test("all calls that one crash broke count as one failure", () => {
  const model = createModel();
  model.finishMany(100);
  model.finish(CallOutcome.Crashed);
  for (let index = 0; index < 7; index++) {
    model.finish(CallOutcome.Crashed, -1, 5000);
  }
  model.advance(PROBE_FIRST_MS);
  assert.equal(model.limit(), 1);
});

test("an answer to a call before the crash does not end the probing", () => {
  const model = createModel();
  model.finishMany(100);
  model.finish(CallOutcome.Crashed);
  model.finish(CallOutcome.Complete, 10, 5000);
  model.advance(PROBE_FIRST_MS);
  assert.equal(model.limit(), 1);
});

test("a crash in slow start lengthens the next warm-up", () => {
  const model = createModel();
  model.finishMany(10);
  assert.equal(model.limit(), 4);
  model.finish(CallOutcome.Crashed);
  model.advance(PROBE_FIRST_MS);
  model.finishMany(19);
  assert.equal(model.limit(), 2);
  model.finishMany(1);
  assert.equal(model.limit(), 4);
});

test("a broken connection of a running instance is not a crash", () => {
  const model = createModel();
  model.report(0);
  model.finishMany(100);
  model.setOutstanding(8);
  model.finish(CallOutcome.Crashed);
  model.setOutstanding(7);
  model.advance(10);
  model.report(7);
  assert.equal(model.limit(), 8);
});

test("a probe call at a restarted instance does not restore the limit", () => {
  const model = createModel();
  model.report(0);
  model.finishMany(100);
  model.finish(CallOutcome.Crashed);
  model.advance(PROBE_FIRST_MS);
  model.setOutstanding(1);
  model.report(1, 0, "2");
  model.report(1, 0, "2");
  assert.ok(model.limit() <= BOUNDS.coldConcurrent);
});

test("slow answers, refusals and queueing do not end the warm-up early", () => {
  const model = createModel();
  model.finishMany(1);
  model.finish(CallOutcome.Refused);
  model.setOutstanding(6);
  model.report(1, 5);
  for (let count = 0; count < 8; count++) {
    model.finishMany(1, count % 2 ? 90 : 30);
    assert.equal(model.limit(), 2);
  }
});

test("three jumps in a row restart the warm-up, a slow rise lowers the limit", () => {
  const jump = createModel();
  jump.finishMany(100);
  jump.finishMany(2, 500);
  assert.equal(jump.limit(), 16);
  jump.finishMany(1, 500);
  assert.equal(jump.limit(), 2);
  const slow = createModel();
  slow.finishMany(100);
  for (let firstTokenMs = 10; firstTokenMs < 200; firstTokenMs *= 1.1) {
    slow.finishMany(4, firstTokenMs);
  }
  const reduced = slow.limit();
  assert.ok(reduced < 16 && reduced >= 2, `${reduced}`);
  slow.finishMany(16 * 16);
  assert.equal(slow.limit(), 16);
});

test("a report of queued calls lowers the limit once", () => {
  const model = createModel();
  model.setOutstanding(16);
  model.report(0);
  model.finishMany(100);
  model.report(10, 6);
  assert.equal(model.limit(), 10);
  model.report(5, 5, "1", 1000);
  assert.equal(model.limit(), 10, "the report is older than the decrease");
});

test("load from other processes counts at once and decays slowly", () => {
  const model = createModel();
  model.report(0);
  model.finishMany(100);
  model.setOutstanding(4);
  model.report(10);
  assert.equal(model.limit(), 10);
  model.advance(500);
  model.report(4);
  const after = model.limit();
  assert.ok(after > 10 && after < 16, `${after}`);
});

test("the limit of a busy upstream starts at its reported calls", () => {
  const model = createModel();
  model.setOutstanding(12);
  model.report(12);
  assert.equal(model.limit(), 12);
});
