import { createStandInEngine } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { callChat, readStream } from "./call_fleet.ts";
import { startTestEntry } from "./start_test_entry.ts";

// An entry that was paused between a grant and its call started the call after
// the permit had expired, on a connection that the upstream had closed.
test("a call whose permit expired before it was sent waits for another", async (t) => {
  const engine = await createStandInEngine();
  const entry = await startTestEntry({
    engines: [engine.url],
    expiredPermits: 4,
    // The time in the queue is over before the permits have expired.
    requestClass: { queueMs: 200 },
    permitDelayMs: 150,
  });
  t.after(async () => {
    await entry.close();
    await engine.close();
  });
  const answer = await callChat(entry.url, {
    model: "small",
    messages: [{ role: "user", content: "how much honey?" }],
    max_tokens: 2,
    stream: true,
  });
  assert.equal(answer.status, 200, answer.text);
  assert.ok(readStream(answer.text).isComplete, answer.text);
  assert.equal(engine.counts.started, 1);
  assert.deepEqual(entry.outcomes, [
    ...Array.from({ length: 4 }, () => "unused"),
    "complete",
  ]);
  assert.equal(entry.openPermits(), 0);
});
