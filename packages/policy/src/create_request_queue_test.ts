import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createRequestQueue,
  type RequestQueue,
} from "./create_request_queue.ts";
import {
  FAIR_LEAD,
  FLOOR_SPACING,
  MAX_FLOOR_SUM,
  type QueuedRequest,
  RESERVED_PLACES,
  scaleFloors,
} from "./queued_request.ts";

let nextId = 0;

function request(fields: Partial<QueuedRequest> = {}): QueuedRequest {
  const id = `request-${nextId++}`;
  return {
    id,
    className: "class",
    tier: 1,
    client: "client",
    clientWeight: 1,
    floorShare: 0,
    deadlineMs: 1000,
    arrivedMs: 0,
    avoid: [],
    prefix: "",
    promptTokens: 1,
    fingerprint: id,
    ...fields,
  };
}

function fill(
  queue: RequestQueue,
  count: number,
  fields: Partial<QueuedRequest>,
): void {
  for (let index = 0; index < count; index++) queue.add(request(fields));
}

function takeMany(queue: RequestQueue, count: number): QueuedRequest[] {
  return Array.from({ length: count }, () => queue.takeNext(() => true)!);
}

test("a higher tier goes first when no floor is set", () => {
  const queue = createRequestQueue();
  fill(queue, 20, { tier: 2, className: "low", deadlineMs: 1 });
  fill(queue, 20, { tier: 1, className: "high" });
  const tiers = takeMany(queue, 40).map(({ tier }) => tier);
  assert.deepEqual(tiers, [...tiers].sort());
});

test("each floor is met evenly and all together stay within the bound", () => {
  const queue = createRequestQueue();
  const floors = { a: 0.02, b: 0.1, c: 0.25 };
  const scale = scaleFloors(0.37);
  fill(queue, 2000, { tier: 1, className: "high" });
  for (const [className, floorShare] of Object.entries(floors)) {
    fill(queue, 400, { tier: 3, className, floorShare });
  }
  const taken = takeMany(queue, 1000).map(({ className }) => className);
  for (const [className, share] of Object.entries(floors)) {
    for (let end = 0; end <= taken.length; end += 50) {
      const got = taken.slice(0, end).filter((name) => name === className);
      assert.ok(got.length >= Math.floor(end * share * scale) - 2, className);
    }
  }
  const low = taken.flatMap((name, at) => name === "high" ? [] : [at]);
  assert.ok(low.length <= 1000 * MAX_FLOOR_SUM);
  for (let index = 1; index < low.length; index++) {
    assert.ok(low[index] - low[index - 1] >= FLOOR_SPACING);
  }
});

test("a class whose requests arrive one at a time is not starved", () => {
  const queue = createRequestQueue();
  fill(queue, 400, { tier: 1, className: "high" });
  let served = 0;
  for (let round = 0; round < 10; round++) {
    const rare = request({ tier: 4, className: "rare", floorShare: 0.02 });
    queue.add(rare);
    for (const taken of takeMany(queue, 30)) if (taken === rare) served++;
    queue.remove(rare.id);
  }
  assert.ok(served >= 300 * 0.02 - 2, `${served} grants`);
});

test("a large client does not crowd out the others of its tier", () => {
  const queue = createRequestQueue();
  fill(queue, 500, { client: "large", deadlineMs: 1 });
  fill(queue, 100, { client: "small" });
  fill(queue, 100, { client: "double", clientWeight: 2 });
  const counts = { large: 0, small: 0, double: 0 };
  for (const { client } of takeMany(queue, 120)) {
    counts[client as keyof typeof counts]++;
  }
  const slack = FAIR_LEAD + 1;
  assert.ok(Math.abs(counts.large - counts.small) <= slack);
  assert.ok(Math.abs(counts.double / 2 - counts.small) <= slack);
});

test("the earliest deadline goes first within a client", () => {
  const queue = createRequestQueue();
  for (const deadlineMs of [5, 3, 9, 1]) queue.add(request({ deadlineMs }));
  const deadlines = takeMany(queue, 4).map(({ deadlineMs }) => deadlineMs);
  assert.deepEqual(deadlines, [1, 3, 5, 9]);
});

test("a request that cannot start does not block others", () => {
  const queue = createRequestQueue();
  fill(queue, 3, { avoid: ["runner-1"], deadlineMs: 1 });
  const other = request({ tier: 4, className: "other" });
  queue.add(other);
  assert.equal(queue.takeNext(({ avoid }) => avoid.length === 0), other);
});

test("the lowest tier's newest is refused unless its place is reserved", () => {
  const queue = createRequestQueue();
  fill(queue, RESERVED_PLACES, { tier: 4, className: "lowest" });
  fill(queue, RESERVED_PLACES, { tier: 2, className: "low" });
  fill(queue, RESERVED_PLACES, { tier: 1, className: "high" });
  assert.equal(queue.takeVictim(), undefined);
  assert.equal(queue.boundedSize(), 0);
  const newest = request({ tier: 2, className: "low" });
  queue.add(newest);
  fill(queue, 5, { tier: 1, className: "high" });
  assert.equal(queue.takeVictim(), newest);
  assert.equal(queue.takeVictim()?.className, "high");
});
