import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  createAdmission,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_JITTER,
} from "./create_admission.ts";
import { createRequestQueue } from "./create_request_queue.ts";
import { RETRY_BURST, RETRY_SHARE } from "./create_retry_budget.ts";
import type { QueuedRequest } from "./queued_request.ts";

const SEED = Number(process.env.SEED ?? 20_261_203);

function createPoolModel() {
  const generator = xoroshiro128plus(SEED);
  const queue = createRequestQueue();
  const random = () => uniformFloat64(generator);
  const admission = createAdmission({
    queue,
    random,
    running: {
      endRate: (callMs, atMs) =>
        runningCalls / Math.max(callMs, atMs - startedMs),
    },
  });
  let nowMs = 0;
  let nextId = 0;
  let canGrant = true;
  let runningCalls = 0;
  let startedMs = 0;
  const counts: Record<string, { arrived: number; refused: number }> = {};
  const waits: Record<string, number[]> = {};
  function arrive(
    fields: Partial<QueuedRequest> & { className: string },
    options: {
      queueMs?: number;
      isRetry?: boolean;
      hasFreeCapacity?: boolean;
    } = {},
  ): boolean {
    const { queueMs = 1000, isRetry = false, hasFreeCapacity = false } =
      options;
    const request: QueuedRequest = {
      id: `request-${nextId++}`,
      tier: 1,
      client: "client",
      clientWeight: 1,
      floorShare: 0.05,
      deadlineMs: nowMs + queueMs,
      arrivedMs: nowMs,
      avoid: [],
      prefix: "",
      promptTokens: 1,
      fingerprint: "",
      ...fields,
    };
    const count = counts[request.className] ??= { arrived: 0, refused: 0 };
    count.arrived++;
    const refusal = admission.refuseOnArrival(request, {
      isRetry,
      hasFreeCapacity,
      nowMs,
    });
    if (refusal) count.refused++;
    else if (!hasFreeCapacity) queue.add(request);
    admission.onQueueChanged(nowMs, { canGrant });
    return !refusal;
  }
  function grant(): void {
    admission.onGranted(nowMs);
    const taken = queue.takeNext(() => true);
    if (taken) {
      (waits[taken.className] ??= []).push(nowMs - taken.arrivedMs);
    }
    admission.onQueueChanged(nowMs, { canGrant });
  }
  function expire(): number {
    const count = queue.takeExpired(nowMs).length;
    admission.onQueueChanged(nowMs, { canGrant });
    return count;
  }
  return {
    admission,
    arrive,
    grant,
    expire,
    counts,
    waits,
    random,
    at: (ms: number) => void (nowMs = ms),
    startCalls(count: number): void {
      runningCalls = count;
      startedMs = nowMs;
    },
    setCanGrant: (next: boolean) => void (canGrant = next),
    now: () => nowMs,
  };
}

test("excess requests are refused on arrival, not after a wait", () => {
  const model = createPoolModel();
  let expired = 0;
  for (let ms = 0; ms < 20_000; ms += 5) {
    model.at(ms);
    expired += model.expire();
    if (ms % 30 === 0) model.arrive({ className: "high" });
    model.arrive({ className: "low", tier: 2 });
    if (ms % 15 === 0) model.grant();
  }
  const { high, low } = model.counts;
  assert.equal(high.refused, 0);
  const share = expired / (expired + low.refused);
  assert.ok(share < 0.1, `${expired} expired, ${low.refused} refused at once`);
  assert.ok(model.waits.low.length >= 20_000 / 30 * 0.9, "lower tier served");
});

test("a class gets at least its floor while a higher tier is overloaded", () => {
  const model = createPoolModel();
  for (let ms = 0; ms < 20_000; ms += 5) {
    model.at(ms);
    model.expire();
    model.arrive({ className: "high" });
    if (ms % 100 === 0) model.arrive({ className: "low", tier: 4 });
    if (ms % 15 === 0) model.grant();
  }
  const grants = model.waits.high.length + model.waits.low.length;
  assert.ok(model.waits.low.length >= Math.floor(grants * 0.05) - 2);
});

test("nothing is refused before a rate has been measured", () => {
  const model = createPoolModel();
  for (let index = 0; index < 100; index++) {
    assert.ok(model.arrive({ className: "high" }));
  }
});

test("waiting while a leader may not grant is not measured", () => {
  const model = createPoolModel();
  model.setCanGrant(false);
  for (let ms = 0; ms < 1000; ms += 3) {
    model.at(ms);
    assert.ok(model.arrive({ className: "high" }), `refused after ${ms} ms`);
  }
});

test("no request is refused before calls that started together can end", () => {
  const model = createPoolModel();
  for (let call = 0; call < 50; call++) model.admission.onCallEnded(400);
  model.startCalls(8);
  // 12 are queued behind 8 calls of 400 ms: the last would start within 600 ms.
  for (let ms = 0; ms < 400; ms += 33) {
    model.at(ms);
    assert.ok(model.arrive({ className: "high" }), `refused after ${ms} ms`);
  }
});

// Guards against refusals while the calls of a second round run: the grants of
// the first one were taken for all that the pool can do in both.
test("no request is refused because calls start and end together", () => {
  const model = createPoolModel();
  for (let call = 0; call < 50; call++) model.admission.onCallEnded(600);
  for (let ms = 0; ms < 1200; ms += 60) {
    model.at(ms);
    if (ms % 600 === 0) {
      model.startCalls(8);
      for (let call = 0; call < 8; call++) model.grant();
    }
    // Of at most 12 queued, 8 start within 600 ms and 4 within 1200 ms.
    assert.ok(model.arrive({ className: "high" }), `refused after ${ms} ms`);
  }
});

test("requests are refused by the measured rate once calls stop ending", () => {
  const model = createPoolModel();
  for (let call = 0; call < 50; call++) model.admission.onCallEnded(400);
  model.startCalls(8);
  let refused = 0;
  for (let ms = 0; ms < 3000; ms += 33) {
    model.at(ms);
    model.expire();
    if (!model.arrive({ className: "high" }) && ms > 1000) refused++;
  }
  assert.ok(refused > 30, `${refused} refused at once`);
});

test("a pool without grants keeps one request queued as a probe", () => {
  const model = createPoolModel();
  let admitted = 0;
  for (let ms = 0; ms < 30_000; ms += 100) {
    model.at(ms);
    model.expire();
    if (model.arrive({ className: "high" }) && ms >= 10_000) admitted++;
  }
  assert.ok(admitted >= 20_000 / 1000 - 1, `${admitted} admitted`);
  assert.ok(admitted <= 20_000 / 1000 + 1, `${admitted} admitted`);
});

test("retries are a bounded share of first attempts", () => {
  const model = createPoolModel();
  let retries = 0;
  for (let index = 0; index < 2000; index++) {
    model.arrive({ className: "a" }, { hasFreeCapacity: true });
    const options = { hasFreeCapacity: true, isRetry: true };
    if (model.arrive({ className: "b" }, options)) retries++;
  }
  assert.ok(retries <= 2000 * RETRY_SHARE + RETRY_BURST, `${retries} retries`);
  assert.ok(retries >= 2000 * RETRY_SHARE);
});

test(`the retry time follows the drain rate (seed ${SEED})`, () => {
  const model = createPoolModel();
  const times = new Set<number>();
  for (let ms = 0; ms < 5000; ms += 5) {
    model.at(ms);
    model.arrive({ className: "high" }, { queueMs: 60_000 });
    if (ms % 20 === 0) model.grant();
    const query = { tier: 1, className: "high", floorShare: 0.05 };
    const waitMs = model.admission.waitMs(query, ms);
    const retryAfterMs = model.admission.retryAfterMs(query, ms);
    const least = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const bounded = Math.min(MAX_RETRY_AFTER_MS, least);
    const spread = Math.abs(retryAfterMs / bounded - 1);
    assert.ok(spread <= RETRY_AFTER_JITTER + 0.001, `${spread}`);
    times.add(retryAfterMs);
  }
  assert.ok(times.size > 100, "the times have jitter");
});

test("a slow first token shortens the useful wait", () => {
  const { admission } = createPoolModel();
  const options = { queueMs: 1000, targetMs: 400 };
  assert.equal(admission.usefulWaitMs("a", options), 1000);
  admission.onFirstToken("a", 700);
  assert.equal(admission.usefulWaitMs("a", options), 700);
  admission.onFirstToken("a", 90_000);
  assert.equal(admission.usefulWaitMs("a", options), 500);
});
