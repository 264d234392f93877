import { createQuarantine, FingerprintState } from "@rosemarytiller/policy";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashDetector } from "./create_crash_detector.ts";
import type { Upstream } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";

function createTestDetector() {
  const clock = createFakeClock(10_000);
  const quarantine = createQuarantine({ now: clock.now, onChange() {} });
  const detector = createCrashDetector({
    clock,
    log: createNoopLog(),
    quarantine,
    network: { publishLoadEvent() {} },
  });
  const upstream = { downUntilMs: 0, entry: { id: "u" } } as Upstream;
  return { clock, quarantine, detector, upstream };
}

test("a request that causes two crashes is quarantined", () => {
  const { quarantine, detector, upstream } = createTestDetector();
  for (const crash of ["vm/1", "vm/2"]) {
    detector.onCallBroken(upstream, {
      id: crash,
      fingerprint: "poison",
      crash,
    });
    detector.onUnreachable(upstream);
  }
  assert.equal(quarantine.stateOf("poison"), FingerprintState.Quarantined);
});

test("lost responses: a broken call long before a failure to connect is no crash", () => {
  const { clock, quarantine, detector, upstream } = createTestDetector();
  for (const crash of ["vm/1", "vm/2", "vm/3"]) {
    detector.onCallBroken(upstream, {
      id: crash,
      fingerprint: "read",
      crash,
    });
    clock.advance(3000);
  }
  detector.onUnreachable(upstream);
  assert.equal(quarantine.stateOf("read"), FingerprintState.Clear);
});
