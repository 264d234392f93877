import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "./clock.ts";

// Guards against a deadline that ends a request early: Node counts a timer from
// the start of the event loop's iteration, in whole milliseconds.
test("a timer of the system clock never runs early", async () => {
  const clock = createSystemClock();
  for (const delayMs of [1.9, 5.7, 10]) {
    await new Promise((resolve) => setImmediate(resolve));
    const busyUntilMs = clock.now() + 5;
    while (clock.now() < busyUntilMs);
    const startedMs = clock.now();
    await new Promise<void>((resolve) => clock.after(delayMs, resolve));
    const tookMs = clock.now() - startedMs;
    assert.ok(tookMs >= delayMs, `${tookMs} ms instead of ${delayMs} ms`);
  }
});

test("a cancelled timer of the system clock does not run", async () => {
  const clock = createSystemClock();
  let runs = 0;
  clock.after(5, () => runs++)();
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(runs, 0);
});
