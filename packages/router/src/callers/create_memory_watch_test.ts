import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMemoryWatch } from "./create_memory_watch.ts";

function createTestWatch() {
  const clock = createFakeClock(10_000);
  const state = { usedBytes: 0, isCrowded: false, collections: 0 };
  const watch = createMemoryWatch({
    clock,
    memoryBytes: 100,
    residentBytes: () => state.usedBytes,
    isCrowded: () => state.isCrowded,
    collect: () => void state.collections++,
  });
  return { clock, state, watch };
}

test("garbage is freed when memory is tight, at intervals", () => {
  const { clock, state, watch } = createTestWatch();
  state.usedBytes = 80;
  watch.check();
  assert.equal(state.collections, 0);
  state.usedBytes = 81;
  watch.check();
  watch.check();
  assert.equal(watch.isTight(), true);
  assert.equal(state.collections, 1);
  clock.advance(200);
  watch.check();
  assert.equal(state.collections, 2);
});

test("the garbage of refused callers is freed earlier", () => {
  const { state, watch } = createTestWatch();
  state.usedBytes = 61;
  state.isCrowded = true;
  watch.check();
  assert.equal(state.collections, 1);
  assert.equal(watch.isTight(), false);
});
