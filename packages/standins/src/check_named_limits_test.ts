import assert from "node:assert/strict";
import { test } from "node:test";
import { checkNamedLimits, type NamedLimitRun } from "./check_named_limits.ts";

/** An upstream with a limit of 2 a second that gets calls at an interval. */
function createRun(intervalMs: number): NamedLimitRun {
  const arrivalsMs: number[] = [];
  for (let ms = 0; ms < 10_000; ms += intervalMs) arrivalsMs.push(ms);
  return {
    upstream: "u",
    perSecond: 2,
    namedMs: 1000,
    endedMs: 10_000,
    arrivalsMs,
  };
}

test("calls beyond a named limit are reported", () => {
  assert.deepEqual(checkNamedLimits([createRun(500)]), []);
  assert.deepEqual(checkNamedLimits([createRun(240)]), []);
  assert.deepEqual(checkNamedLimits([createRun(200)]), [
    "u: 18 calls in a window, 17 allowed",
  ]);
});

test("calls before the limit binds, or after its end, are not counted", () => {
  const run = createRun(200);
  assert.deepEqual(checkNamedLimits([{ ...run, endedMs: 3900 }]), []);
  assert.deepEqual(checkNamedLimits([{ ...run, namedMs: undefined }]), []);
});
