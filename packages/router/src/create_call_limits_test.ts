import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCallLimits } from "./create_call_limits.ts";
import type { Upstream } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";

function createTestLimits() {
  const clock = createFakeClock(10_000);
  const limits = createCallLimits({
    clock,
    log: createNoopLog(),
    fleet: () => ({ own: "vm-1", reachable: ["vm-1", "vm-2"], known: 2 }),
    publish() {},
  });
  const upstreamOf = (startedMs: number) =>
    ({ entry: { id: "u", startedMs } }) as Upstream;

  /** Calls that this VM may send in a time, if no other sends any. */
  function countCalls(upstream: Upstream, forMs: number): number {
    let calls = 0;
    for (let ms = 0; ms < forMs; ms++) {
      if (limits.canAdmit(upstream)) {
        limits.onSent(upstream);
        calls++;
      }
      clock.advance(1);
    }
    return calls;
  }

  return { limits, upstreamOf, countCalls };
}

test("a limit holds until a response names none, and for one run", () => {
  const { limits, upstreamOf, countCalls } = createTestLimits();
  const upstream = upstreamOf(1);
  limits.onNamed(upstream, 2);
  assert.ok(limits.isLimited(upstream));
  assert.ok(!limits.isLimited(upstreamOf(2)));
  const calls = countCalls(upstream, 10_000);
  assert.ok(calls >= 18 && calls <= 21, `${calls} calls`);
  limits.onNamed(upstream, undefined);
  assert.equal(countCalls(upstream, 100), 100);
});

// Guards against an upstream that never gets a call again, whose response could
// end its limit.
test("an upstream that names a limit of 0 gets a call now and then", () => {
  const { limits, upstreamOf, countCalls } = createTestLimits();
  const upstream = upstreamOf(1);
  limits.onNamed(upstream, 0);
  const calls = countCalls(upstream, 60_000);
  assert.ok(calls >= 4 && calls <= 6, `${calls} calls`);
});
