import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createPublishedItems } from "./create_published_items.ts";

function item(key: string, revision: number, text?: string) {
  const value = text === undefined ? undefined : new TextEncoder().encode(text);
  return { key, revision, value };
}

function changes(
  head: number,
  items: ReturnType<typeof item>[],
  isWhole = false,
) {
  return { head, isWhole, items };
}

test("an item never returns to an earlier revision", () => {
  const published = createPublishedItems();
  published.apply(changes(5, [item("a", 5, "new")]));
  assert.deepEqual(published.apply(changes(3, [item("a", 3, "old")])), []);
  assert.equal(published.head(), 5);
});

test("a late change does not restore a removed item", () => {
  const published = createPublishedItems();
  published.apply(changes(4, [item("a", 4, "text")]));
  published.apply(changes(6, [item("a", 6)]));
  assert.deepEqual(published.apply(changes(5, [item("a", 4, "text")])), []);
});

test("a complete state removes items that it lacks", () => {
  const published = createPublishedItems();
  published.apply(changes(4, [item("a", 3, "x"), item("b", 4, "y")]));
  const changed = published.apply(changes(9, [item("b", 4, "y")], true));
  assert.deepEqual(changed.map(({ key, value }) => [key, value]), [[
    "a",
    undefined,
  ]]);
});

test("a complete state keeps items of later revisions", () => {
  const published = createPublishedItems();
  published.apply(changes(12, [item("late", 12, "x")]));
  published.apply(changes(9, [], true));
  assert.deepEqual(
    published.since(0).items.map(({ key }) => key),
    ["late"],
  );
});

test("since returns the changes after a revision, removals included", () => {
  const published = createPublishedItems();
  published.apply(changes(4, [item("a", 3, "x"), item("b", 4, "y")]));
  published.apply(changes(6, [item("a", 6)]));
  const { head, isWhole, items } = published.since(4);
  assert.deepEqual([head, isWhole], [6, false]);
  assert.deepEqual(items.map(({ key }) => key), ["a"]);
});

test("since returns the complete state if removals were dropped", () => {
  const published = createPublishedItems();
  for (let number = 1; number <= 3000; number++) {
    published.apply(changes(2 * number, [
      item(`key-${number}`, 2 * number - 1, "x"),
      item(`key-${number}`, 2 * number),
    ]));
  }
  assert.equal(published.since(1).isWhole, true);
  assert.equal(published.since(5990).isWhole, false);
});

/** A step: a write of a key, or a VM that reads the platform or another VM. */
const step = fc.oneof(
  fc.record({ key: fc.constantFrom("a", "b", "c"), isRemoval: fc.boolean() }),
  fc.record({ reader: fc.nat(3), from: fc.nat(4), isWhole: fc.boolean() }),
);

test("VMs converge without regressing, whatever the order of exchanges", () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const platform = createPublishedItems();
      const vms = [1, 2, 3, 4].map(() => createPublishedItems());
      const seen = vms.map(() => new Map<string, number>());
      let revision = 0;
      const exchange = (reader: number, source: number, isWhole: boolean) => {
        const from = [platform, ...vms][source]!;
        const vm = vms[reader]!;
        const after = isWhole ? 0 : vm.head();
        for (const { key, revision } of vm.apply(from.since(after))) {
          assert.ok(revision > (seen[reader]!.get(key) ?? 0));
          seen[reader]!.set(key, revision);
        }
      };
      for (const next of steps) {
        if ("key" in next) {
          const text = next.isRemoval ? undefined : `text-${revision}`;
          platform.apply(changes(revision + 1, [
            item(next.key, ++revision, text),
          ]));
        } else exchange(next.reader, next.from, next.isWhole);
      }
      for (const reader of vms.keys()) exchange(reader, 0, false);
      const live = (state: typeof platform) =>
        state.since(0).items.map(({ key, revision }) => `${key}@${revision}`)
          .sort();
      for (const vm of vms) assert.deepEqual(live(vm), live(platform));
    }),
    { seed: 7, numRuns: 500 },
  );
});
