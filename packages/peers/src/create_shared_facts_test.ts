import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createSharedFacts,
  MAX_SHARED_FACTS,
  type SharedFact,
} from "./create_shared_facts.ts";

function createTestFacts() {
  let nowMs = 0;
  const known = new Set<string>();
  const published: SharedFact[] = [];
  const facts = createSharedFacts({
    now: () => nowMs,
    publish: (fact) => void published.push(fact),
    onAdded: ([name]) => void known.add(name!),
    onRemoved: ([name]) => void known.delete(name!),
  });
  return {
    facts,
    known,
    published,
    advance(ms: number) {
      nowMs += ms;
      facts.expire();
    },
  };
}

test("a new fact is published once and expires", () => {
  const { facts, known, published, advance } = createTestFacts();
  facts.add(["a"], 1000);
  facts.add(["a"], 1000);
  facts.merge([{ values: ["b"], remainingMs: 500 }], "peer");
  assert.deepEqual(published, [{ values: ["a"], remainingMs: 1000 }]);
  advance(600);
  assert.deepEqual([...known], ["a"]);
  advance(600);
  assert.deepEqual([...known], []);
  assert.equal(facts.digest(), 0);
});

test("a prolonged fact keeps its longer lifetime", () => {
  const { facts, known, advance } = createTestFacts();
  facts.add(["a"], 1000);
  facts.prolong(["a"], 5000);
  facts.merge([{ values: ["a"], remainingMs: 100 }], "peer");
  advance(4000);
  assert.deepEqual([...known], ["a"]);
});

// Guards against VMs that stay different after losses: merges in any order,
// with repetitions, have to end in the same facts and the same digest.
test("VMs that merged the same facts know the same, in any order", () => {
  const names = fc.uniqueArray(
    fc.string({ minLength: 1, maxLength: 4 }),
  );
  const orders = names.chain((list) =>
    fc.tuple(
      fc.constant(list),
      fc.shuffledSubarray([...list, ...list], { minLength: list.length * 2 }),
    )
  );
  fc.assert(fc.property(orders, ([first, second]) => {
    const one = createTestFacts();
    const other = createTestFacts();
    for (const name of first) one.facts.add([name], 1000);
    const received = second.map((name) => ({
      values: [name],
      remainingMs: 900,
    }));
    other.facts.merge(received, "peer");
    assert.deepEqual([...other.known].sort(), [...one.known].sort());
    assert.equal(other.facts.digest(), one.facts.digest());
    const restarted = createTestFacts();
    restarted.facts.merge(one.facts.list(), "peer");
    assert.equal(restarted.facts.digest(), one.facts.digest());
  }));
});

test("the number of facts is bounded; those that expire first are dropped", () => {
  const { facts, known } = createTestFacts();
  for (let number = 0; number <= MAX_SHARED_FACTS; number++) {
    facts.add([`fact-${number}`], 1000 + number);
  }
  assert.equal(known.size, MAX_SHARED_FACTS);
  assert.equal(known.has("fact-0"), false);
  assert.equal(facts.droppedCount(), 1);
});
