import { type Clock, createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilenceGuard, WAKE_GRACE_MS } from "./create_silence_guard.ts";

test("bytes that came while the process slept are read first", () => {
  const fake = createFakeClock();
  let sleptMs = 0;
  const clock: Clock = { ...fake, now: () => fake.now() + sleptMs };
  const signal = new AbortController().signal;
  const guard = createSilenceGuard(signal, { clock });
  guard.arm(100);
  sleptMs = 5000;
  // Timers come due before sockets are read.
  fake.advance(100);
  assert.equal(guard.hasFired(), false);
  guard.arm(100);
  fake.advance(WAKE_GRACE_MS);
  assert.equal(guard.hasFired(), false);
  fake.advance(100 + WAKE_GRACE_MS);
  assert.equal(guard.hasFired(), true);
});
