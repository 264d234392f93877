import type { Statement } from "@rosemarytiller/peers";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createStatements } from "./create_statements.ts";

function createTestStatements() {
  const clock = createFakeClock(10_000);
  const values = new Map<string, number>();
  let published = 0;
  const statements = createStatements({
    clock,
    onChanged: (subject, value) => void values.set(subject, value),
    publish: () => void published++,
  });
  return { clock, statements, values, publishedCount: () => published };
}

test("a changed value is published once", () => {
  const { clock, statements, values, publishedCount } = createTestStatements();
  for (const value of [0, 2, 2, 3]) {
    statements.put("u", value);
    clock.advance(10);
  }
  assert.equal(values.get("u"), 3);
  assert.equal(publishedCount(), 2);
});

// Guards against an old statement that a VM repeats after it was paused.
test("the latest response counts, whatever the order of the messages", () => {
  const { clock, statements, values, publishedCount } = createTestStatements();
  statements.put("u", 2);
  clock.advance(1000);
  statements.merge([["u", 0, 100]], "vm-2");
  assert.equal(values.get("u"), 0);
  statements.merge([["u", 2, 500]], "vm-3");
  assert.equal(values.get("u"), 0);
  assert.deepEqual(statements.list(), [["u", 0, 100]] satisfies Statement[]);
  assert.equal(publishedCount(), 1);
});

test("a statement without a newer response is dropped in the end", () => {
  const { clock, statements, values } = createTestStatements();
  statements.put("u", 2);
  clock.advance(599_999);
  assert.equal(statements.list().length, 1);
  clock.advance(1);
  assert.equal(statements.list().length, 0);
  assert.equal(values.get("u"), 0);
});

test("a heartbeat carries the latest statements", () => {
  const { clock, statements } = createTestStatements();
  for (let number = 0; number < 40; number++) {
    statements.put(`u${number}`, 1);
    clock.advance(1);
  }
  const listed = statements.list();
  assert.equal(listed.length, 32);
  assert.equal(listed[0]![0], "u39");
});
