import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createEngineModel,
  type EngineModel,
  type PromptPart,
} from "./create_engine_model.ts";

const SPEED = { tokensPerMs: 50, baseMs: 80, pauseMs: 0 };
/** Start of a call without parts. */
const AT_START = { nowMs: 0, parts: [] };
const SIZE = { slots: 16, memoryTokens: 10_000 };

/** Lets an engine prefill parts in a call that ends at once. */
function cacheParts(model: EngineModel, parts: readonly PromptPart[]): void {
  const work = { urgency: 0, newTokens: 0, memoryTokens: 0, maxPauseMs: 800 };
  model.start("caching", work, { nowMs: 0, parts });
  model.onFirstEvent("caching", 0);
  model.end("caching", 0);
}

function createWork(newTokens: number, urgency = 1) {
  return { urgency, newTokens, memoryTokens: newTokens, maxPauseMs: 200 };
}

test("prompts are prefilled over time, the more urgent first", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("loose", createWork(1000, 2), AT_START);
  model.start("urgent", createWork(1000, 0), AT_START);
  assert.equal(model.queuedPrefillTokens(2, 0), 2000);
  assert.equal(model.queuedPrefillTokens(0, 10), 500);
  assert.equal(model.queuedPrefillTokens(2, 30), 500);
  assert.equal(model.queuedPrefillTokens(2, 100), 0);
});

test("a first event ends the prefill of its prompt", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("a", createWork(5000), AT_START);
  model.onFirstEvent("a", 1);
  assert.equal(model.queuedPrefillTokens(9, 1), 0);
  assert.equal(model.callCount(), 1);
});

test("calls that their owner no longer lists are removed", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("vm-a:1", createWork(100), AT_START);
  model.start("vm-a:2", createWork(100), AT_START);
  model.start("vm-b:1", createWork(100), AT_START);
  model.reconcile("vm-a:", new Set(["vm-a:2"]));
  assert.equal(model.callCount(), 2);
  assert.equal(model.memoryTokens(), 200);
});

test("a part counts as cached only if all parts before it are cached", () => {
  const model = createEngineModel(SIZE, SPEED);
  const first = { id: "a", tokens: 400 };
  const second = { id: "b", tokens: 300 };
  cacheParts(model, [second]);
  assert.equal(model.cachedTokens([first, second]), 0);
  cacheParts(model, [first]);
  assert.equal(model.cachedTokens([first, second]), 700);
});

test("the least recently used parts are evicted", () => {
  const model = createEngineModel(SIZE, SPEED);
  for (const id of ["a", "b", "a", "c"]) {
    cacheParts(model, [{ id, tokens: 4000 }]);
  }
  assert.equal(model.cachedTokens([{ id: "b", tokens: 4000 }]), 0);
  assert.equal(model.cachedTokens([{ id: "a", tokens: 4000 }]), 4000);
});

test("memory of running calls reduces the capacity of the cache", () => {
  const model = createEngineModel(SIZE, SPEED);
  cacheParts(model, [{ id: "a", tokens: 4000 }]);
  model.start("big", createWork(8000), AT_START);
  cacheParts(model, [{ id: "b", tokens: 100 }]);
  assert.equal(model.cachedTokens([{ id: "a", tokens: 4000 }]), 0);
});

test("a part that is still prefilled is cached for later calls there only", () => {
  const model = createEngineModel(SIZE, SPEED);
  const parts = [{ id: "a", tokens: 4000 }];
  model.start("first", createWork(4000), { nowMs: 0, parts });
  assert.equal(model.cachedTokens(parts), 4000);
  assert.equal(model.fetchableTokens(parts), 0);
  model.onFirstEvent("first", 100);
  assert.equal(model.fetchableTokens(parts), 4000);
});

test("a call that ends before its first event leaves no part in the cache", () => {
  const model = createEngineModel(SIZE, SPEED);
  const parts = [{ id: "a", tokens: 4000 }];
  model.start("first", createWork(4000), { nowMs: 0, parts });
  model.end("first", 10);
  assert.equal(model.cachedTokens(parts), 0);
});

test("burst of long prompts: late first events lower the engine's speed", () => {
  const model = createEngineModel(SIZE, SPEED);
  for (let call = 0; call < 4; call++) {
    model.start(`c${call}`, createWork(5000), AT_START);
  }
  // Half as fast as alone.
  for (let call = 0; call < 4; call++) {
    model.onFirstEvent(`c${call}`, 80 + 200 * (call + 1));
  }
  const speed = model.tokensPerMs(880);
  assert.ok(speed > 20 && speed < 40, String(speed));
  assert.ok(model.tokensPerMs(60_000) > 49);
});

test("burst of long prompts: prompts behind an overdue one still queue", () => {
  const model = createEngineModel(SIZE, SPEED);
  model.start("first", createWork(5000), AT_START);
  model.start("second", createWork(10_000), AT_START);
  assert.equal(model.queuedPrefillTokens(9, 100), 10_000);
  // The first prompt's event is due at 180 ms.
  assert.ok(model.queuedPrefillTokens(9, 200) >= 5000);
  const overdueTokens = model.queuedPrefillTokens(9, 400);
  assert.equal(model.queuedPrefillTokens(9, 500), overdueTokens);
});
