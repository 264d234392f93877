import assert from "node:assert/strict";
import { test } from "node:test";
import { checkDepartures } from "./check_departures.ts";

function check(
  arrivedMs: number,
  disruptions: [number, number][] = [],
): number {
  return checkDepartures({
    departures: [{ upstream: "u", leftMs: 10_000 }],
    arrivals: [
      [{ upstream: "u", arrivedMs }],
      [{ upstream: "other", arrivedMs }],
    ],
    disruptions,
    drainMs: 2000,
  }).length;
}

test("a call long after a departure is found", () => {
  assert.equal(check(12_400), 0);
  assert.equal(check(12_600), 1);
});

test("a disruption of the store at that time excuses it", () => {
  assert.equal(check(12_600, [[9000, 9700]]), 0);
  assert.equal(check(12_600, [[11_000, Infinity]]), 0);
  assert.equal(check(12_600, [[5000, 6000]]), 1);
  assert.equal(check(14_000, [[10_500, 10_600]]), 1);
});
