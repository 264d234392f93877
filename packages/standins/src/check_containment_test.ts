import assert from "node:assert/strict";
import { test } from "node:test";
import { checkContainment, CrashCause } from "./check_containment.ts";

/** Runs of a cause that arrive at these times and crash 20 ms later. */
function runsAt(cause: CrashCause, times: readonly number[]) {
  return times.map((arrivedMs) => ({
    cause,
    arrivedMs,
    crashedMs: arrivedMs + 20,
  }));
}

test("a request that is sent on after it was known is reported", () => {
  const early = [0, 100, 200, 3000, 3100];
  const late = [3300, 3400, 3500, 3600];
  const check = (times: number[]) =>
    checkContainment(runsAt(CrashCause.Request, times));
  assert.deepEqual(check([...early, ...late.slice(1)]), []);
  assert.deepEqual(check([...early, ...late]), [
    "request: 4 runs after it was known, 9 in all",
  ]);
});

test("a part is known after five crashes", () => {
  const times = [0, 100, 200, 3300, 3400, 3500, 3600, 3700, 3800];
  assert.deepEqual(checkContainment(runsAt(CrashCause.Part, times)), []);
  const later = [6500, 6600, 6700, 6800];
  assert.equal(
    checkContainment(runsAt(CrashCause.Part, [...times, ...later])).length,
    1,
  );
});

test("what is known is lost while no router runs, and only then", () => {
  const early = [0, 100, 200, 3300, 3400];
  const late = [3500, 3600, 3700, 3800, 7000, 7100];
  const runs = runsAt(CrashCause.Request, [...early, ...late]);
  assert.deepEqual(checkContainment(runs, [3250]), []);
  assert.equal(checkContainment(runs, [8000]).length, 1);
});
