import {
  createRequestQueue,
  FAIR_LEAD,
  FLOOR_SPACING,
  type QueuedRequest,
  type RequestQueue,
  RESERVED_PLACES,
  scaleFloors,
} from "@rosemarytiller/policy";
import assert from "node:assert/strict";
import fc from "fast-check";

let nextId = 0;

function request(fields: Partial<QueuedRequest>): QueuedRequest {
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

/** Compares the queue with a naive one over random histories. */
export function checkQueue(options: { seed: number; runs: number }): void {
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
    { seed: options.seed, numRuns: options.runs },
  );
}
