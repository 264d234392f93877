import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlannedStop } from "./create_planned_stop.ts";

const LEAVE_MS = 1000;
const GRACE_MS = 6000;
const TIMES = { leaveMs: LEAVE_MS, graceMs: GRACE_MS };

// Guards against requests that are accepted late in a stop.
test("new requests are accepted for the time for leaving only", () => {
  const clock = createFakeClock();
  const stop = createPlannedStop(clock);
  assert.ok(stop.acceptsRequests());
  assert.ok(!stop.hasBegun());
  stop.begin(TIMES);
  assert.ok(stop.hasBegun());
  clock.advance(LEAVE_MS - 1);
  assert.ok(stop.acceptsRequests());
  clock.advance(1);
  assert.ok(!stop.acceptsRequests());
  assert.ok(!stop.isOver());
  clock.advance(GRACE_MS - LEAVE_MS);
  assert.ok(stop.isOver());
});

// Guards against a time for leaving that is longer than the grace.
test("a third of the grace is for new requests at most", () => {
  const clock = createFakeClock();
  const stop = createPlannedStop(clock);
  stop.begin({ leaveMs: 10 * GRACE_MS, graceMs: GRACE_MS });
  clock.advance(GRACE_MS / 3);
  assert.ok(!stop.acceptsRequests());
});

// Guards against calls that a stop cuts off though that could be expected.
test("a call can end by its deadline, or as its route's latest calls did", () => {
  const clock = createFakeClock();
  const stop = createPlannedStop(clock);
  for (let call = 0; call < 100; call++) {
    stop.onCallEnded("mostly-short", call < 5 ? 9000 : 50);
    stop.onCallEnded("often-long", call < 6 ? 9000 : 50);
  }
  assert.ok(stop.canEnd("often-long", Infinity));
  stop.begin(TIMES);
  const endMs = clock.now() + GRACE_MS;
  assert.ok(stop.canEnd("mostly-short", Infinity));
  assert.ok(!stop.canEnd("often-long", Infinity));
  assert.ok(stop.canEnd("often-long", endMs));
  assert.ok(stop.canEnd("unknown", Infinity));
  clock.advance(GRACE_MS - 49);
  assert.ok(!stop.canEnd("mostly-short", Infinity));
  clock.advance(49);
  assert.ok(!stop.canEnd("unknown", Infinity));
});

// Guards against memory that grows with the routes of all configurations.
test("only the latest calls count, of the routes that were called last", () => {
  const clock = createFakeClock();
  const stop = createPlannedStop(clock);
  stop.onCallEnded("old", 9000);
  for (let call = 0; call < 1000; call++) {
    stop.onCallEnded("changed", call < 900 ? 9000 : 50);
    stop.onCallEnded(`route-${call}`, 9000);
  }
  stop.begin(TIMES);
  assert.ok(stop.canEnd("changed", Infinity));
  assert.ok(stop.canEnd("old", Infinity));
  assert.ok(!stop.canEnd("route-999", Infinity));
});
