import { createFakeClock, type FakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createFleetView } from "./create_fleet_view.ts";
import type { PlatformReplica } from "./platform_port.ts";
import { watchReplica } from "./watch_replica.ts";

const RETRY_MAX_MS = 8000;

/** Moves the clock in steps and lets waiting tasks run in between. */
async function run(clock: FakeClock, totalMs: number): Promise<void> {
  for (let spentMs = 0; spentMs < totalMs; spentMs += 100) {
    for (let turn = 0; turn < 4; turn++) await setImmediate();
    clock.advance(100);
  }
}

function textOf(service: string): string {
  return JSON.stringify({
    service,
    dataCentres: { north: { region: "r" } },
    clients: { one: { keys: ["0".repeat(64)] } },
    upstreams: {},
    classes: [{ name: "all", tier: 1, firstTokenMs: 1, queueMs: 1 }],
  });
}

/** A replica that answers at once, whether or not there is news. */
function createEagerReplica() {
  const state = {
    revision: 0,
    documents: [] as { key: string; revision: number; text: string }[],
    isDown: false,
    reads: 0,
  };
  const replica: PlatformReplica = {
    name: "eager",
    readDocuments(after) {
      state.reads++;
      if (state.isDown) return Promise.reject(new Error("down"));
      const documents = state.documents.filter((it) => it.revision > after);
      return Promise.resolve({ revision: state.revision, documents });
    },
    readVms(after) {
      state.reads++;
      if (state.isDown) return Promise.reject(new Error("down"));
      const vms = after < 1 ? [] : undefined;
      return Promise.resolve({ revision: 1, vms });
    },
  };
  return { state, replica };
}

test("a counter that went back is not spun on and hides no change", async () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  const { state, replica } = createEagerReplica();
  let stopped = false;
  state.revision = 20;
  state.documents = [
    { key: "a", revision: 20, text: textOf("a") },
    { key: "b", revision: 3, text: textOf("b") },
  ];
  watchReplica(view, replica, {
    clock,
    isWanted: () => true,
    isStopped: () => stopped,
    retryMaxMs: () => RETRY_MAX_MS,
    random: () => 0.5,
  });
  await run(clock, 2000);
  assert.equal(view.revision(), 20);
  // A restore brings the counter to 5; then "b" changes under revision 6.
  state.revision = 5;
  state.documents = [
    { key: "a", revision: 5, text: textOf("older") },
    { key: "b", revision: 3, text: textOf("b") },
  ];
  state.reads = 0;
  await run(clock, 10_000);
  assert.ok(state.reads <= 50, `${state.reads} reads in 10 s`);
  state.revision = 6;
  state.documents.push({ key: "b", revision: 6, text: textOf("newer") });
  await run(clock, 4000);
  assert.equal(view.documents().get("b")?.revision, 6);
  assert.equal(view.documents().get("a")?.revision, 20);
  stopped = true;
});

test("reads at a platform that is down back off", async () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  const { state, replica } = createEagerReplica();
  state.isDown = true;
  let stopped = false;
  watchReplica(view, replica, {
    clock,
    isWanted: () => true,
    isStopped: () => stopped,
    retryMaxMs: () => RETRY_MAX_MS,
    random: () => 0.5,
  });
  await run(clock, 16_000);
  state.reads = 0;
  await run(clock, 10 * RETRY_MAX_MS);
  assert.ok(state.reads <= 2 * 11, `${state.reads} reads`);
  stopped = true;
});
