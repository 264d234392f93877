import { type Clock, createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createIdleTimer, SUSPENSION_GRACE_MS } from "./create_idle_timer.ts";

test("data that arrived during a suspension prevents the timeout", () => {
  const fake = createFakeClock();
  let sleptMs = 0;
  const clock: Clock = { ...fake, now: () => fake.now() + sleptMs };
  const signal = new AbortController().signal;
  const timer = createIdleTimer(signal, { clock });
  timer.arm(100);
  sleptMs = 5000;
  // After a suspension, timers fire before sockets are read.
  fake.advance(100);
  assert.equal(timer.hasFired(), false);
  timer.arm(100);
  fake.advance(SUSPENSION_GRACE_MS);
  assert.equal(timer.hasFired(), false);
  fake.advance(100 + SUSPENSION_GRACE_MS);
  assert.equal(timer.hasFired(), true);
});
