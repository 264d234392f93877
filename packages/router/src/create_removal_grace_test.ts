import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRemovalGrace } from "./create_removal_grace.ts";

const ENTRIES_BACK_MS = 2200;

/** Two VMs on one clock; `exchange` sends both VMs' heartbeats. */
function createPair() {
  const clock = createFakeClock(1000);
  const options = { clock, entriesBackMs: () => ENTRIES_BACK_MS };
  const left = createRemovalGrace(options);
  const right = createRemovalGrace(options);
  function exchange(): void {
    const [fromLeft, fromRight] = [left.reads(), right.reads()];
    left.onPeerReads(fromRight);
    right.onPeerReads(fromLeft);
  }
  /** Lets both VMs read for as long as expired entries may be missing. */
  function settle(): void {
    for (let reads = 0; reads < 4; reads++) {
      left.onRead();
      right.onRead();
      clock.advance(1000);
    }
    exchange();
  }
  return { clock, left, right, exchange, settle };
}

test("removed entries are not kept while the platform responds", () => {
  const { left, settle } = createPair();
  assert.equal(left.keepMs(), 0);
  settle();
  assert.equal(left.keepMs(), 0);
});

test("removed entries are kept until they can be back after an outage", () => {
  const { clock, left, right, exchange, settle } = createPair();
  settle();
  for (let attempts = 0; attempts < 5; attempts++) {
    left.onReadFailed();
    right.onReadFailed();
    exchange();
    clock.advance(500);
  }
  left.onRead();
  exchange();
  assert.equal(left.keepMs(), ENTRIES_BACK_MS);
  assert.equal(right.keepMs(), ENTRIES_BACK_MS);
  clock.advance(ENTRIES_BACK_MS);
  assert.equal(left.keepMs(), 0);
});

// Guards against entries that a VM keeps although only it had lost the platform.
test("removed entries are not kept if a peer has read all the time", () => {
  const { clock, left, right, exchange, settle } = createPair();
  settle();
  left.onReadFailed();
  exchange();
  assert.equal(left.keepMs(), ENTRIES_BACK_MS);
  clock.advance(200);
  right.onRead();
  exchange();
  assert.equal(left.keepMs(), 0);
  assert.equal(right.keepMs(), 0);
});

test("a peer that has just started to read shows nothing", () => {
  const { clock, left, right, exchange } = createPair();
  left.onReadFailed();
  clock.advance(200);
  right.onRead();
  exchange();
  assert.ok(left.keepMs() > 0);
  assert.ok(right.keepMs() > 0);
});

test("a peer whose reads failed in the outage shows nothing after it", () => {
  const { clock, left, right, exchange, settle } = createPair();
  settle();
  right.onReadFailed();
  left.onReadFailed();
  clock.advance(200);
  right.onRead();
  clock.advance(100);
  right.onRead();
  exchange();
  assert.equal(left.keepMs(), ENTRIES_BACK_MS - 100);
});

test("a peer that had not read for long shows nothing", () => {
  const { clock, left, right, exchange, settle } = createPair();
  settle();
  clock.advance(5000);
  left.onReadFailed();
  clock.advance(200);
  right.onRead();
  exchange();
  assert.equal(left.keepMs(), ENTRIES_BACK_MS - 200);
});

test("entries that a restored platform lacks are kept for that time", () => {
  const { clock, left, settle } = createPair();
  settle();
  left.onRestored();
  clock.advance(200);
  left.onRead();
  assert.equal(left.keepMs(), ENTRIES_BACK_MS - 200);
});
