import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouter, type RouterSettings } from "./create_router.ts";
import { createNoopLog } from "./event_log.ts";

const ADDRESS = { host: "127.0.0.1", port: 0 };

const SETTINGS: RouterSettings = {
  vm: "vm-1",
  dataCentre: "north",
  callers: ADDRESS,
  ready: ADDRESS,
  peers: ADDRESS,
  metrics: ADDRESS,
  seeds: [],
  retries: { ratio: 0.2, slack: 50, windowMs: 10_000 },
  leaveMs: 100,
  stopGraceMs: 1000,
  entriesBackMs: 300,
  drainMs: 2000,
  leavingCosts: { callMs: 4, kilobyteMs: 3 },
  reportsLoad: true,
  memoryBytes: 536_870_912,
  maxDescriptors: 4096,
  bodyTimeoutMs: 30_000,
  readerTimeoutMs: 20_000,
  staleMs: 4000,
  isFirstStart: true,
};

function createTestRouter() {
  return createRouter({
    clock: createFakeClock(),
    log: createNoopLog(),
    settings: SETTINGS,
    protocol: {
      readRequest: () => {
        throw new Error("no request is expected");
      },
      callHeaders: () => [],
      readResponse: () => {
        throw new Error("no answer is expected");
      },
    },
    decode: () => undefined,
    source: { start() {}, readNow: () => Promise.resolve(false), stop() {} },
  });
}

test("reload applies seeds and times and returns settings that need a restart", () => {
  const router = createTestRouter();
  const changed = { ...SETTINGS, seeds: ["127.0.0.2"], staleMs: 9000 };
  assert.deepEqual(router.reload(changed), []);
  const moved = { ...changed, callers: { host: "127.0.0.1", port: 9 } };
  assert.deepEqual(router.reload(moved), ["callers"]);
});

test("reload without a change requires no restart", () => {
  assert.deepEqual(createTestRouter().reload({ ...SETTINGS }), []);
});
