import assert from "node:assert/strict";
import { test } from "node:test";
import { createRunClock } from "./create_run_clock.ts";

/** Creates a run clock of two processes whose time and waits are set. */
function createSetClock() {
  const state = { nowMs: 1000, waitsMs: new Map([[1, 50], [2, 0]]) };
  const read = createRunClock({
    now: () => state.nowMs,
    processes: () => state.waitsMs.keys(),
    readWaitMs: (pid) => state.waitsMs.get(pid)!,
  });
  return { state, read };
}

test("a run clock counts all time in which no process waits for a core", () => {
  const { state, read } = createSetClock();
  state.nowMs += 4000;
  assert.equal(read(), 4000);
});

test("a run clock leaves out the longest wait of its processes", () => {
  const { state, read } = createSetClock();
  state.nowMs += 100;
  state.waitsMs.set(1, 50 + 30);
  state.waitsMs.set(2, 70);
  assert.equal(read(), 30);
  state.nowMs += 100;
  assert.equal(read(), 130);
});

test("a run clock leaves out a wait that was reported after its end", () => {
  const { state, read } = createSetClock();
  state.nowMs += 20;
  state.waitsMs.set(2, 50);
  assert.equal(read(), 0);
  state.nowMs += 20;
  assert.equal(read(), 0);
  state.nowMs += 20;
  assert.equal(read(), 10);
});

test("a run clock does not count what a process waited before", () => {
  const { state, read } = createSetClock();
  state.waitsMs.set(3, 5000);
  state.nowMs += 100;
  assert.equal(read(), 100);
});
