import { createQuarantine, FingerprintState } from "@rosemarytiller/policy";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashWatch } from "./create_crash_watch.ts";
import type { Upstream } from "./create_registry.ts";
import { createSilentLog } from "./event_log.ts";

function createTestWatch() {
  const clock = createFakeClock(10_000);
  const quarantine = createQuarantine({ now: clock.now, onChange() {} });
  const watch = createCrashWatch({
    clock,
    log: createSilentLog(),
    quarantine,
    network: { tell() {} },
  });
  const upstream = { downUntilMs: 0, entry: { id: "u" } } as Upstream;
  return { clock, quarantine, watch, upstream };
}

test("a request that crashes two upstreams is refused from then on", () => {
  const { quarantine, watch, upstream } = createTestWatch();
  for (const crash of ["vm/1", "vm/2"]) {
    watch.onBroken(upstream, { fingerprint: "poison", crash });
    watch.onUnreachable(upstream);
  }
  assert.equal(quarantine.stateOf("poison"), FingerprintState.Quarantined);
});

test("lost answers: calls that break at a healthy upstream are no crashes", () => {
  const { clock, quarantine, watch, upstream } = createTestWatch();
  for (const crash of ["vm/1", "vm/2", "vm/3"]) {
    watch.onBroken(upstream, { fingerprint: "read", crash });
    clock.advance(3000);
  }
  watch.onUnreachable(upstream);
  assert.equal(quarantine.stateOf("read"), FingerprintState.Clear);
});
