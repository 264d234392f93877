import { createQuarantine, FingerprintState } from "@rosemarytiller/policy";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashDetector } from "./create_crash_detector.ts";
import type { Upstream } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";

/** Longer than the delay of a probe, in milliseconds. */
const PROBED_MS = 100;

function createTestDetector({ isUp }: { isUp: boolean }) {
  const clock = createFakeClock(10_000);
  const quarantine = createQuarantine({ now: clock.now, onChange() {} });
  let probes = 0;
  const down: Upstream[] = [];
  const detector = createCrashDetector({
    clock,
    log: createNoopLog(),
    quarantine,
    registry: { onConnectFailed: (upstream) => void down.push(upstream) },
    pool: {
      probe() {
        probes++;
        return Promise.resolve(isUp);
      },
    },
    network: { publishLoadEvent() {} },
  });
  const upstream = { downUntilMs: 0, entry: { id: "u" } } as Upstream;

  function breakCall(fingerprint: string, crash: string): void {
    detector.onCallBroken(upstream, { id: crash, fingerprint, crash });
  }

  /** Lets the probe of the upstream end. */
  async function awaitProbe(): Promise<void> {
    clock.advance(PROBED_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }

  return {
    clock,
    quarantine,
    detector,
    upstream,
    down,
    probes: () => probes,
    breakCall,
    awaitProbe,
  };
}

test("a request that causes two crashes is quarantined", () => {
  const { quarantine, detector, upstream, breakCall } = createTestDetector({
    isUp: true,
  });
  for (const crash of ["vm/1", "vm/2"]) {
    breakCall("poison", crash);
    detector.onUnreachable(upstream);
  }
  assert.equal(quarantine.stateOf("poison"), FingerprintState.Quarantined);
});

test("lost responses: a broken call long before a failure to connect is no crash", () => {
  const { clock, quarantine, detector, upstream, breakCall } =
    createTestDetector({ isUp: true });
  for (const crash of ["vm/1", "vm/2", "vm/3"]) {
    breakCall("read", crash);
    clock.advance(3000);
  }
  detector.onUnreachable(upstream);
  assert.equal(quarantine.stateOf("read"), FingerprintState.Clear);
});

// Guards against a crash that goes unnoticed until another call is placed.
test("an upstream that accepts no connection after a broken call has crashed", async () => {
  const { quarantine, upstream, down, breakCall, awaitProbe } =
    createTestDetector({ isUp: false });
  breakCall("poison", "vm/1");
  await awaitProbe();
  assert.equal(quarantine.stateOf("poison"), FingerprintState.Suspect);
  assert.deepEqual(down, [upstream]);
});

test("an upstream that accepts a connection has not crashed", async () => {
  const { quarantine, detector, upstream, down, breakCall, awaitProbe } =
    createTestDetector({ isUp: true });
  breakCall("read", "vm/1");
  await awaitProbe();
  detector.onUnreachable(upstream);
  assert.equal(quarantine.stateOf("read"), FingerprintState.Clear);
  assert.deepEqual(down, []);
});

test("calls that break at the same time cause one probe", async () => {
  const { probes, breakCall, awaitProbe } = createTestDetector({ isUp: false });
  for (const crash of ["vm/1", "vm/2", "vm/3"]) breakCall("read", crash);
  await awaitProbe();
  assert.equal(probes(), 1);
});
