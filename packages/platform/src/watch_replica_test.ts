import { createFakeClock, type FakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createFleetView } from "./create_fleet_view.ts";
import type { PlatformReplica } from "./platform_port.ts";
import { watchReplica } from "./watch_replica.ts";

const RETRY_MAX_MS = 8000;

/** Advances the clock in steps of 100 ms and runs pending tasks in between. */
async function advance(clock: FakeClock, totalMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < totalMs; elapsedMs += 100) {
    for (let round = 0; round < 4; round++) await setImmediate();
    clock.advance(100);
  }
}

function createDocumentText(service: string): string {
  return JSON.stringify({
    service,
    dataCentres: { north: { region: "r" } },
    clients: { one: { keys: ["0".repeat(64)] } },
    upstreams: {},
    classes: [{ name: "all", tier: 1, firstTokenMs: 1, queueMs: 1 }],
  });
}

/** A replica that responds at once, also when nothing has changed. */
function createImmediateReplica() {
  const state = {
    revision: 0,
    documents: [] as { key: string; revision: number; text: string }[],
    isDown: false,
    reads: 0,
  };
  const replica: PlatformReplica = {
    name: "immediate",
    readDocuments(after) {
      state.reads++;
      if (state.isDown) return Promise.reject(new Error("down"));
      const documents = state.documents.filter(
        (document) => document.revision > after,
      );
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

test("a revision rollback causes no busy loop and no missed change", async () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  const { state, replica } = createImmediateReplica();
  let stopped = false;
  state.revision = 20;
  state.documents = [
    { key: "a", revision: 20, text: createDocumentText("a") },
    { key: "b", revision: 3, text: createDocumentText("b") },
  ];
  watchReplica(view, replica, {
    clock,
    shouldWatch: () => true,
    isStopped: () => stopped,
    retryMaxMs: () => RETRY_MAX_MS,
    random: () => 0.5,
  });
  await advance(clock, 2000);
  assert.equal(view.revision(), 20);
  // A restore resets the counter to 5; then "b" changes as revision 6.
  state.revision = 5;
  state.documents = [
    { key: "a", revision: 5, text: createDocumentText("older") },
    { key: "b", revision: 3, text: createDocumentText("b") },
  ];
  state.reads = 0;
  await advance(clock, 10_000);
  assert.ok(state.reads <= 50, `${state.reads} reads in 10 s`);
  state.revision = 6;
  state.documents.push({
    key: "b",
    revision: 6,
    text: createDocumentText("newer"),
  });
  await advance(clock, 4000);
  assert.equal(view.documents().get("b")?.revision, 6);
  assert.equal(view.documents().get("a")?.revision, 20);
  stopped = true;
});

test("reads back off while the platform is down", async () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  const { state, replica } = createImmediateReplica();
  state.isDown = true;
  let stopped = false;
  watchReplica(view, replica, {
    clock,
    shouldWatch: () => true,
    isStopped: () => stopped,
    retryMaxMs: () => RETRY_MAX_MS,
    random: () => 0.5,
  });
  await advance(clock, 16_000);
  state.reads = 0;
  await advance(clock, 10 * RETRY_MAX_MS);
  assert.ok(state.reads <= 2 * 11, `${state.reads} reads`);
  stopped = true;
});
