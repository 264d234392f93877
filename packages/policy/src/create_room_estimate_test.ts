import assert from "node:assert/strict";
import { test } from "node:test";
import { createRoomEstimate } from "./create_room_estimate.ts";

const OPTIONS = { slots: 8, maxDeclined: 6 };
const ALONE = { own: "vm-1", reachable: ["vm-1"], known: 1 };

// Guards against sending an upstream as much as it has just declined.
test("a declined call shows the room, which grows again with time", () => {
  const estimate = createRoomEstimate(OPTIONS);
  assert.ok(estimate.canSend(7, 0, ALONE));
  assert.ok(!estimate.canSend(8, 0, ALONE));
  estimate.onDeclined(4, 0);
  assert.ok(estimate.canSend(2, 10, ALONE));
  assert.ok(!estimate.canSend(3, 10, ALONE));
  assert.ok(estimate.canSend(3, 2000, ALONE));
  assert.ok(!estimate.canSend(4, 2000, ALONE));
  assert.ok(estimate.canSend(7, 60_000, ALONE));
  assert.ok(!estimate.canSend(8, 60_000, ALONE));
});

// Guards against an upstream that falls over as it declines too many calls.
test("an upstream gets no calls after half of those that it may decline", () => {
  const estimate = createRoomEstimate(OPTIONS);
  for (let ms = 0; ms < 3; ms++) estimate.onDeclined(4, ms);
  assert.ok(!estimate.canSend(0, 900, ALONE));
  assert.ok(estimate.canSend(0, 1001, ALONE));
});

test("an upstream that declines its only call is still tried", () => {
  const estimate = createRoomEstimate(OPTIONS);
  estimate.onDeclined(1, 0);
  assert.ok(estimate.canSend(0, 10, ALONE));
  assert.ok(!estimate.canSend(1, 10, ALONE));
});

// Guards against VMs that all take the same free place.
test("VMs take turns for a place that becomes free", () => {
  const reachable = ["vm-1", "vm-2", "vm-3"];
  const fleetOf = (own: string) => ({ own, reachable, known: 3 });
  const estimate = createRoomEstimate(OPTIONS);
  estimate.onSent("vm-1", 100);
  estimate.onEnded(7, 200);
  const first = (nowMs: number) =>
    reachable.filter((vm) => estimate.canSend(7, nowMs, fleetOf(vm)));
  assert.deepEqual(first(200), ["vm-2"]);
  assert.deepEqual(first(215), ["vm-2", "vm-3"]);
  estimate.onSent("vm-2", 216);
  assert.deepEqual(first(216), ["vm-3"]);
});
