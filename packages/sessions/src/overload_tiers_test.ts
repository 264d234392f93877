import {
  createStandInEngine,
  type StandInEngine,
} from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { callChat, hashKey, TEST_KEY } from "./call_fleet.ts";
import { startFleet, waitUntil } from "./start_fleet.ts";

const ENGINES = 2;
/** Concurrent calls that each engine can serve. */
const CAPACITY = 4;
const FIRST_TOKEN_MS = 20;
const TOKEN_MS = 12;
const TOKENS = 30;
const CALL_MS = FIRST_TOKEN_MS + TOKENS * TOKEN_MS;
/** Calls per second that the engines can serve. */
const ENGINE_CALLS_PER_SECOND = ENGINES * CAPACITY / (CALL_MS / 1000);
/** Offered load relative to `ENGINE_CALLS_PER_SECOND`. */
const OVERLOAD_FACTOR = 3;
const FLOOR_SHARE = 0.1;
const QUEUE_MS = 1000;
const LOAD_MS = 5000;

interface Outcome {
  served: number;
  refused: number;
  /** Time from each refused request to its refusal. */
  refusalMs: number[];
  problems: Set<string>;
}

/** Call rate by class, relative to `ENGINE_CALLS_PER_SECOND`. */
type Demand = Record<"high" | "low", number>;

function createClass(name: string, tier: number, floorShare: number) {
  return {
    name,
    tier,
    match: { header: { name: "x-class", value: name } },
    firstTokenMs: 200,
    queueMs: QUEUE_MS,
    floorShare,
  };
}

function formatDocument(engines: readonly StandInEngine[]): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" } },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams: Object.fromEntries(
      engines.map((engine, index) => [`runner-${index}`, {
        kind: "model-runner",
        serves: ["small"],
        dataCentre: "north",
        vm: "runner-vm",
        address: engine.url,
        maxConcurrent: CAPACITY,
        coldConcurrent: CAPACITY,
      }]),
    ),
    classes: [createClass("high", 1, 0), createClass("low", 4, FLOOR_SHARE)],
  });
}

/**
 * Calls a fleet of real processes at a fixed rate for each class; `peak` is the
 * highest number of concurrent calls at one engine.
 */
async function runOverload(
  t: { after(action: () => Promise<void>): void },
  demand: Demand,
): Promise<{ high: Outcome; low: Outcome; peak: number }> {
  const engines: StandInEngine[] = [];
  for (let index = 0; index < ENGINES; index++) {
    engines.push(
      await createStandInEngine({
        capacity: CAPACITY,
        firstTokenMs: FIRST_TOKEN_MS,
        tokenMs: TOKEN_MS,
      }),
    );
  }
  const fleet = await startFleet({
    dataCentres: ["north", "north"],
    upstreamVms: { "runner-vm": "north" },
    document: formatDocument(engines),
  });
  t.after(async () => {
    await fleet.stop();
    for (const engine of engines) await engine.close();
  });
  await fleet.waitUntilReady();
  for (const { url } of fleet.vms) {
    const messages = [{ role: "user", content: "first" }];
    const body = { model: "small", messages };
    const headers = { "x-class": "high" };
    await waitUntil(
      async () => (await callChat(url, body, { headers })).status === 200,
      "a leader can grant permits",
    );
  }

  const newOutcome = (): Outcome => ({
    served: 0,
    refused: 0,
    refusalMs: [],
    problems: new Set(),
  });
  const outcomes = { high: newOutcome(), low: newOutcome() };
  async function call(className: "high" | "low", count: number) {
    const outcome = outcomes[className];
    const answer = await callChat(fleet.vms[count % 2].url, {
      model: "small",
      messages: [{ role: "user", content: `${className} ${count}` }],
      max_tokens: TOKENS,
    }, { headers: { "x-class": className } });
    if (answer.status === 200) {
      outcome.served++;
      return;
    }
    const { kind, run } = JSON.parse(answer.text);
    outcome.refused++;
    outcome.refusalMs.push(answer.totalMs);
    outcome.problems.add(`${answer.status} ${kind} ${run}`);
    assert.ok(Number(answer.headers.get("retry-after")) >= 1);
  }

  const calls: Promise<void>[] = [];
  const sent = { high: 0, low: 0 };
  const startMs = performance.now();
  for (let ms = 0; ms < LOAD_MS; ms = performance.now() - startMs) {
    for (const className of ["high", "low"] as const) {
      const due = ms / 1000 * ENGINE_CALLS_PER_SECOND * demand[className];
      while (sent[className] < due) {
        calls.push(call(className, sent[className]++));
      }
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await Promise.all(calls);
  const peak = Math.max(...engines.map(({ counts }) => counts.peak));
  return { ...outcomes, peak };
}

function formatOutcomes(
  { high, low }: { high: Outcome; low: Outcome },
): string {
  const refusalMs = [...high.refusalMs, ...low.refusalMs]
    .sort((left, right) => left - right);
  const median = refusalMs[Math.floor(refusalMs.length / 2)] ?? 0;
  return `high ${high.served} served ${high.refused} refused, ` +
    `low ${low.served} served ${low.refused} refused, ` +
    `median refusal after ${median.toFixed(0)} ms`;
}

test("the top tier is not refused while the lower gets beyond its floor", async (t) => {
  const outcome = await runOverload(t, {
    high: 0.75,
    low: OVERLOAD_FACTOR - 0.75,
  });
  t.diagnostic(formatOutcomes(outcome));
  const { high, low, peak } = outcome;
  assert.equal(high.refused, 0);
  assert.ok(low.served > FLOOR_SHARE * (high.served + low.served));
  assert.deepEqual([...low.problems], ["429 overloaded not-run"]);
  assert.ok(peak <= CAPACITY);
  const median =
    low.refusalMs.sort((left, right) =>
      left - right
    )[Math.floor(low.refusalMs.length / 2)];
  assert.ok(
    median < QUEUE_MS / 2,
    "the median refusal took less than half the queue time",
  );
});

test("the lower tier gets its floor share while the top tier overloads the engines", async (t) => {
  const outcome = await runOverload(t, {
    high: OVERLOAD_FACTOR - 0.5,
    low: 0.5,
  });
  t.diagnostic(formatOutcomes(outcome));
  const { high, low, peak } = outcome;
  const served = high.served + low.served;
  assert.ok(
    low.served >= Math.floor(FLOOR_SHARE * served) - 2,
    formatOutcomes(outcome),
  );
  // Until the engines are full, the first calls of both classes start at once.
  const maxLowServed = FLOOR_SHARE * served + ENGINES * CAPACITY + 2;
  assert.ok(low.served <= maxLowServed, formatOutcomes(outcome));
  assert.ok(peak <= CAPACITY);
});
