import type { Member } from "@rosemarytiller/peers";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createOverflow } from "./create_overflow.ts";
import type { Upstream } from "./create_registry.ts";

/**
 * A VM in "north", whose callers request 1000 tokens a second, with members that
 * report the given demand, and engines in these data centres.
 */
function createTestOverflow(options: {
  members: [dataCentre: string, demand: number | undefined][];
  engines: string[];
}) {
  const { members, engines } = options;
  const clock = createFakeClock(10_000);
  let heartbeatMs = 0;
  let position = 0;
  const overflow = createOverflow({
    clock,
    dataCentre: "north",
    random: () => position,
    registry: {
      eligible: () =>
        engines.map((dataCentre) => ({
          entry: { dataCentre },
          warmUpUntilMs: 0,
        } as Upstream)),
    },
    network: {
      isLargeFleet: () => true,
      reachableMembers: () =>
        members.map(([dataCentre, demand]) => ({
          dataCentre,
          heartbeatMs: heartbeatMs++,
          heartbeat: {
            demand: demand === undefined
              ? undefined
              : [["engines", demand, demand]],
          },
        } as Member)),
    },
  });
  for (let second = 0; second < 300; second++) {
    overflow.onRequest("engines", 1000);
    clock.advance(1000);
  }
  /** Share of 1000 requests that may go to each other data centre. */
  function draw(): Record<string, number> {
    const shares: Record<string, number> = {};
    for (let drawn = 0; drawn < 1000; drawn++) {
      position = drawn / 1000;
      const name = overflow.drawDataCentre("engines");
      if (name) shares[name] = (shares[name] ?? 0) + 0.001;
    }
    return shares;
  }
  return { overflow, draw };
}

test("the demand of requests is reported in tokens a second", () => {
  const { overflow } = createTestOverflow({ members: [], engines: [] });
  const [[service, demand]] = overflow.demand() as [[string, number, number]];
  assert.equal(service, "engines");
  assert.ok(Math.abs(demand - 1000) < 200, `${demand}`);
});

test("the excess demand of a data centre may go where there is less", () => {
  const { draw } = createTestOverflow({
    members: [["south", 500], ["east", 1000]],
    engines: ["north", "south", "east"],
  });
  const { south = 0, east = 0 } = draw();
  assert.ok(south > 0.02 && south < 0.3, `${south}`);
  assert.ok(east < 0.05, `${east}`);
});

test("a data centre that has lost its engines passes on most requests", () => {
  const { draw } = createTestOverflow({
    members: [["south", 1000]],
    engines: ["north", ...Array.from({ length: 9 }, () => "south")],
  });
  assert.ok(Math.abs(draw().south! - 0.8) < 0.05);
});

test("VMs of this data centre without a report count like the others", () => {
  const { overflow } = createTestOverflow({
    members: [["north", 500], ["north", undefined], ["south", undefined]],
    engines: ["north", "south"],
  });
  const [[, own, all]] = overflow.demand() as [[string, number, number]];
  assert.ok(Math.abs(all - (own + 500) * 3 / 2) < 2, `${own} of ${all}`);
});

test("nothing goes to a data centre of unknown demand", () => {
  const { draw } = createTestOverflow({
    members: [["south", 1000], ["west", undefined]],
    engines: ["north", "south", "west"],
  });
  assert.deepEqual(draw(), {});
});

test("the latest report of a data centre counts", () => {
  const { draw } = createTestOverflow({
    members: [["south", 100], ["south", 1000]],
    engines: ["north", "south"],
  });
  assert.deepEqual(draw(), {});
});
