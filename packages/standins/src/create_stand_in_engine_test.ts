import assert from "node:assert/strict";
import { test } from "node:test";
import { createStandInEngine } from "./create_stand_in_engine.ts";

// Guards against an engine that looks faster than planned on the clock by which
// a test measures it.
test("an engine's tokens are due by its clock", async (t) => {
  const now = () => performance.now() / 2;
  const engine = await createStandInEngine({
    now,
    firstTokenMs: 200,
    tokenMs: 50,
  });
  t.after(() => engine.close());
  const startedMs = now();
  const response = await fetch(`${engine.url}/v1/chat/completions`, {
    method: "POST",
    body: JSON.stringify({ messages: [], max_tokens: 3 }),
  });
  await response.text();
  assert.ok(now() - startedMs >= 300, `${now() - startedMs} ms`);
});
