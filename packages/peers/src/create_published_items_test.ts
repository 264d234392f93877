import assert from "node:assert/strict";
import { test } from "node:test";
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

test("an item never goes back to an earlier revision", () => {
  const published = createPublishedItems();
  published.apply(changes(5, [item("a", 5, "new")]));
  assert.deepEqual(published.apply(changes(3, [item("a", 3, "old")])), []);
  assert.equal(published.head(), 5);
});

test("a removed item does not return from a slower reader", () => {
  const published = createPublishedItems();
  published.apply(changes(4, [item("a", 4, "text")]));
  published.apply(changes(6, [item("a", 6)]));
  assert.deepEqual(published.apply(changes(5, [item("a", 4, "text")])), []);
});

test("a whole read removes what it lacks", () => {
  const published = createPublishedItems();
  published.apply(changes(4, [item("a", 3, "x"), item("b", 4, "y")]));
  const changed = published.apply(changes(9, [item("b", 4, "y")], true));
  assert.deepEqual(changed.map(({ key, value }) => [key, value]), [[
    "a",
    undefined,
  ]]);
});

test("a whole read keeps what came after it began", () => {
  const published = createPublishedItems();
  published.apply(changes(12, [item("late", 12, "x")]));
  published.apply(changes(9, [], true));
  assert.deepEqual(
    published.since(0).items.map(({ key }) => key),
    ["late"],
  );
});

test("a peer gets what changed after its revision, removals included", () => {
  const published = createPublishedItems();
  published.apply(changes(4, [item("a", 3, "x"), item("b", 4, "y")]));
  published.apply(changes(6, [item("a", 6)]));
  const { head, isWhole, items } = published.since(4);
  assert.deepEqual([head, isWhole], [6, false]);
  assert.deepEqual(items.map(({ key }) => key), ["a"]);
});

test("a reader behind forgotten removals gets the whole state", () => {
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
