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

/** Reference implementation of the queue: a plain list in arrival order. */
function createReferenceQueue(): Pick<
  RequestQueue,
  "add" | "remove" | "takeNext" | "takeExpired" | "takeVictim"
> {
  let waiting: QueuedRequest[] = [];
  /**
   * Grants divided by client weight, by tier and client; `add` raises them to
   * the tier's virtual time.
   */
  const virtualService: Record<string, number> = {};
  /**
   * Highest value so far of the least virtual service among candidates, by
   * tier. Newly queued clients start from at least this value.
   */
  const tierVirtualTime: Record<number, number> = {};
  /** Grants that a class is owed by its floor share. */
  const floorCredit: Record<string, number> = {};
  let grantsSinceFloor = FLOOR_SPACING;
  const keyOf = ({ tier, client }: QueuedRequest) => `${tier} ${client}`;
  const dequeue = (taken: QueuedRequest | undefined) => {
    waiting = waiting.filter((other) => other !== taken);
    return taken;
  };
  const byDeadline = (list: QueuedRequest[]) =>
    list.sort((left, right) => left.deadlineMs - right.deadlineMs);
  return {
    add(added) {
      const key = keyOf(added);
      virtualService[key] = Math.max(
        virtualService[key] ?? 0,
        tierVirtualTime[added.tier] ?? 0,
      );
      waiting.push(added);
    },
    remove: (id) => dequeue(waiting.find((other) => other.id === id)),
    takeNext(canServe) {
      const servable = waiting.filter(canServe);
      if (servable.length === 0) return undefined;
      const shares = new Map(
        servable.map((one) => [one.className, one.floorShare]),
      );
      let dueClass: string | undefined;
      for (const name of [...shares.keys()].sort()) {
        if (
          grantsSinceFloor < FLOOR_SPACING || !(floorCredit[name] >= 1 - 1e-9)
        ) continue;
        if (
          dueClass === undefined || floorCredit[name] > floorCredit[dueClass]
        ) dueClass = name;
      }
      const eligible = servable.filter((one) =>
        !dueClass || one.className === dueClass
      );
      const tier = Math.min(...eligible.map((one) => one.tier));
      const candidates = eligible.filter((one) => one.tier === tier);
      const least = Math.min(
        ...candidates.map((one) => virtualService[keyOf(one)]),
      );
      const next = byDeadline(
        candidates.filter((one) =>
          virtualService[keyOf(one)] <= least + FAIR_LEAD
        ),
      )[0];
      tierVirtualTime[tier] = Math.max(tierVirtualTime[tier] ?? 0, least);
      virtualService[keyOf(next)] += 1 / next.clientWeight;
      let sum = 0;
      for (const share of shares.values()) sum += share;
      for (const [name, share] of shares) {
        floorCredit[name] = (floorCredit[name] ?? 0) + share * scaleFloors(sum);
      }
      floorCredit[next.className] = Math.max(
        0,
        floorCredit[next.className] - 1,
      );
      grantsSinceFloor = dueClass === undefined ? grantsSinceFloor + 1 : 1;
      return dequeue(next);
    },
    takeExpired(nowMs) {
      const expired = waiting.filter((one) => one.deadlineMs <= nowMs);
      for (const one of expired) dequeue(one);
      return byDeadline(expired);
    },
    takeVictim() {
      const evictable = waiting.filter((one) =>
        waiting.filter((other) => other.className === one.className).length >
          RESERVED_PLACES
      );
      const lowest = Math.max(...evictable.map((one) => one.tier));
      return dequeue(evictable.filter((one) => one.tier === lowest).at(-1));
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
const AVOIDED_UPSTREAMS = [[], [], ["runner-1"], ["runner-1", "runner-2"]];
const newRequest = fc.record({
  step: fc.constant("add" as const),
  requestClass: fc.constantFrom(...CLASSES),
  client: fc.constantFrom(...CLIENTS),
  avoid: fc.constantFrom(...AVOIDED_UPSTREAMS),
  deadlineMs: fc.nat(100),
});
const step = fc.oneof(
  { weight: 6, arbitrary: newRequest },
  {
    weight: 4,
    arbitrary: fc.record({
      step: fc.constant("take" as const),
      // Requests whose number of avoided upstreams is in this list stay queued.
      unservableAvoidCounts: fc.subarray([0, 1, 2]),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      step: fc.constant("remove" as const),
      idIndex: fc.nat(),
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

/**
 * Compares the queue with a reference model over random histories. Throws the
 * shrunk history and its seed at the first difference.
 */
export function checkQueue(options: { seed: number; runs: number }): void {
  const histories = fc.array(step, { minLength: 50, maxLength: 300 });
  fc.assert(
    fc.property(histories, (history) => {
      const queue = createRequestQueue();
      const reference = createReferenceQueue();
      const ids: string[] = [];
      for (const action of history) {
        if (action.step === "add") {
          const { requestClass, client, avoid, deadlineMs } = action;
          const added = request({
            ...requestClass,
            ...client,
            avoid,
            deadlineMs,
          });
          ids.push(added.id);
          queue.add(added);
          reference.add(added);
        } else if (action.step === "take") {
          const canServe = ({ avoid }: QueuedRequest) =>
            !action.unservableAvoidCounts.includes(avoid.length);
          const expected = reference.takeNext(canServe);
          assert.equal(queue.takeNext(canServe)?.id, expected?.id);
        } else if (action.step === "remove") {
          const id = ids[action.idIndex % ids.length] ?? "none";
          assert.equal(queue.remove(id)?.id, reference.remove(id)?.id);
        } else if (action.step === "victim") {
          assert.equal(queue.takeVictim()?.id, reference.takeVictim()?.id);
        } else {
          assert.deepEqual(
            queue.takeExpired(action.nowMs),
            reference.takeExpired(action.nowMs),
          );
        }
      }
    }),
    { seed: options.seed, numRuns: options.runs },
  );
}
