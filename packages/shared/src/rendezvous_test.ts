import assert from "node:assert/strict";
import { test } from "node:test";
import { rankByRendezvous } from "./rendezvous.ts";

test("removing a name moves only the keys that ranked it first", () => {
  const names = ["vm-1", "vm-2", "vm-3", "vm-4"];
  const fewer = names.filter((name) => name !== "vm-3");
  for (let index = 0; index < 200; index++) {
    const before = rankByRendezvous(`key-${index}`, names)[0];
    const after = rankByRendezvous(`key-${index}`, fewer)[0];
    if (before !== "vm-3") assert.equal(after, before);
  }
});

test("the rank does not depend on the order of the names", () => {
  const names = ["a", "b", "c", "d", "e"];
  assert.deepEqual(
    rankByRendezvous("key", names),
    rankByRendezvous("key", [...names].reverse()),
  );
});
