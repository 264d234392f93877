import assert from "node:assert/strict";
import { test } from "node:test";
import {
  CallRank,
  chooseEngine,
  type EngineRequest,
  rankTarget,
  urgencyOf,
} from "./choose_engine.ts";
import {
  createEngineModel,
  type EngineModel,
  type PromptPart,
} from "./create_engine_model.ts";

const SPEED = { tokensPerMs: 50, baseMs: 80, pauseMs: 0 };
/** Time to fetch a token, a tenth of its prefill time, in milliseconds. */
const FETCH_MS_PER_TOKEN = 0.002;
const SIZE = { slots: 16, memoryTokens: 300_000 };

function createEngines(count: number) {
  return Array.from({ length: count }, () => ({
    model: createEngineModel(SIZE, SPEED),
    size: SIZE,
    remoteCostMs: 0,
    failureShare: 0,
    fetchableTokens: 0,
  }));
}

function createRequest(
  rank: CallRank,
  promptTokens: number,
  parts = "own",
): EngineRequest {
  return {
    rank,
    urgency: urgencyOf(1, rank),
    promptTokens,
    outputTokens: 50,
    maxPauseMs: 800,
    parts: [{ id: parts, tokens: promptTokens }],
  };
}

function start(
  model: EngineModel,
  key: string,
  options: { tokens: number; rank?: CallRank; maxPauseMs?: number },
) {
  const { tokens, rank = CallRank.Loose, maxPauseMs = 800 } = options;
  model.start(key, {
    urgency: urgencyOf(1, rank),
    newTokens: tokens,
    memoryTokens: tokens,
    maxPauseMs,
  }, { nowMs: 0, parts: [] });
}

/** Lets an engine prefill parts in a call that ends at once. */
function cacheParts(model: EngineModel, parts: readonly PromptPart[]): void {
  const work = { urgency: 0, newTokens: 0, memoryTokens: 0, maxPauseMs: 800 };
  model.start("caching", work, { nowMs: 0, parts });
  model.onFirstEvent("caching", 0);
  model.end("caching", 0);
}

test("a target is ranked relative to the tightest one of its service", () => {
  assert.equal(rankTarget(300, 300), CallRank.Tight);
  assert.equal(rankTarget(400, 300), CallRank.Middle);
  assert.equal(rankTarget(1200, 300), CallRank.Loose);
});

test("urgency depends on the tier before the rank", () => {
  assert.ok(
    urgencyOf(0, CallRank.Loose) < urgencyOf(1, CallRank.Tight),
  );
});

test("a long prompt avoids engines with latency-sensitive streams", () => {
  const engines = createEngines(2);
  for (let call = 0; call < 6; call++) {
    const options = { tokens: 0, rank: CallRank.Tight, maxPauseMs: 200 };
    start(engines[0]!.model, `stream-${call}`, options);
  }
  const choice = chooseEngine(createRequest(CallRank.Loose, 8000), engines, {
    speed: SPEED,
    fetchMsPerToken: Infinity,
    nowMs: 0,
  });
  assert.equal(choice?.candidate, engines[1]);
});

test("queued prefill: a tight call goes to the engine without any", () => {
  const engines = createEngines(3);
  start(engines[0]!.model, "a", { tokens: 9000 });
  start(engines[1]!.model, "b", { tokens: 9000 });
  const choice = chooseEngine(createRequest(CallRank.Tight, 500), engines, {
    speed: SPEED,
    fetchMsPerToken: Infinity,
    nowMs: 0,
  });
  assert.equal(choice?.candidate, engines[2]);
  assert.equal(choice?.shouldQueue, false);
});

test("queued prefill: loose calls should queue outside, tight ones not", () => {
  const engines = createEngines(1);
  start(engines[0]!.model, "a", { tokens: 9000 });
  const options = { speed: SPEED, fetchMsPerToken: Infinity, nowMs: 0 };
  const loose = chooseEngine(
    createRequest(CallRank.Loose, 5000),
    engines,
    options,
  );
  const tight = chooseEngine(
    createRequest(CallRank.Tight, 500),
    engines,
    options,
  );
  assert.equal(loose?.shouldQueue, true);
  assert.equal(tight?.shouldQueue, false);
});

test("cached prompt: its engine is chosen despite a queue", () => {
  const engines = createEngines(2);
  cacheParts(engines[0]!.model, [{ id: "session", tokens: 6000 }]);
  start(engines[0]!.model, "a", { tokens: 4500 });
  const request = createRequest(CallRank.Loose, 6000, "session");
  const choice = chooseEngine(request, engines, {
    speed: SPEED,
    fetchMsPerToken: Infinity,
    nowMs: 0,
  });
  assert.equal(choice?.candidate, engines[0]);
  assert.equal(choice?.uncachedTokens, 0);
});

test("cached prompt: another engine is used when queueing exceeds prefill", () => {
  const engines = createEngines(2);
  cacheParts(engines[0]!.model, [{ id: "session", tokens: 3000 }]);
  start(engines[0]!.model, "a", { tokens: 30_000 });
  const request = createRequest(CallRank.Loose, 3000, "session");
  const choice = chooseEngine(request, engines, {
    speed: SPEED,
    fetchMsPerToken: Infinity,
    nowMs: 0,
  });
  assert.equal(choice?.candidate, engines[1]);
});

test("an engine that fails part of its calls is avoided", () => {
  const engines = createEngines(2);
  engines[0]!.failureShare = 0.4;
  const choice = chooseEngine(createRequest(CallRank.Tight, 500), engines, {
    speed: SPEED,
    fetchMsPerToken: Infinity,
    nowMs: 0,
  });
  assert.equal(choice?.candidate, engines[1]);
});

test("no engine is chosen while the slots of each are taken", () => {
  const engines = createEngines(1);
  for (let call = 0; call < SIZE.slots; call++) {
    start(engines[0]!.model, `call-${call}`, { tokens: 0 });
  }
  const choice = chooseEngine(createRequest(CallRank.Tight, 500), engines, {
    speed: SPEED,
    fetchMsPerToken: Infinity,
    nowMs: 0,
  });
  assert.equal(choice, undefined);
});

test("memory nearly full: loose calls should queue outside, tight ones not", () => {
  const engines = createEngines(1);
  for (let call = 0; call < 3; call++) {
    start(engines[0]!.model, `call-${call}`, { tokens: 90_000 });
    engines[0]!.model.onFirstEvent(`call-${call}`, 0);
  }
  const options = { speed: SPEED, fetchMsPerToken: Infinity, nowMs: 0 };
  const loose = chooseEngine(
    createRequest(CallRank.Loose, 9000),
    engines,
    options,
  );
  const tight = chooseEngine(
    createRequest(CallRank.Tight, 500),
    engines,
    options,
  );
  assert.equal(loose?.shouldQueue, true);
  assert.equal(tight?.shouldQueue, false);
});

test("burst of long shared prompts: an idle engine fetches what a busy one caches", () => {
  const [busy, idle] = createEngines(2);
  const request = {
    ...createRequest(CallRank.Loose, 17_000),
    parts: [{ id: "shared", tokens: 13_300 }, { id: "own", tokens: 3_700 }],
  };
  cacheParts(busy!.model, [request.parts[0]!]);
  start(busy!.model, "a", { tokens: 10_000 });
  const engines = [busy!, idle!].map((engine) => ({
    ...engine,
    fetchableTokens: 13_300,
  }));
  const choice = chooseEngine(request, engines, {
    speed: SPEED,
    fetchMsPerToken: FETCH_MS_PER_TOKEN,
    nowMs: 0,
  })!;
  assert.equal(choice.candidate.model, idle!.model);
  assert.equal(choice.fetchedTokens, 13_300);
  assert.equal(choice.uncachedTokens, 3_700);
  assert.equal(choice.predictedMs, 80 + 13_300 * FETCH_MS_PER_TOKEN + 74);
});

test("shared prompts at rest: the engine that caches one needs no fetch", () => {
  const [caching, other] = createEngines(2);
  const request = createRequest(CallRank.Loose, 13_300, "shared");
  cacheParts(caching!.model, request.parts);
  const engines = [other!, caching!].map((engine) => ({
    ...engine,
    fetchableTokens: 13_300,
  }));
  const choice = chooseEngine(request, engines, {
    speed: SPEED,
    fetchMsPerToken: FETCH_MS_PER_TOKEN,
    nowMs: 0,
  })!;
  assert.equal(choice.candidate.model, caching!.model);
  assert.equal(choice.fetchedTokens, 0);
});

test("a fetch that takes longer than half of the prefill is not worth it", () => {
  const [engine] = createEngines(1);
  const request = createRequest(CallRank.Loose, 1000);
  const choice = chooseEngine(
    request,
    [{ ...engine!, fetchableTokens: 1000 }],
    { speed: SPEED, fetchMsPerToken: 0.011, nowMs: 0 },
  )!;
  assert.equal(choice.fetchedTokens, 0);
  assert.equal(choice.uncachedTokens, 1000);
});

test("long prompts beside short-paced streams: both get engines of their own", () => {
  const speed = { ...SPEED, pauseMs: 160 };
  const engines = createEngines(2);
  const [streaming, prefilling] = engines;
  for (let call = 0; call < 4; call++) {
    const stream = { tokens: 0, rank: CallRank.Tight, maxPauseMs: 150 };
    start(streaming!.model, `stream-${call}`, stream);
  }
  start(prefilling!.model, "long", { tokens: 20_000 });
  const options = { speed, fetchMsPerToken: Infinity, nowMs: 0 };
  const long = createRequest(CallRank.Loose, 15_000);
  assert.equal(
    chooseEngine(long, engines, options)!.candidate,
    prefilling,
  );
  const stream = { ...createRequest(CallRank.Tight, 600), maxPauseMs: 150 };
  assert.equal(chooseEngine(stream, engines, options)!.candidate, streaming);
});

test("streams whose pauses no prefill prolongs do not repel long prompts", () => {
  const speed = { ...SPEED, pauseMs: 60 };
  const engines = createEngines(2);
  for (let call = 0; call < 4; call++) {
    const stream = { tokens: 0, rank: CallRank.Loose, maxPauseMs: 800 };
    start(engines[0]!.model, `stream-${call}`, stream);
  }
  start(engines[1]!.model, "long", { tokens: 20_000 });
  const options = { speed, fetchMsPerToken: Infinity, nowMs: 0 };
  const long = createRequest(CallRank.Loose, 15_000);
  assert.equal(chooseEngine(long, engines, options)!.candidate, engines[0]);
});
