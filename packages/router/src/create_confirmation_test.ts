import assert from "node:assert/strict";
import { test } from "node:test";
import { createConfirmation } from "./create_confirmation.ts";

function createTestConfirmation() {
  const reads: ((isApplied: boolean) => void)[] = [];
  const confirm = createConfirmation(() =>
    new Promise((resolve) => void reads.push(resolve))
  );
  return { reads, confirm };
}

/** Lets all pending promises settle. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Guards against a confirmation by a response from before the call.
test("a call during a read waits for another read", async () => {
  const { reads, confirm } = createTestConfirmation();
  const first = confirm();
  const results: boolean[] = [];
  const others = [confirm(), confirm()];
  for (const other of others) other.then((result) => results.push(result));
  reads[0]!(true);
  assert.equal(await first, true);
  await settle();
  assert.equal(reads.length, 2);
  assert.deepEqual(results, []);
  reads[1]!(false);
  await Promise.all(others);
  assert.deepEqual(results, [false, false]);
});

test("a read is made for each call while none is in progress", async () => {
  const { reads, confirm } = createTestConfirmation();
  for (const isApplied of [true, false]) {
    const confirmed = confirm();
    reads.at(-1)!(isApplied);
    assert.equal(await confirmed, isApplied);
    await settle();
  }
  assert.equal(reads.length, 2);
});

test("a read that fails confirms nothing", async () => {
  const confirm = createConfirmation(() => Promise.reject(new Error("lost")));
  assert.equal(await confirm(), false);
});
