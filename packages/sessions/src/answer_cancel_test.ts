import {
  createStandInEngine,
  type StandInEngine,
} from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TEST_KEY } from "./call_fleet.ts";
import { createRunClock } from "./create_run_clock.ts";
import { waitUntil } from "./start_fleet.ts";
import { startTestEntry } from "./start_test_entry.ts";

/**
 * Longest allowed time on the run clock from the caller's disconnect until the
 * engine has stopped the call.
 */
const MAX_CANCEL_MS = 100;

const CASES = [
  { name: "before the first token", firstTokenMs: 60_000, stream: true },
  { name: "in the middle of a stream", firstTokenMs: 1, stream: true },
  {
    name: "before a non-streaming answer",
    firstTokenMs: 60_000,
    stream: false,
  },
];

/** Calls in each case; their median time must be below MAX_CANCEL_MS. */
const ROUNDS = 5;

for (const { name, firstTokenMs, stream } of CASES) {
  test(`a call is cancelled when its caller disconnects ${name}`, async (t) => {
    const engine = await createStandInEngine({ firstTokenMs, tokenMs: 5 });
    const server = await startTestEntry({ engines: [engine.url] });
    t.after(async () => {
      await server.close();
      await engine.close();
    });
    const timesMs: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      timesMs.push(await abortCall(server.url, { engine, stream }));
    }
    await waitUntil(
      () => server.openPermits() === 0,
      "all permits are returned",
    );
    assert.deepEqual(server.outcomes, Array(ROUNDS).fill("cancelled"));
    assert.equal(engine.counts.cancelled, ROUNDS);
    // A pause of a busy machine may delay a single call, but not the median.
    timesMs.sort((left, right) => left - right);
    const median = timesMs[Math.floor(ROUNDS / 2)];
    assert.ok(median < MAX_CANCEL_MS, `cancelled after ${timesMs} ms`);
  });
}

/**
 * Starts a call and aborts it once the engine runs it; returns the milliseconds
 * on the run clock from the abort until the engine stopped it.
 */
async function abortCall(
  url: string,
  options: { engine: StandInEngine; stream: boolean },
): Promise<number> {
  const { engine, stream } = options;
  const caller = new AbortController();
  const messages = [{ role: "user", content: "a long story" }];
  const answer = fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${TEST_KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "small",
      messages,
      stream,
      max_tokens: 100_000,
    }),
    signal: caller.signal,
  }).then((response) => response.text()).catch(() => "aborted");
  await waitUntil(() => engine.running() === 1, "the engine runs the call");
  const runClock = createRunClock();
  caller.abort();
  await waitUntil(() => engine.running() === 0, "the engine stopped");
  const tookMs = runClock();
  assert.equal(await answer, "aborted");
  return tookMs;
}
