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
import { waitUntil } from "./start_fleet.ts";

/** Target of the class whose calls load the engine. */
const TARGET_MS = 100;
const TOKENS = 4;

/** Loads a real engine as far as its limit allows. */
async function loadEngine(
  t: TestContext,
  options: EngineOptions & LimitBounds,
) {
  const engine = await createStandInEngine(options);
  const demand = { calls: Infinity };
  let outstanding = 0;
  let broken = 0;
  let startedSince: number[] = [];
  const limit = createUpstreamLimit(options, {
    outstanding: () => outstanding,
  });
  const now = () => performance.now();

  async function call(): Promise<void> {
    outstanding++;
    startedSince.push(now());
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
      broken++;
      outcome = CallOutcome.Crashed;
    }
    const totalMs = now() - startedMs;
    const targetMs = TARGET_MS;
    limit.onFinished({ outcome, firstTokenMs, totalMs, targetMs }, now());
    outstanding--;
  }

  async function poll(): Promise<void> {
    const askedMs = now();
    const response = await fetch(`${engine.url}/load`);
    const report = await response.json() as LoadReport;
    const ageMs = report.ageMs + now() - askedMs;
    limit.onReport({ ...report, ageMs }, now());
  }

  const timers = [
    setInterval(() => {
      const most = Math.min(limit.current(now()), demand.calls);
      while (outstanding < most) void call();
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
    broken: () => broken,
    outstanding: () => outstanding,
    limit: () => limit.current(now()),
    startsSince(sinceMs: number): number {
      startedSince = startedSince.filter((startMs) => startMs >= sinceMs);
      return startedSince.length;
    },
  };
}

const ENGINE = {
  capacity: 16,
  coldCapacity: 2,
  warmAfter: 8,
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
  await waitUntil(() => engine.counts.completed >= target, `${more} answers`);
}

async function waitFull(engine: StandInEngine): Promise<void> {
  await waitUntil(
    () => engine.counts.peak === ENGINE.capacity,
    "the engine is used to its capacity",
  );
}

/**
 * Waits until a crash is known and the calls that were on their way have
 * ended: nobody can call those back. Returns the crashes so far.
 */
async function waitNoticed(
  load: Awaited<ReturnType<typeof loadEngine>>,
): Promise<number> {
  await waitUntil(() => load.limit() <= 1, "the crash is noticed");
  load.demand.calls = 0;
  await waitUntil(() => load.outstanding() === 0, "the broken calls ended");
  load.demand.calls = Infinity;
  const { counts } = load.engine;
  counts.peak = 0;
  counts.coldPeak = 0;
  return counts.crashes;
}

for (const reportLagMs of [0, 500]) {
  test(`a cold engine is warmed within its bounds, reports ${reportLagMs} ms late`, async (t) => {
    const load = await loadEngine(t, { ...ENGINE, reportLagMs });
    await waitFull(load.engine);
    const { counts } = load.engine;
    assert.equal(counts.crashes, 0);
    assert.ok(counts.coldPeak <= ENGINE.coldCapacity);
    assert.ok(counts.peak <= ENGINE.capacity);
  });

  test(`a crashed engine starts cold again, reports ${reportLagMs} ms late`, async (t) => {
    const load = await loadEngine(t, { ...ENGINE, reportLagMs });
    const { counts } = load.engine;
    await waitFull(load.engine);
    load.engine.crash();
    const crashes = await waitNoticed(load);
    await waitFull(load.engine);
    assert.equal(counts.crashes, crashes);
    assert.ok(counts.coldPeak <= ENGINE.coldCapacity);
  });
}

/** Answers after which the usual first-token time is that of a calm load. */
const CALM_CALLS = 30;

test("an unannounced cold start is seen by its first tokens", async (t) => {
  const load = await loadEngine(t, {
    ...ENGINE,
    warmAfter: 20,
    warmAfterCalls: 20,
  });
  const { counts } = load.engine;
  await waitFull(load.engine);
  load.demand.calls = 2;
  await waitUntil(() => load.outstanding() <= 2, "the load fell");
  // A jump is one against the calls just before, not those under full load.
  await waitCompleted(load.engine, CALM_CALLS);
  load.engine.cool();
  load.engine.set({ firstTokenMs: 120 });
  counts.peak = 0;
  await waitUntil(() => load.limit() === 2, "the limit is cold");
  load.demand.calls = Infinity;
  await waitCompleted(load.engine, 20);
  load.engine.set({ firstTokenMs: 5 });
  await waitFull(load.engine);
  assert.equal(counts.crashes, 0);
});

test("an engine that turns cold under full load starts again", async (t) => {
  const load = await loadEngine(t, {
    ...ENGINE,
    warmAfter: 24,
    warmAfterCalls: 24,
  });
  const { counts } = load.engine;
  await waitFull(load.engine);
  load.engine.cool();
  await waitUntil(() => counts.crashes > 0, "the engine fell over");
  const crashes = await waitNoticed(load);
  await waitFull(load.engine);
  assert.equal(counts.crashes, crashes);
  assert.ok(counts.coldPeak <= ENGINE.coldCapacity);
});

test("a limit beyond the engine's capacity is lowered by its reports", async (t) => {
  const load = await loadEngine(t, {
    ...ENGINE,
    capacity: 6,
    warmAfter: 0,
    maxConcurrent: 64,
  });
  await waitUntil(() => load.outstanding() > 6, "the engine has a queue");
  await waitUntil(() => load.limit() <= 6 + 1, "the limit fell");
  await waitCompleted(load.engine, 50);
  const waiting = load.outstanding() - load.engine.running();
  assert.ok(waiting <= 6, `${waiting} calls wait in the engine`);
});

test("a flapping engine gets probes, not floods", async (t) => {
  const load = await loadEngine(t, ENGINE);
  const { engine } = load;
  await waitFull(engine);
  const brokenBefore = load.broken();
  for (let crash = 1; crash <= 4; crash++) {
    engine.crash();
    const sinceMs = performance.now();
    const target = load.broken();
    await waitUntil(
      () => load.broken() > target || load.startsSince(sinceMs) > 0,
      "the next call",
    );
  }
  // The first crash breaks a full engine, the others one probe at most each.
  const broken = load.broken() - brokenBefore;
  assert.ok(broken <= ENGINE.capacity + 3 * ENGINE.coldCapacity, `${broken}`);
});
