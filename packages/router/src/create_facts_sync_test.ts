import { createSharedFacts } from "@rosemarytiller/peers";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFactsSync } from "./create_facts_sync.ts";
import { createNoopLog } from "./event_log.ts";

function createTestSync() {
  const clock = createFakeClock();
  const log = createNoopLog();
  const createFacts = () =>
    createSharedFacts({
      now: clock.now,
      publish() {},
      onAdded() {},
      onRemoved() {},
    });
  const own = createFacts();
  const peer = createFacts();
  let pulls = 0;
  const sync = createFactsSync({
    clock,
    log,
    facts: own,
    pull() {
      pulls++;
      return Promise.resolve(peer.list());
    },
  });

  /** Delivers a heartbeat of the peer and waits for the pull it causes. */
  async function beat(): Promise<void> {
    sync.onHeartbeat("peer", peer.digest());
    clock.advance(300);
    await new Promise((resolve) => setImmediate(resolve));
  }

  return { clock, own, peer, sync, beat, pulls: () => pulls };
}

// Guards against facts that stay unknown after a lost datagram.
test("a VM pulls the facts that it lacks, once", async () => {
  const { own, peer, beat, pulls } = createTestSync();
  peer.add(["a"], 60_000);
  for (let heartbeat = 0; heartbeat < 3; heartbeat++) await beat();
  assert.equal(own.digest(), peer.digest());
  assert.equal(pulls(), 1);
});

// Guards against steady pulls between VMs that stay different, as they have more
// facts than they can keep.
test("pulls that bring nothing new become rare, until one does", async () => {
  const { peer, own, beat, pulls } = createTestSync();
  own.add(["own"], 60_000);
  for (let heartbeat = 0; heartbeat < 40; heartbeat++) await beat();
  assert.ok(pulls() <= 7, `${pulls()} pulls in 12 s`);
  peer.add(["new"], 60_000);
  for (let heartbeat = 0; heartbeat < 30; heartbeat++) await beat();
  assert.equal(own.list().length, 2);
});

test("a VM joins with the first facts, or alone after a time", async () => {
  const joining = createTestSync();
  assert.equal(joining.sync.isJoined(), false);
  joining.peer.add(["a"], 60_000);
  await joining.beat();
  assert.equal(joining.sync.isJoined(), true);
  const alone = createTestSync();
  alone.clock.advance(1000);
  assert.equal(alone.sync.isJoined(), true);
});
