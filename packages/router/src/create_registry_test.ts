import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRegistry, runOf } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";
import type { ServiceDefinition, UpstreamEntry } from "./ports.ts";

const SERVICE: ServiceDefinition = {
  name: "engines",
  healthPath: "/health",
  maxConnections: 100,
  warmUpMs: 3000,
  warmUpCallsPerSecond: 18,
  engine: undefined,
};

function entryOf(fields: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    id: "u",
    service: "engines",
    host: "127.0.0.1",
    port: 1,
    dataCentre: "north",
    slots: 8,
    isDraining: false,
    warmUpMs: 0,
    startedMs: undefined,
    softwareVersion: "v1",
    ...fields,
  };
}

function createTestRegistry(clock = createFakeClock(10_000)) {
  const registry = createRegistry({ clock, log: createNoopLog() });
  registry.setServices(() => SERVICE);
  return { clock, registry };
}

test("an unreachable upstream gets no calls for a time, longer each time", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.onConnectFailed(registry.find("u")!, "test");
  assert.equal(registry.eligible("engines").length, 0);
  clock.advance(260);
  assert.equal(registry.eligible("engines").length, 1);
  registry.onConnectFailed(registry.find("u")!, "test");
  clock.advance(260);
  assert.equal(registry.eligible("engines").length, 0);
});

test("an upstream that restarts with the same identifier has no cached parts", () => {
  const { registry } = createTestRegistry();
  registry.set("u", entryOf({ startedMs: 1 }));
  const work = { urgency: 0, newTokens: 9, memoryTokens: 9, maxPauseMs: 800 };
  registry.find("u")!.model.start("a", work, {
    nowMs: 0,
    parts: [{ id: "part", tokens: 9 }],
  });
  registry.set("u", entryOf({ startedMs: 2 }));
  const { model } = registry.find("u")!;
  assert.equal(model.cachedTokens([{ id: "part", tokens: 9 }]), 0);
});

test("an upstream whose entry expired is kept for a time, then removed", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.remove("u", { keepMs: 2000 });
  assert.equal(registry.eligible("engines").length, 1);
  clock.advance(2001);
  assert.equal(registry.eligible("engines").length, 0);
});

test("an upstream whose expired entry is registered again is kept", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.remove("u", { keepMs: 2000 });
  registry.set("u", entryOf());
  clock.advance(5000);
  assert.equal(registry.eligible("engines").length, 1);
});

test("a data centre out of service gets no calls; back, its upstreams warm up", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.setDataCentre("north", true);
  assert.equal(registry.eligible("engines").length, 0);
  registry.setDataCentre("north", false);
  assert.equal(registry.eligible("engines").length, 1);
  assert.ok(registry.find("u")!.warmUpUntilMs > clock.now());
});

test("a data centre that is put back after a time gets no calls until then", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.setDataCentre("north", true);
  registry.setDataCentre("north", false, 2000);
  assert.equal(registry.eligible("engines").length, 0);
  clock.advance(1999);
  assert.equal(registry.eligible("engines").length, 0);
  clock.advance(1);
  assert.equal(registry.eligible("engines").length, 1);
  assert.ok(registry.find("u")!.warmUpUntilMs > clock.now());
});

test("a data centre listed as out again is not put back by an earlier removal", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.setDataCentre("north", true);
  registry.setDataCentre("north", false, 2000);
  registry.setDataCentre("north", true);
  clock.advance(60_000);
  assert.equal(registry.eligible("engines").length, 0);
});

test("lost responses: a stalled upstream does not go into warm-up", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.onStalled(registry.find("u")!);
  assert.equal(registry.eligible("engines").length, 0);
  assert.ok(registry.find("u")!.warmUpUntilMs <= clock.now());
});

// Guards against taking a healthy upstream out of use for its silence.
test("a silent upstream stays eligible at the highest cost until it sends data", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  const upstream = registry.find("u")!;
  registry.onSilent(upstream);
  assert.equal(registry.eligible("engines").length, 1);
  assert.equal(registry.failureShare(upstream), 1);
  registry.onReceived(upstream);
  assert.equal(registry.failureShare(upstream), 0);
  registry.onSilent(upstream);
  registry.onPeerReceived(upstream);
  assert.equal(registry.failureShare(upstream), 0);
  registry.onSilent(upstream);
  clock.advance(1500);
  assert.equal(registry.failureShare(upstream), 0);
});

test("a paused upstream gets no calls for the time, at most 30 s", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  const upstream = registry.find("u")!;
  registry.onPauseRequested(upstream, 700);
  // A shorter pause does not end a longer one.
  registry.onPauseRequested(upstream, 100);
  clock.advance(699);
  assert.equal(registry.eligible("engines").length, 0);
  clock.advance(1);
  assert.equal(registry.eligible("engines").length, 1);
  registry.onPauseRequested(upstream, Infinity);
  clock.advance(29_999);
  assert.equal(registry.eligible("engines").length, 0);
  clock.advance(1);
  assert.equal(registry.eligible("engines").length, 1);
});

test("calls return after a pause one at first, twice as many per success", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  const upstream = registry.find("u")!;
  /** Starts as many calls as the upstream admits, at most 100. */
  const startAll = () => {
    const ends = [];
    while (ends.length < 100 && registry.canAdmitAfterPause(upstream)) {
      ends.push(registry.startReturningCall(upstream));
    }
    return ends;
  };
  assert.equal(startAll().length, 100);
  registry.onPauseRequested(upstream, 500);
  clock.advance(500);
  const [first, ...others] = startAll();
  assert.equal(others.length, 0);
  first!(true);
  const second = startAll();
  assert.equal(second.length, 2);
  second[0]!(false);
  assert.equal(startAll().length, 1);
  registry.onPauseRequested(upstream, 500);
  clock.advance(500);
  second[1]!(true);
  assert.equal(startAll().length, 1);
  clock.advance(2000);
  assert.equal(startAll().length, 100);
});

test("the earliest return is known while all usable upstreams are paused", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.set("v", entryOf({ id: "v" }));
  registry.set("w", entryOf({ id: "w", isDraining: true }));
  registry.onPauseRequested(registry.find("u")!, 900);
  assert.equal(registry.earliestReturnMs("engines"), undefined);
  registry.onPauseRequested(registry.find("v")!, 700);
  assert.equal(registry.earliestReturnMs("engines"), clock.now() + 700);
});

test("a leaving upstream gets no calls until its entry is that of another run", () => {
  const { clock, registry } = createTestRegistry();
  const leaving = { run: runOf(entryOf({ startedMs: 1 })), from: "vm" };
  registry.set("u", entryOf({ startedMs: 1 }));
  assert.equal(registry.onLeaving("u", leaving), true);
  assert.equal(registry.onLeaving("u", leaving), false);
  clock.advance(3_600_000);
  assert.equal(registry.eligible("engines").length, 0);
  registry.remove("u", { keepMs: 0 });
  registry.set("u", entryOf({ startedMs: 1 }));
  assert.equal(registry.eligible("engines").length, 0);
  registry.set("u", entryOf({ startedMs: 2 }));
  assert.equal(registry.eligible("engines").length, 1);
});

// Guards against taking out a restarted upstream by news of the run before.
test("late news that an earlier run leaves does not concern the current one", () => {
  const { registry } = createTestRegistry();
  const leaving = { run: runOf(entryOf({ startedMs: 1 })), from: "vm" };
  registry.set("u", entryOf({ startedMs: 2 }));
  assert.equal(registry.onLeaving("u", leaving), false);
  assert.equal(registry.eligible("engines").length, 1);
});

test("news that an upstream leaves counts if its entry arrives later", () => {
  const { registry } = createTestRegistry();
  const leaving = { run: runOf(entryOf({ startedMs: 1 })), from: "vm" };
  registry.onLeaving("u", leaving);
  registry.set("u", entryOf({ startedMs: 1 }));
  assert.equal(registry.eligible("engines").length, 0);
});

// Guards against a warm-up of upstreams that have not restarted, after this VM
// lost its links to them.
test("an upstream whose links are back needs no warm-up", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  const upstream = registry.find("u")!;
  registry.onConnectFailed(upstream, "no connection");
  assert.ok(upstream.warmUpUntilMs > clock.now());
  clock.advance(100);
  registry.onLinkRegained(upstream);
  assert.ok(upstream.warmUpUntilMs <= clock.now());
  assert.equal(registry.eligible("engines").length, 1);
});

test("bytes on a connection from before the failure end an assumed warm-up", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  const upstream = registry.find("u")!;
  const openedMs = clock.now();
  clock.advance(100);
  registry.onConnectFailed(upstream, "no connection");
  registry.onReceived(upstream, openedMs);
  assert.ok(upstream.warmUpUntilMs <= clock.now());
});

// Guards against a restarted upstream that gets its full load at once.
test("bytes on a connection from after the failure leave an assumed warm-up", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  const upstream = registry.find("u")!;
  registry.onConnectFailed(upstream, "no connection");
  clock.advance(100);
  registry.onReceived(upstream, clock.now());
  assert.ok(upstream.warmUpUntilMs > clock.now());
});
