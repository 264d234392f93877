import {
  createUpstreamLimit,
  type LimitBounds,
  type LoadReport,
} from "@rosemarytiller/policy";
import { CallOutcome } from "@rosemarytiller/shared";
import {
  createStandInEngine,
  type EngineOptions,
  type StandInEngine,
} from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createRunClock } from "./create_run_clock.ts";
import { waitUntil } from "./start_fleet.ts";

/** First-token target of the calls. */
const TARGET_MS = 100;
const TOKENS = 4;

/**
 * Calls a stand-in engine over HTTP with as many concurrent calls as an
 * upstream limit allows, at most `demand.calls`. Polls the engine's load
 * reports every 50 ms. Times are on a run clock, so that waits of this process
 * for a core do not look like a slow engine.
 */
async function startEngineLoad(
  t: TestContext,
  options: EngineOptions & LimitBounds,
) {
  const now = createRunClock();
  const engine = await createStandInEngine({ ...options, now });
  const demand = { calls: Infinity };
  let outstanding = 0;
  let failed = 0;
  let startTimesMs: number[] = [];
  const limit = createUpstreamLimit(options, {
    outstanding: () => outstanding,
  });

  async function call(): Promise<void> {
    outstanding++;
    startTimesMs.push(now());
    const startedMs = now();
    let firstTokenMs = -1;
    let outcome = CallOutcome.Complete;
    try {
      const response = await fetch(`${engine.url}/v1/chat/completions`, {
        method: "POST",
        body: JSON.stringify({
          messages: [],
          max_tokens: TOKENS,
          stream: true,
        }),
      });
      for await (const _chunk of response.body!) {
        if (firstTokenMs < 0) firstTokenMs = now() - startedMs;
      }
    } catch {
      failed++;
      outcome = CallOutcome.Crashed;
    }
    const totalMs = now() - startedMs;
    const targetMs = TARGET_MS;
    limit.onFinished({ outcome, firstTokenMs, totalMs, targetMs }, now());
    outstanding--;
  }

  async function poll(): Promise<void> {
    const requestedMs = now();
    const response = await fetch(`${engine.url}/load`);
    const report = await response.json() as LoadReport;
    const ageMs = report.ageMs + now() - requestedMs;
    limit.onReport({ ...report, ageMs }, now());
  }

  const timers = [
    setInterval(() => {
      const allowed = Math.min(limit.current(now()), demand.calls);
      while (outstanding < allowed) void call();
    }, 2),
    setInterval(() => void poll().catch(() => {}), 50),
  ];
  t.after(async () => {
    for (const timer of timers) clearInterval(timer);
    await engine.close();
  });
  return {
    engine,
    demand,
    now,
    failed: () => failed,
    outstanding: () => outstanding,
    limit: () => limit.current(now()),
    startsSince(sinceMs: number): number {
      startTimesMs = startTimesMs.filter((startMs) => startMs >= sinceMs);
      return startTimesMs.length;
    },
  };
}

const ENGINE = {
  capacity: 16,
  warmUpCapacity: 2,
  warmUpCalls: 8,
  coldConcurrent: 2,
  maxConcurrent: 16,
  warmAfterCalls: 8,
  firstTokenMs: 5,
  tokenMs: 1,
};

async function waitCompleted(
  engine: StandInEngine,
  more: number,
): Promise<void> {
  const target = engine.counts.completed + more;
  await waitUntil(
    () => engine.counts.completed >= target,
    `${more} more answers are complete`,
  );
}

async function waitFull(engine: StandInEngine): Promise<void> {
  await waitUntil(
    () => engine.counts.peak === ENGINE.capacity,
    "the engine has reached its capacity",
  );
}

/**
 * Waits until the limit has dropped after a crash and the calls already sent,
 * which can't be recalled, have ended. Resets the engine's peak counts; returns
 * the number of crashes so far.
 */
async function waitCrashHandled(
  load: Awaited<ReturnType<typeof startEngineLoad>>,
): Promise<number> {
  await waitUntil(
    () => load.limit() <= 1,
    "the limit has dropped after the crash",
  );
  load.demand.calls = 0;
  await waitUntil(() => load.outstanding() === 0, "the open calls have ended");
  load.demand.calls = Infinity;
  const { counts } = load.engine;
  counts.peak = 0;
  counts.warmUpPeak = 0;
  return counts.crashes;
}

for (const reportLagMs of [0, 500]) {
  test(`a cold engine is warmed up within its cold and warm capacity, reports ${reportLagMs} ms late`, async (t) => {
    const load = await startEngineLoad(t, { ...ENGINE, reportLagMs });
    await waitFull(load.engine);
    const { counts } = load.engine;
    assert.equal(counts.crashes, 0);
    assert.ok(counts.warmUpPeak <= ENGINE.warmUpCapacity);
    assert.ok(counts.peak <= ENGINE.capacity);
  });

  test(`a crashed engine is warmed up again within its cold capacity, reports ${reportLagMs} ms late`, async (t) => {
    const load = await startEngineLoad(t, { ...ENGINE, reportLagMs });
    const { counts } = load.engine;
    await waitFull(load.engine);
    load.engine.crash();
    const crashes = await waitCrashHandled(load);
    await waitFull(load.engine);
    assert.equal(counts.crashes, crashes);
    assert.ok(counts.warmUpPeak <= ENGINE.warmUpCapacity);
  });
}

/**
 * Completed calls after which the recent first-token time, against which the
 * limit measures a rise, is that of a low load.
 */
const LOW_LOAD_CALLS = 30;

test("a cold start without a new instance ID is detected by the first-token time", async (t) => {
  const load = await startEngineLoad(t, {
    ...ENGINE,
    warmUpCalls: 20,
    warmAfterCalls: 20,
  });
  const { counts } = load.engine;
  await waitFull(load.engine);
  load.demand.calls = 2;
  await waitUntil(() => load.outstanding() <= 2, "the load decreased");
  // A sudden rise of the first-token time is measured against the latest calls,
  // so those under full load must no longer count.
  await waitCompleted(load.engine, LOW_LOAD_CALLS);
  load.engine.restartWarmUp();
  load.engine.setOptions({ firstTokenMs: 120 });
  counts.peak = 0;
  await waitUntil(
    () => load.limit() === 2,
    "the limit is that of a cold engine",
  );
  load.demand.calls = Infinity;
  await waitCompleted(load.engine, 20);
  load.engine.setOptions({ firstTokenMs: 5 });
  await waitFull(load.engine);
  assert.equal(counts.crashes, 0);
});

test("an engine that turns cold and crashes under full load is warmed up again", async (t) => {
  const load = await startEngineLoad(t, {
    ...ENGINE,
    warmUpCalls: 24,
    warmAfterCalls: 24,
  });
  const { counts } = load.engine;
  await waitFull(load.engine);
  load.engine.restartWarmUp();
  await waitUntil(() => counts.crashes > 0, "the engine crashed");
  const crashes = await waitCrashHandled(load);
  await waitFull(load.engine);
  assert.equal(counts.crashes, crashes);
  assert.ok(counts.warmUpPeak <= ENGINE.warmUpCapacity);
});

test("a limit above the engine's capacity is lowered by load reports", async (t) => {
  const load = await startEngineLoad(t, {
    ...ENGINE,
    capacity: 6,
    warmUpCalls: 0,
    maxConcurrent: 64,
  });
  await waitUntil(() => load.outstanding() > 6, "the engine has a queue");
  await waitUntil(() => load.limit() <= 6 + 1, "the limit was lowered");
  await waitCompleted(load.engine, 50);
  const waiting = load.outstanding() - load.engine.running();
  assert.ok(waiting <= 6, `${waiting} calls are queued in the engine`);
});

test("an engine that crashes repeatedly gets few calls after its first crash", async (t) => {
  const load = await startEngineLoad(t, ENGINE);
  const { engine } = load;
  await waitFull(engine);
  const failedBefore = load.failed();
  for (let crash = 1; crash <= 4; crash++) {
    engine.crash();
    const sinceMs = load.now();
    const target = load.failed();
    await waitUntil(
      () => load.failed() > target || load.startsSince(sinceMs) > 0,
      "the next call has started or failed",
    );
  }
  // The first crash fails the calls of a full engine, each later one at most
  // one probe call. The bound allows `warmUpCapacity` calls for each of those.
  const failed = load.failed() - failedBefore;
  assert.ok(
    failed <= ENGINE.capacity + 3 * ENGINE.warmUpCapacity,
    `${failed} calls failed`,
  );
});
