import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createConfigurationGate } from "./create_configuration_gate.ts";

function createTestGate() {
  const clock = createFakeClock();
  const gate = createConfigurationGate(clock);
  const passed: string[] = [];
  return {
    clock,
    gate,
    passed,
    hold: (name: string, deadlineMs?: number) =>
      gate.wait({ deadlineMs }).then(() => void passed.push(name)),
  };
}

/** Lets all pending promises settle. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("restart of all VMs: requests pass once there is a configuration", async () => {
  const { gate, passed, hold } = createTestGate();
  hold("early");
  await settle();
  assert.deepEqual(passed, []);
  gate.open();
  hold("later");
  await settle();
  assert.deepEqual(passed, ["early", "later"]);
});

test("a request is held for a quarter of its deadline, at most 1 s", async () => {
  const { clock, passed, hold } = createTestGate();
  hold("short", 800);
  hold("long", 60_000);
  hold("unlimited");
  clock.advance(200);
  await settle();
  assert.deepEqual(passed, ["short"]);
  clock.advance(800);
  await settle();
  assert.deepEqual(passed, ["short", "long", "unlimited"]);
});

test("requests beyond the limit are not held", async () => {
  const { passed, hold } = createTestGate();
  for (let number = 0; number < 501; number++) hold(String(number));
  await settle();
  assert.deepEqual(passed, ["500"]);
});
