import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createVersionHistory } from "./create_version_history.ts";

const WINDOW_MS = 1000;
const OLD = { service: "engines", softwareVersion: "v1" };
const NEW = { service: "engines", softwareVersion: "v2" };

function createTestHistory() {
  const clock = createFakeClock();
  const history = createVersionHistory(clock);
  return {
    clock,
    history,
    only: () => history.onlyVersionOf(["engines"], WINDOW_MS),
  };
}

test("the only version is known once it was observed for the window", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  clock.advance(WINDOW_MS - 1);
  assert.equal(only(), undefined);
  clock.advance(1);
  assert.equal(only(), "v1");
});

test("a version counts for the window after its last upstream has left", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  history.onEntry("b", NEW);
  clock.advance(5 * WINDOW_MS);
  assert.equal(only(), undefined);
  history.onRemoved("a", 200);
  clock.advance(WINDOW_MS + 200);
  assert.equal(only(), undefined);
  clock.advance(1);
  assert.equal(only(), "v2");
});

test("an upstream that restarts with another version leaves its former one", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  clock.advance(2 * WINDOW_MS);
  history.onEntry("a", NEW);
  assert.equal(only(), undefined);
  clock.advance(WINDOW_MS + 1);
  assert.equal(only(), "v2");
});

test("after a gap, the window begins anew", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  clock.advance(2 * WINDOW_MS);
  history.onGap();
  assert.equal(only(), undefined);
  clock.advance(WINDOW_MS);
  assert.equal(only(), "v1");
});

test("the removal of an upstream that was never registered is a gap", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  clock.advance(2 * WINDOW_MS);
  history.onRemoved("unknown", 0);
  assert.equal(only(), undefined);
});

test("several services count as one if all have the same version", () => {
  const { clock, history } = createTestHistory();
  history.onEntry("a", OLD);
  history.onEntry("b", { service: "same", softwareVersion: "v1" });
  history.onEntry("c", { service: "other", softwareVersion: "v2" });
  clock.advance(2 * WINDOW_MS);
  const only = (...services: string[]) =>
    history.onlyVersionOf(services, WINDOW_MS);
  assert.equal(only("engines", "same"), "v1");
  assert.equal(only("engines", "other"), undefined);
});

test("versions of other services do not count", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  history.onEntry("b", { service: "plain", softwareVersion: "v9" });
  clock.advance(2 * WINDOW_MS);
  assert.equal(only(), "v1");
});

// Guards against an entry of another writer that makes every VM forget which
// versions it has observed, each time that it is written or removed.
test("a refused entry leaves the observed versions known", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  clock.advance(WINDOW_MS);
  history.onRefused("odd");
  assert.equal(only(), "v1");
  history.onRefused("odd");
  history.onRemoved("odd", 0);
  assert.equal(only(), "v1");
  history.onRemoved("odd", 0);
  assert.equal(only(), undefined);
});

test("an upstream whose entry is refused counts for the window after it", () => {
  const { clock, history, only } = createTestHistory();
  history.onEntry("a", OLD);
  history.onEntry("b", NEW);
  history.onRefused("b");
  clock.advance(WINDOW_MS);
  assert.equal(only(), undefined);
  clock.advance(1);
  assert.equal(only(), "v1");
  history.onEntry("b", NEW);
  assert.equal(only(), undefined);
});
