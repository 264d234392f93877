import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createReach } from "./create_reach.ts";
import { createRegistry } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";
import type { ServiceDefinition } from "./ports.ts";

/** Longer than other VMs' reports take, in milliseconds. */
const REPORTED_MS = 100;

const SERVICE: ServiceDefinition = {
  name: "engines",
  healthPath: "/health",
  maxConnections: 100,
  warmUpMs: 3000,
  warmUpCallsPerSecond: 18,
  engine: undefined,
};

function createTestReach(upstreams: number) {
  const clock = createFakeClock(10_000);
  const log = createNoopLog();
  const registry = createRegistry({ clock, log });
  const probed: number[] = [];
  let isUp = false;
  let answers = true;
  for (let number = 0; number < upstreams; number++) {
    registry.set(`u${number}`, {
      id: `u${number}`,
      service: "engines",
      host: "127.0.0.1",
      port: number,
      dataCentre: "north",
      slots: 8,
      isDraining: false,
      warmUpMs: 0,
      startedMs: undefined,
      softwareVersion: "v1",
    });
  }
  const reach = createReach({
    clock,
    log,
    registry,
    pool: {
      probe({ port }) {
        probed.push(port);
        return Promise.resolve(isUp);
      },
    },
    isAnswering: () => Promise.resolve(answers),
    publish() {},
  });
  const upstreamOf = (number: number) => registry.find(`u${number}`)!;
  return {
    clock,
    reach,
    registry,
    probed,
    upstreamOf,
    setUp() {
      isUp = true;
    },
    setAnswering(isAnswering: boolean) {
      answers = isAnswering;
    },
    fail(count: number) {
      for (let number = 0; number < count; number++) {
        reach.onConnectFailed(upstreamOf(number));
      }
    },
    /** Other VMs report responses of the first upstreams. */
    report(count: number) {
      clock.advance(REPORTED_MS);
      for (let number = 0; number < count; number++) {
        registry.onPeerReceived(upstreamOf(number));
      }
    },
  };
}

test("links are lost to upstreams that respond to other VMs only", () => {
  const { reach, fail, report, upstreamOf } = createTestReach(6);
  fail(3);
  assert.ok(!reach.isLost("engines"));
  assert.ok(reach.mayBeLost("engines"));
  report(1);
  assert.ok(reach.isLost("engines"));
  assert.deepEqual(reach.lostServices(), ["engines"]);
  reach.onReceived(upstreamOf(5));
  assert.ok(!reach.isLost("engines"));
});

// Guards against calls over lost links that take places from the other VMs, and
// against calls that count as lost although they run.
test("a call is lost if nothing arrived since over links that are lost", () => {
  const { reach, clock, fail, report, upstreamOf } = createTestReach(6);
  const sentMs = clock.now();
  fail(3);
  assert.ok(!reach.isCallLost(upstreamOf(0), sentMs));
  report(1);
  assert.ok(reach.isCallLost(upstreamOf(0), sentMs));
  // None of the service's upstreams is reached, so this one is not either.
  assert.ok(reach.isCallLost(upstreamOf(5), sentMs));
  reach.onReceived(upstreamOf(5));
  assert.ok(!reach.isCallLost(upstreamOf(5), sentMs));
  // Other upstreams are reached, but not this one.
  assert.ok(reach.isCallLost(upstreamOf(0), sentMs));
  assert.ok(!reach.isCallLost(upstreamOf(1), sentMs));
});

// Guards against streams that run and count as lost.
test("a call is not lost if its upstream responded before the links failed", () => {
  const { reach, clock, fail, report, upstreamOf } = createTestReach(3);
  const sentMs = clock.now();
  clock.advance(10);
  reach.onReceived(upstreamOf(0));
  fail(3);
  report(3);
  assert.ok(reach.isLost("engines"));
  assert.ok(!reach.isCallLost(upstreamOf(0), sentMs));
  assert.ok(reach.isCallLost(upstreamOf(1), sentMs));
});

// Guards against taking upstreams that crashed for lost links.
test("upstreams that respond to no VM are down", () => {
  const { reach, clock, fail, upstreamOf } = createTestReach(4);
  fail(4);
  clock.advance(REPORTED_MS);
  assert.ok(!reach.isLost("engines"));
  assert.ok(!reach.isLostUpstream(upstreamOf(0)));
});

test("links to half of the upstreams are enough to be lost", () => {
  const { reach, fail, report, upstreamOf } = createTestReach(4);
  fail(2);
  reach.onReceived(upstreamOf(3));
  report(1);
  assert.ok(!reach.isLost("engines"));
  report(2);
  assert.ok(reach.isLost("engines"));
});

// Guards against a service that stays lost after its links are back.
test("lost links are probed, and the first success ends the loss", async () => {
  const { reach, fail, report, probed, setUp, clock } = createTestReach(4);
  fail(4);
  report(4);
  reach.update();
  reach.update();
  assert.equal(probed.length, 1);
  await new Promise((resolve) => setImmediate(resolve));
  assert.ok(reach.isLost("engines"));
  setUp();
  clock.advance(200);
  reach.update();
  await new Promise((resolve) => setImmediate(resolve));
  assert.ok(!reach.isLost("engines"));
});

// Guards against a restarted upstream that gets its full load at once: reports
// right after the failure may be from before its crash.
test("an upstream that no VM reached meanwhile keeps its assumed warm-up", async () => {
  const { reach, registry, clock, setUp, upstreamOf } = createTestReach(2);
  registry.setServices(() => SERVICE);
  const upstream = upstreamOf(0);
  registry.onConnectFailed(upstream, "no connection");
  reach.onConnectFailed(upstream);
  clock.advance(20);
  registry.onPeerReceived(upstream);
  setUp();
  await reach.probeOthers(upstreamOf(1));
  assert.ok(upstream.warmUpUntilMs > clock.now());
  // Later reports show that it has run all the time.
  reach.onConnectFailed(upstream);
  clock.advance(REPORTED_MS);
  registry.onPeerReceived(upstream);
  await reach.probeOthers(upstreamOf(1));
  assert.ok(upstream.warmUpUntilMs <= clock.now());
});

// Guards against probes of upstreams that are slow for all VMs.
test("a service that is silent here only is probed", () => {
  const { reach, registry, clock, probed, upstreamOf } = createTestReach(4);
  reach.onSent(upstreamOf(0));
  clock.advance(400);
  reach.update();
  assert.equal(probed.length, 0);
  registry.onPeerReceived(upstreamOf(1));
  reach.update();
  assert.equal(probed.length, 3);
});

// Guards against lost links that are not noticed for seconds, as other upstreams
// are probed than those that the other VMs use.
test("a service that uses few upstreams is lost as soon as any other", async () => {
  const { reach, registry, clock, setUp, setAnswering, upstreamOf } =
    createTestReach(20);
  setUp();
  setAnswering(false);
  reach.onSent(upstreamOf(0));
  for (let step = 0; step < 7; step++) {
    clock.advance(200);
    registry.onPeerReceived(upstreamOf(7));
    reach.update();
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(reach.isLost("engines"));
});

// Guards against links that accept connections and say nothing, which counted
// as reached.
test("accepted connections without an answer are lost after a second", async () => {
  const { reach, registry, clock, setUp, setAnswering, probed, upstreamOf } =
    createTestReach(4);
  setUp();
  setAnswering(false);
  reach.onSent(upstreamOf(0));
  for (let step = 0; step < 8; step++) {
    clock.advance(200);
    for (let number = 0; number < 4; number++) {
      registry.onPeerReceived(upstreamOf(number));
    }
    reach.update();
    await new Promise((resolve) => setImmediate(resolve));
    if (step < 3) assert.ok(!reach.isLost("engines"));
  }
  assert.ok(reach.isLost("engines"));
  // While it lasts, one upstream is probed each second.
  const count = probed.length;
  for (let step = 0; step < 10; step++) {
    clock.advance(200);
    reach.update();
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(probed.length - count <= 3, `${probed.length - count} probes`);
  setAnswering(true);
  clock.advance(1000);
  reach.update();
  await new Promise((resolve) => setImmediate(resolve));
  assert.ok(!reach.isLost("engines"));
});

test("an upstream that is silent to all VMs is not lost here", async () => {
  const { reach, clock, setUp, setAnswering, upstreamOf } = createTestReach(4);
  setUp();
  setAnswering(false);
  reach.onSent(upstreamOf(0));
  for (let step = 0; step < 15; step++) {
    clock.advance(200);
    reach.update();
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(!reach.isLost("engines"));
});
