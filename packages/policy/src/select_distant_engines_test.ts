import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type DistantEngine,
  type LocalOffer,
  selectDistantEngines,
} from "./select_distant_engines.ts";

function select(engines: DistantEngine[], local: LocalOffer): number[] {
  const selected = selectDistantEngines(engines, {
    local,
    maxReportAgeMs: 1000,
    random: () => 0,
  });
  return selected.map((engine) => engines.indexOf(engine));
}

function engineIn(
  dataCentre: string,
  fields: Partial<DistantEngine> = {},
): DistantEngine {
  return { dataCentre, hasSession: false, reportAgeMs: 100, ...fields };
}

// Load: sessions whose requests come at several data centres in turn.
test("an engine that caches a session is considered wherever it is", () => {
  const engines = [
    engineIn("south", { hasSession: true }),
    engineIn("south"),
    engineIn("east", { hasSession: true }),
  ];
  assert.deepEqual(select(engines, { hasSession: false, isBusy: false }), [
    0,
    2,
  ]);
  assert.deepEqual(select(engines, { hasSession: true, isBusy: false }), []);
});

// Load: one data centre has more demand than its engines can serve in time.
test("a busy data centre considers a few engines of each other one", () => {
  const engines = [
    ...Array.from({ length: 10 }, () => engineIn("south")),
    ...Array.from({ length: 10 }, () => engineIn("east")),
  ];
  assert.deepEqual(select(engines, { hasSession: false, isBusy: false }), []);
  const selected = select(engines, { hasSession: false, isBusy: true });
  assert.deepEqual(selected, [0, 1, 10, 11]);
});

// Failure: a data centre is cut off, or has no VM that could report.
test("an engine whose load is not known lately is never considered", () => {
  const engines = [
    engineIn("south", { hasSession: true, reportAgeMs: 1001 }),
    engineIn("east", { hasSession: true, reportAgeMs: Infinity }),
  ];
  assert.deepEqual(select(engines, { hasSession: false, isBusy: true }), []);
});
