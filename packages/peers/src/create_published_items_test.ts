import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  comparePositions,
  createPublishedItems,
  type PublishedChanges,
} from "./create_published_items.ts";

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

// Guards against a VM that keeps a removed item for ever because the peer from
// which it pulls read the complete state and never knew that item.
test("a complete state leaves no earlier removal out of later changes", () => {
  const reader = createPublishedItems();
  reader.apply(changes(3, [item("a", 3, "x")]));
  const behind = createPublishedItems();
  behind.apply(changes(4, [item("a", 3, "x"), item("b", 4, "y")]));
  // The item "b" was removed at revision 5.
  reader.apply(changes(6, [item("a", 3, "x")], true));
  const changed = behind.apply(reader.since(behind.head()));
  assert.deepEqual(changed.map(({ key, value }) => [key, value]), [[
    "b",
    undefined,
  ]]);
});

/** Changes as read from a store of the given era. */
function inEra(era: number, read: ReturnType<typeof changes>) {
  return { ...read, era };
}

// Guards against a VM that keeps what a platform lost when it was restored from
// an older copy, as the restored state has lower revisions.
test("a newer era replaces the state, also at lower revisions", () => {
  const published = createPublishedItems();
  published.apply(inEra(
    1,
    changes(9, [
      item("kept", 2, "x"),
      item("older", 8, "new"),
      item("lost", 9, "y"),
    ], true),
  ));
  const restored = [item("kept", 2, "x"), item("older", 3, "old")];
  const changed = published.apply(inEra(2, changes(4, restored, true)));
  assert.deepEqual(
    changed.map(({ key, revision, value }) => [key, revision, !value]),
    [["older", 3, false], ["lost", 4, true]],
  );
  assert.deepEqual(published.position(), { era: 2, revision: 4 });
});

// Guards against a peer that was cut off during a restore and brings back what
// the platform lost, at revisions above those of the restored state.
test("an older era never overwrites a newer one", () => {
  const published = createPublishedItems();
  published.apply(inEra(2, changes(4, [item("a", 3, "restored")], true)));
  for (const isWhole of [false, true]) {
    const older = inEra(1, changes(90, [item("a", 80, "lost")], isWhole));
    assert.deepEqual(published.apply(older), []);
  }
  // A VM of an older version sends no era.
  assert.deepEqual(published.apply(changes(90, [item("b", 81, "x")])), []);
  assert.deepEqual(published.position(), { era: 2, revision: 4 });
});

test("changes of a newer era need its complete state first", () => {
  const published = createPublishedItems();
  published.apply(inEra(1, changes(4, [item("a", 3, "x")], true)));
  const push = inEra(2, changes(9, [item("b", 9, "y")]));
  assert.deepEqual(published.apply(push), []);
  assert.deepEqual(published.position(), { era: 1, revision: 4 });
});

test("since returns the complete state for another era", () => {
  const published = createPublishedItems();
  published.apply(inEra(2, changes(4, [item("a", 3, "x")], true)));
  assert.equal(published.since(4, 1).isWhole, true);
  assert.equal(published.since(4, 2).isWhole, false);
});

// Guards against a VM that keeps an item for ever because the peer from which it
// pulls never knew the item that was removed before its own complete read.
test("a new era's earlier removals are not left out of changes", () => {
  const published = createPublishedItems();
  published.apply(inEra(1, changes(9, [item("a", 3, "x")], true)));
  published.apply(inEra(2, changes(6, [item("a", 3, "x")], true)));
  assert.equal(published.since(5, 2).isWhole, true);
  assert.equal(published.since(6, 2).isWhole, false);
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

/** A step of a history in which the platform can be restored to a revision. */
const restoreStep = fc.oneof(
  { weight: 6, arbitrary: step },
  {
    weight: 1,
    arbitrary: fc.record({ lostWrites: fc.integer({ max: 6, min: 1 }) }),
  },
);

test("VMs converge over restores, and no era or revision goes back", () => {
  fc.assert(
    fc.property(fc.array(restoreStep, { maxLength: 60 }), (steps) => {
      /** All writes that the platform has not lost, with revisions 1, 2, … */
      let writes: ReturnType<typeof item>[] = [];
      let era = 1;
      const vms = [1, 2, 3, 4].map(() => createPublishedItems());
      const readPlatform = (after: number, ofEra: number) => {
        const isWhole = ofEra !== era || after === 0;
        const latest = new Map(writes.map((write) => [write.key, write]));
        const items = [...latest.values()].filter(({ revision, value }) =>
          isWhole ? value : revision > after
        );
        return { era, head: writes.length, isWhole, items };
      };
      const exchange = (reader: number, source: number, isWhole: boolean) => {
        const vm = vms[reader]!;
        const before = vm.position();
        const after = isWhole ? 0 : before.revision;
        vm.apply(
          source === 0
            ? readPlatform(after, before.era)
            : vms[source - 1]!.since(after, before.era),
        );
        assert.ok(comparePositions(vm.position(), before) >= 0);
      };
      for (const next of steps) {
        if ("lostWrites" in next) {
          writes = writes.slice(0, -next.lostWrites);
          era++;
        } else if ("key" in next) {
          const text = next.isRemoval ? undefined : `${era}-${writes.length}`;
          writes.push(item(next.key, writes.length + 1, text));
        } else exchange(next.reader, next.from, next.isWhole);
      }
      // One VM reads the platform, and the others only one another.
      exchange(0, 0, false);
      for (const reader of [1, 2, 3]) exchange(reader, reader, false);
      const live = ({ items }: PublishedChanges) =>
        items.map(({ key, revision, value }) => `${key}@${revision} ${value}`)
          .sort();
      for (const vm of vms) {
        assert.deepEqual(live(vm.since(0)), live(readPlatform(0, era)));
        assert.equal(vm.era(), era);
      }
    }),
    { seed: 11, numRuns: 1000 },
  );
});
