import assert from "node:assert/strict";
import { test } from "node:test";
import { type DataCentreLoad, overflowShares } from "./overflow_shares.ts";

/** Demand for each unit of capacity after all have passed on their shares. */
function balance(loads: readonly DataCentreLoad[]): number[] {
  const demand = new Map(loads.map((load) => [load.dataCentre, load.demand]));
  for (const { dataCentre, demand: own } of loads) {
    for (const [other, share] of overflowShares(dataCentre, loads)) {
      demand.set(dataCentre, demand.get(dataCentre)! - share * own);
      demand.set(other, demand.get(other)! + share * own);
    }
  }
  return loads.map(({ dataCentre, capacity }) =>
    demand.get(dataCentre)! / capacity
  );
}

// Guards against clients who are served less because their data centre has more
// demand for each engine than the others.
test("overload in one data centre: uneven demand for each engine is evened out", () => {
  const loads = [
    { dataCentre: "a", demand: 136, capacity: 11 },
    { dataCentre: "b", demand: 111, capacity: 10 },
    { dataCentre: "c", demand: 110, capacity: 11 },
    { dataCentre: "d", demand: 133, capacity: 10 },
  ];
  for (const perEngine of balance(loads)) {
    assert.ok(Math.abs(perEngine - 490 / 42) < 0.01, `${perEngine}`);
  }
});

test("a data centre with one engine left passes on what that cannot take", () => {
  const loads = [
    { dataCentre: "a", demand: 100, capacity: 1 },
    { dataCentre: "b", demand: 100, capacity: 10 },
    { dataCentre: "c", demand: 100, capacity: 10 },
  ];
  for (const perEngine of balance(loads)) {
    assert.ok(Math.abs(perEngine - 300 / 21) < 0.01, `${perEngine}`);
  }
});

test("even demand and small differences stay where they are", () => {
  const loads = [
    { dataCentre: "a", demand: 101, capacity: 10 },
    { dataCentre: "b", demand: 99, capacity: 10 },
  ];
  assert.equal(overflowShares("a", loads).size, 0);
  assert.equal(overflowShares("b", loads).size, 0);
});

test("without demand, capacity or knowledge nothing is passed on", () => {
  const loads = [
    { dataCentre: "a", demand: 0, capacity: 1 },
    { dataCentre: "b", demand: 0, capacity: 1 },
  ];
  assert.equal(overflowShares("a", loads).size, 0);
  assert.equal(overflowShares("z", loads).size, 0);
  assert.equal(overflowShares("a", []).size, 0);
});
