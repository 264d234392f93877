import assert from "node:assert/strict";
import { test } from "node:test";
import { createEngineModel } from "./create_engine_model.ts";

const SPEED = { tokensPerMs: 50, baseMs: 80 };
const SIZE = { slots: 16, memoryTokens: 10_000 };

function createWork(newTokens: number, urgency = 1) {
  return { urgency, newTokens, memoryTokens: newTokens, maxPauseMs: 200 };
}

test("prompts are prefilled over time, the more urgent first", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("loose", createWork(1000, 2), 0);
  model.start("urgent", createWork(1000, 0), 0);
  assert.equal(model.queuedPrefillTokens(2, 0), 2000);
  assert.equal(model.queuedPrefillTokens(0, 10), 500);
  assert.equal(model.queuedPrefillTokens(2, 30), 500);
  assert.equal(model.queuedPrefillTokens(2, 100), 0);
});

test("a first event ends the prefill of its prompt", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("a", createWork(5000), 0);
  model.onFirstEvent("a", 1);
  assert.equal(model.queuedPrefillTokens(9, 1), 0);
  assert.equal(model.callCount(), 1);
});

test("calls that their owner no longer lists are removed", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("vm-a:1", createWork(100), 0);
  model.start("vm-a:2", createWork(100), 0);
  model.start("vm-b:1", createWork(100), 0);
  model.reconcile("vm-a:", new Set(["vm-a:2"]));
  assert.equal(model.callCount(), 2);
  assert.equal(model.memoryTokens(), 200);
});

test("a part counts as cached only if all parts before it are cached", () => {
  const model = createEngineModel(SIZE, SPEED);
  const first = { id: "a", tokens: 400 };
  const second = { id: "b", tokens: 300 };
  model.addToCache([second]);
  assert.equal(model.cachedTokens([first, second]), 0);
  model.addToCache([first]);
  assert.equal(model.cachedTokens([first, second]), 700);
});

test("the least recently used parts are evicted", () => {
  const model = createEngineModel(SIZE, SPEED);
  for (const id of ["a", "b", "a", "c"]) {
    model.addToCache([{ id, tokens: 4000 }]);
  }
  assert.equal(model.cachedTokens([{ id: "b", tokens: 4000 }]), 0);
  assert.equal(model.cachedTokens([{ id: "a", tokens: 4000 }]), 4000);
});

test("memory of running calls reduces the capacity of the cache", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.addToCache([{ id: "a", tokens: 4000 }]);
  model.start("big", createWork(8000), 0);
  model.addToCache([{ id: "b", tokens: 100 }]);
  assert.equal(model.cachedTokens([{ id: "a", tokens: 4000 }]), 0);
});
