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
  return { dataCentre, cachedTokens: 0, reportAgeMs: 100, ...fields };
}

// Load: sessions whose requests come at several data centres in turn.
test("an engine that caches a session is considered wherever it is", () => {
  const engines = [
    engineIn("south", { cachedTokens: 6000 }),
    engineIn("south", { cachedTokens: 2500 }),
    engineIn("east", { cachedTokens: 2499 }),
  ];
  assert.deepEqual(select(engines, { cachedTokens: 2000, isBusy: false }), [
    0,
    1,
  ]);
  assert.deepEqual(select(engines, { cachedTokens: 6000, isBusy: false }), []);
});

// Load: one data centre has more demand than its engines can serve in time.
test("a busy data centre considers a few engines of each other one", () => {
  const engines = [
    ...Array.from({ length: 10 }, () => engineIn("south")),
    ...Array.from({ length: 10 }, () => engineIn("east")),
  ];
  assert.deepEqual(select(engines, { cachedTokens: 0, isBusy: false }), []);
  const selected = select(engines, { cachedTokens: 0, isBusy: true });
  assert.deepEqual(selected, [0, 1, 10, 11]);
});

// Failure: a data centre is cut off, or has no VM that could report.
test("an engine whose load is not known lately is never considered", () => {
  const engines = [
    engineIn("south", { cachedTokens: 9000, reportAgeMs: 1001 }),
    engineIn("east", { cachedTokens: 9000, reportAgeMs: Infinity }),
  ];
  assert.deepEqual(select(engines, { cachedTokens: 0, isBusy: true }), []);
});
