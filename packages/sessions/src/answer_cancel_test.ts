import {
  createStandInEngine,
  type StandInEngine,
} from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TEST_KEY } from "./call_fleet.ts";
import { startCallServer } from "./start_call_server.ts";
import { waitUntil } from "./start_fleet.ts";

/** Longest time from the caller's leaving to the engine's stop. */
const CANCEL_BOUND_MS = 100;

const CASES = [
  { name: "before the first token", firstTokenMs: 60_000, stream: true },
  { name: "in mid-stream", firstTokenMs: 1, stream: true },
  { name: "unstreamed", firstTokenMs: 60_000, stream: false },
];

/** Calls of which the median must keep the bound. */
const ROUNDS = 5;

for (const { name, firstTokenMs, stream } of CASES) {
  test(`the call is cancelled when its caller goes ${name}`, async (t) => {
    const engine = await createStandInEngine({ firstTokenMs, tokenMs: 5 });
    const server = await startCallServer({ engines: [engine.url] });
    t.after(async () => {
      await server.close();
      await engine.close();
    });
    const took: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      took.push(await leaveCall(server.url, { engine, stream }));
    }
    await waitUntil(() => server.live() === 0, "the permits are returned");
    assert.deepEqual(server.outcomes, Array(ROUNDS).fill("cancelled"));
    assert.equal(engine.counts.cancelled, ROUNDS);
    // One call may meet a pause of a busy machine; most may not.
    took.sort((left, right) => left - right);
    const median = took[Math.floor(ROUNDS / 2)];
    assert.ok(median < CANCEL_BOUND_MS, `cancelled after ${took} ms`);
  });
}

/** Leaves a call that runs; returns the time until the engine stopped it. */
async function leaveCall(
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
  }).then((response) => response.text()).catch(() => "gone");
  await waitUntil(() => engine.running() === 1, "the engine runs the call");
  const leftMs = performance.now();
  caller.abort();
  await waitUntil(() => engine.running() === 0, "the engine stopped");
  const tookMs = performance.now() - leftMs;
  assert.equal(await answer, "gone");
  return tookMs;
}
