import assert from "node:assert/strict";
import { test } from "node:test";
import process from "node:process";
import fc from "fast-check";
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

const SEED = Number(process.env.SEED ?? 20_261_203);
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

test("each floor is met, evenly, and never beyond the bound", () => {
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

test("a class whose requests come one at a time is not starved", () => {
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

test("the earliest deadline goes first inside a client", () => {
  const queue = createRequestQueue();
  for (const deadlineMs of [5, 3, 9, 1]) queue.add(request({ deadlineMs }));
  const deadlines = takeMany(queue, 4).map(({ deadlineMs }) => deadlineMs);
  assert.deepEqual(deadlines, [1, 3, 5, 9]);
});

test("a request that cannot start does not hold up the others", () => {
  const queue = createRequestQueue();
  fill(queue, 3, { avoid: ["runner-1"], deadlineMs: 1 });
  const other = request({ tier: 4, className: "other" });
  queue.add(other);
  assert.equal(queue.takeNext(({ avoid }) => avoid.length === 0), other);
});

test("the lowest tier's newest gives way, reserved places never", () => {
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

/** The contract written down over a plain list. */
function createNaiveQueue(): Pick<
  RequestQueue,
  "add" | "remove" | "takeNext" | "takeExpired" | "takeVictim"
> {
  let waiting: QueuedRequest[] = [];
  const served: Record<string, number> = {};
  const start: Record<number, number> = {};
  const owed: Record<string, number> = {};
  let sinceFloor = FLOOR_SPACING;
  const keyOf = ({ tier, client }: QueuedRequest) => `${tier} ${client}`;
  const take = (taken: QueuedRequest | undefined) => {
    waiting = waiting.filter((other) => other !== taken);
    return taken;
  };
  const byDeadline = (list: QueuedRequest[]) =>
    list.sort((left, right) => left.deadlineMs - right.deadlineMs);
  return {
    add(added) {
      const key = keyOf(added);
      served[key] = Math.max(served[key] ?? 0, start[added.tier] ?? 0);
      waiting.push(added);
    },
    remove: (id) => take(waiting.find((other) => other.id === id)),
    takeNext(canServe) {
      const open = waiting.filter(canServe);
      if (open.length === 0) return undefined;
      const shares = new Map(
        open.map((one) => [one.className, one.floorShare]),
      );
      let due: string | undefined;
      for (const name of [...shares.keys()].sort()) {
        if (sinceFloor < FLOOR_SPACING || !(owed[name] >= 1 - 1e-9)) continue;
        if (due === undefined || owed[name] > owed[due]) due = name;
      }
      const group = open.filter((one) => !due || one.className === due);
      const tier = Math.min(...group.map((one) => one.tier));
      const rivals = group.filter((one) => one.tier === tier);
      const least = Math.min(...rivals.map((one) => served[keyOf(one)]));
      const next = byDeadline(
        rivals.filter((one) => served[keyOf(one)] <= least + FAIR_LEAD),
      )[0];
      start[tier] = Math.max(start[tier] ?? 0, least);
      served[keyOf(next)] += 1 / next.clientWeight;
      let sum = 0;
      for (const share of shares.values()) sum += share;
      for (const [name, share] of shares) {
        owed[name] = (owed[name] ?? 0) + share * scaleFloors(sum);
      }
      owed[next.className] = Math.max(0, owed[next.className] - 1);
      sinceFloor = due === undefined ? sinceFloor + 1 : 1;
      return take(next);
    },
    takeExpired(nowMs) {
      const expired = waiting.filter((one) => one.deadlineMs <= nowMs);
      for (const one of expired) take(one);
      return byDeadline(expired);
    },
    takeVictim() {
      const spare = waiting.filter((one) =>
        waiting.filter((other) => other.className === one.className).length >
          RESERVED_PLACES
      );
      const lowest = Math.max(...spare.map((one) => one.tier));
      return take(spare.filter((one) => one.tier === lowest).at(-1));
    },
  };
}

const CLASSES = [
  { className: "a", tier: 1, floorShare: 0.02 },
  { className: "b", tier: 1, floorShare: 0.125 },
  { className: "c", tier: 2, floorShare: 0.25 },
  { className: "d", tier: 4, floorShare: 0.0625 },
];
const CLIENTS = [
  { client: "x", clientWeight: 1 },
  { client: "y", clientWeight: 2 },
  { client: "z", clientWeight: 0.5 },
];
const AVOIDS = [[], [], ["runner-1"], ["runner-1", "runner-2"]];
const newRequest = fc.record({
  step: fc.constant("add" as const),
  kind: fc.constantFrom(...CLASSES),
  client: fc.constantFrom(...CLIENTS),
  avoid: fc.constantFrom(...AVOIDS),
  deadlineMs: fc.nat(100),
});
const step = fc.oneof(
  { weight: 6, arbitrary: newRequest },
  {
    weight: 4,
    arbitrary: fc.record({
      step: fc.constant("take" as const),
      full: fc.subarray([0, 1, 2]),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      step: fc.constant("remove" as const),
      at: fc.nat(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ step: fc.constant("victim" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      step: fc.constant("expire" as const),
      nowMs: fc.nat(8),
    }),
  },
);

test(`the queue agrees with the naive one (seed ${SEED})`, () => {
  const histories = fc.array(step, { minLength: 50, maxLength: 300 });
  fc.assert(
    fc.property(histories, (history) => {
      const queue = createRequestQueue();
      const naive = createNaiveQueue();
      const ids: string[] = [];
      for (const action of history) {
        if (action.step === "add") {
          const { kind, client, avoid, deadlineMs } = action;
          const added = request({ ...kind, ...client, avoid, deadlineMs });
          ids.push(added.id);
          queue.add(added);
          naive.add(added);
        } else if (action.step === "take") {
          const canServe = ({ avoid }: QueuedRequest) =>
            !action.full.includes(avoid.length);
          const expected = naive.takeNext(canServe);
          assert.equal(queue.takeNext(canServe)?.id, expected?.id);
        } else if (action.step === "remove") {
          const id = ids[action.at % ids.length] ?? "none";
          assert.equal(queue.remove(id)?.id, naive.remove(id)?.id);
        } else if (action.step === "victim") {
          assert.equal(queue.takeVictim()?.id, naive.takeVictim()?.id);
        } else {
          assert.deepEqual(
            queue.takeExpired(action.nowMs),
            naive.takeExpired(action.nowMs),
          );
        }
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
