import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCrashDetector } from "./create_crash_detector.ts";
import type { Upstream } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";

/** Longer than the delay of a probe, in milliseconds. */
const PROBED_MS = 100;

function createTestDetector(
  options: { isUp: boolean; reachesOthers?: boolean; isBrittle?: boolean },
) {
  const { isUp, reachesOthers = true, isBrittle = false } = options;
  const clock = createFakeClock(10_000);
  /** Requests in flight, by crash. */
  const crashes: Record<string, string[]> = {};
  const earlier: Record<string, readonly string[] | undefined> = {};
  let probes = 0;
  const down: Upstream[] = [];
  const detector = createCrashDetector({
    clock,
    log: createNoopLog(),
    containment: {
      onCrash(crash, { fingerprints }, known) {
        earlier[crash] = known;
        crashes[crash] = [...crashes[crash] ?? [], ...fingerprints];
      },
    },
    registry: { onConnectFailed: (upstream) => void down.push(upstream) },
    pool: {
      probe() {
        probes++;
        return Promise.resolve(isUp);
      },
    },
    reach: {
      hasReachedOthers: () => reachesOthers,
      probeOthers: () => Promise.resolve(reachesOthers),
      onConnectFailed() {},
    },
    isBrittle: () => isBrittle,
  });
  const upstream = { downUntilMs: 0, entry: { id: "u" } } as Upstream;

  function breakCall(
    fingerprint: string,
    crash: string,
    known: readonly string[] = [],
  ): void {
    detector.onCallBroken(upstream, {
      request: { id: crash, fingerprints: [fingerprint], parts: [] },
      crash,
      earlier: known,
    });
  }

  /** Lets the probe of the upstream end. */
  async function awaitProbe(): Promise<void> {
    clock.advance(PROBED_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }

  return {
    clock,
    crashes,
    earlier,
    detector,
    upstream,
    down,
    probes: () => probes,
    breakCall,
    awaitProbe,
  };
}

test("a request in flight at two crashes counts for both", () => {
  const { crashes, detector, upstream, breakCall } = createTestDetector({
    isUp: true,
  });
  for (const crash of ["vm/1", "vm/2"]) {
    breakCall("poison", crash);
    detector.onUnreachable(upstream);
  }
  assert.deepEqual(crashes, { "vm/1": ["poison"], "vm/2": ["poison"] });
});

test("lost responses: a broken call long before a failure to connect is no crash", () => {
  const { clock, crashes, detector, upstream, breakCall } = createTestDetector({
    isUp: true,
  });
  for (const crash of ["vm/1", "vm/2", "vm/3"]) {
    breakCall("read", crash);
    clock.advance(3000);
  }
  detector.onUnreachable(upstream);
  assert.deepEqual(crashes, {});
});

test("a crash is reported with those that were known when the call was sent", () => {
  const { earlier, detector, upstream, breakCall } = createTestDetector({
    isUp: true,
  });
  breakCall("poison", "vm/2", ["vm/1"]);
  detector.onUnreachable(upstream);
  assert.deepEqual(earlier, { "vm/2": ["vm/1"] });
});

// Guards against a crash that goes unnoticed until another call is placed.
test("an upstream that accepts no connection after a broken call has crashed", async () => {
  const { crashes, upstream, down, breakCall, awaitProbe } = createTestDetector(
    { isUp: false },
  );
  breakCall("poison", "vm/1");
  await awaitProbe();
  assert.deepEqual(crashes, { "vm/1": ["poison"] });
  assert.deepEqual(down, [upstream]);
});

test("an upstream that accepts a connection has not crashed", async () => {
  const { crashes, detector, upstream, down, breakCall, awaitProbe } =
    createTestDetector({ isUp: true });
  breakCall("read", "vm/1");
  await awaitProbe();
  detector.onUnreachable(upstream);
  assert.deepEqual(crashes, {});
  assert.deepEqual(down, []);
});

test("calls that break at the same time cause one probe", async () => {
  const { probes, breakCall, awaitProbe } = createTestDetector({ isUp: false });
  for (const crash of ["vm/1", "vm/2", "vm/3"]) breakCall("read", crash);
  await awaitProbe();
  assert.equal(probes(), 1);
});

// Guards against crashes that a VM reports as it has lost its own links.
test("calls that break with the links to all upstreams are no crashes", async () => {
  const { crashes, down, upstream, breakCall, awaitProbe } = createTestDetector(
    { isUp: false, reachesOthers: false },
  );
  breakCall("read", "vm/1");
  await awaitProbe();
  assert.deepEqual(crashes, {});
  assert.deepEqual(down, [upstream]);
});

// Guards against requests that are taken for the cause while a service falls
// over by itself.
test("calls that break as a brittle upstream falls over are no crashes", async () => {
  const { crashes, breakCall, awaitProbe } = createTestDetector(
    { isUp: false, isBrittle: true },
  );
  breakCall("read", "vm/1");
  await awaitProbe();
  assert.deepEqual(crashes, {});
});

// Guards against a request that is sent again before the crash of its upstream
// is known.
test("a decision on a broken call is awaited, for a bounded time", async () => {
  const { detector, upstream, clock, breakCall, awaitProbe, crashes } =
    createTestDetector({ isUp: false });
  await detector.waitForDecision(upstream);
  breakCall("a", "c1");
  const decided = detector.waitForDecision(upstream).then(() => ({
    ...crashes,
  }));
  await awaitProbe();
  assert.deepEqual(await decided, { c1: ["a"] });
  breakCall("b", "c2");
  const timedOut = detector.waitForDecision(upstream);
  clock.advance(PROBED_MS);
  await timedOut;
});
