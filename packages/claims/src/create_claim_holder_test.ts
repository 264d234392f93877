import {
  type ClaimMessage,
  ClaimState,
  MessageKind,
  Vote,
} from "@rosemarytiller/link";
import { createFakeClock, type FakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClaimHolder, createClaimHolder } from "./create_claim_holder.ts";
import { SYNC_DELAY_MS } from "./create_holder_history.ts";
import {
  claimReadQuorum,
  claimWriteQuorum,
  listClaimHolders,
} from "./list_claim_holders.ts";

const HORIZON_MS = 60_000;
const LIST_LAG_MS = 10_000;
const LIST = ["a", "b", "c", "d", "e"];

function startHolders(clock: FakeClock): Map<string, ClaimHolder> {
  const holders = new Map<string, ClaimHolder>();
  for (const vm of LIST) holders.set(vm, startHolder(vm, clock));
  clock.advance(HORIZON_MS);
  return holders;
}

function startHolder(vm: string, clock: FakeClock): ClaimHolder {
  const holder = createClaimHolder(optionsOf(vm, clock));
  holder.setList(LIST);
  return holder;
}

function optionsOf(vm: string, clock: FakeClock) {
  return { vm, clock, horizonMs: HORIZON_MS, listLagMs: LIST_LAG_MS };
}

function claimOf(id: string, change: Partial<ClaimMessage> = {}): ClaimMessage {
  const key = "key";
  const kind = MessageKind.Claim as const;
  return { kind, id, key, fingerprint: "body", holders: LIST, ...change };
}

function fetchRecords(to: ClaimHolder, from: ClaimHolder, vm: string): void {
  for (const message of from.answerSync(to.pendingSync()!.sync)) {
    to.addRecords(message, vm);
  }
}

test("quorum sizes for one to five holders; a key has at most five", () => {
  assert.deepEqual([1, 2, 3, 4, 5].map(claimWriteQuorum), [1, 2, 3, 3, 4]);
  assert.deepEqual([1, 2, 3, 4, 5].map(claimReadQuorum), [1, 1, 1, 2, 2]);
  assert.equal(listClaimHolders("key", [...LIST, "f", "g"]).length, 5);
});

test("the first claim is granted and later ones are refused as taken", () => {
  const holder = startHolders(createFakeClock()).get("a")!;
  assert.equal(holder.vote(claimOf("one")).vote, Vote.Granted);
  assert.equal(holder.vote(claimOf("one")).vote, Vote.Granted);
  const vote = holder.vote(claimOf("two", { fingerprint: "other" }));
  assert.equal(vote.vote, Vote.Taken);
  assert.equal(vote.sameBody, false);
  const { kind, key } = { kind: MessageKind.ClaimOutcome as const, key: "key" };
  holder.applyOutcome({ kind, id: "one", key, state: ClaimState.Ran });
  assert.equal(holder.vote(claimOf("two")).state, ClaimState.Ran);
  holder.applyOutcome({ kind, id: "one", key, state: ClaimState.Withdrawn });
  assert.equal(holder.vote(claimOf("two")).vote, Vote.Granted);
});

test("a claim made with another VM list is refused", () => {
  const holder = startHolders(createFakeClock()).get("a")!;
  const holders = ["a", "b", "c", "d", "f"];
  assert.equal(
    holder.vote(claimOf("one", { holders })).vote,
    Vote.HolderListMismatch,
  );
  assert.equal(holder.size(), 0);
});

test("a full holder refuses new claims and keeps the stored ones", () => {
  const clock = createFakeClock();
  const options = { ...optionsOf("a", clock), capacity: 1 };
  const holder = createClaimHolder(options);
  holder.setList(LIST);
  clock.advance(HORIZON_MS);
  assert.equal(holder.vote(claimOf("one")).vote, Vote.Granted);
  const second = claimOf("two", { key: "second" });
  assert.equal(holder.vote(second).vote, Vote.Full);
  assert.equal(holder.vote(claimOf("three")).vote, Vote.Taken);
  clock.advance(HORIZON_MS);
  assert.equal(holder.vote(second).vote, Vote.Granted);
});

test("a restarted holder grants claims after a sync with the other holders", () => {
  const clock = createFakeClock();
  const holders = startHolders(clock);
  for (const vm of ["a", "b", "c", "d"]) holders.get(vm)!.vote(claimOf("one"));
  const restarted = startHolder("a", clock);
  assert.equal(
    restarted.vote(claimOf("x", { key: "x" })).vote,
    Vote.Unverified,
  );
  assert.equal(
    restarted.pendingSync(),
    undefined,
    "no sync before the claims in flight are decided",
  );
  clock.advance(SYNC_DELAY_MS);
  assert.deepEqual(restarted.pendingSync()!.vms, ["b", "c", "d", "e"]);
  for (const vm of ["e", "b"]) fetchRecords(restarted, holders.get(vm)!, vm);
  assert.equal(
    restarted.vote(claimOf("y", { key: "y" })).vote,
    Vote.Unverified,
  );
  fetchRecords(restarted, holders.get("c")!, "c");
  assert.equal(restarted.vote(claimOf("z", { key: "z" })).vote, Vote.Granted);
  assert.equal(restarted.vote(claimOf("two")).vote, Vote.Taken);
});

test("records of a holder that may lack claims do not answer a sync", () => {
  const clock = createFakeClock();
  const [first, second] = [startHolder("a", clock), startHolder("b", clock)];
  clock.advance(SYNC_DELAY_MS);
  fetchRecords(first, second, "b");
  assert.deepEqual(first.pendingSync()!.vms, ["b", "c", "d", "e"]);
  clock.advance(HORIZON_MS);
  assert.equal(first.vote(claimOf("one")).vote, Vote.Granted);
});

test("a holder that gains a key needs the records of two previous holders", () => {
  const clock = createFakeClock();
  const previous = ["a", "b", "c", "d", "e"];
  const next = ["a", "b", "f", "g", "h"];
  const holders = new Map<string, ClaimHolder>();
  for (const vm of [...previous, ...next]) {
    const holder = createClaimHolder(optionsOf(vm, clock));
    holder.setList(previous);
    holders.set(vm, holder);
  }
  clock.advance(HORIZON_MS);
  for (const vm of ["a", "c", "d", "e"]) holders.get(vm)!.vote(claimOf("one"));
  for (const vm of next) holders.get(vm)!.setList(next);
  clock.advance(SYNC_DELAY_MS);
  const gaining = holders.get("f")!;
  for (const vm of ["g", "h", "b"]) fetchRecords(gaining, holders.get(vm)!, vm);
  const claim = claimOf("two", { holders: next });
  assert.equal(gaining.vote({ ...claim, key: "x" }).vote, Vote.Unverified);
  fetchRecords(gaining, holders.get("a")!, "a");
  assert.equal(gaining.vote({ ...claim, key: "y" }).vote, Vote.Granted);
  assert.equal(gaining.vote(claim).vote, Vote.Taken);
});

// Guards against a VM that grants no claim until the VM list changes again.
test("a sole remaining VM grants claims once earlier ones have expired", () => {
  const clock = createFakeClock();
  const holders = startHolders(clock);
  const holder = holders.get("a")!;
  holder.setList(["a"]);
  // The others have the new list late and grant a claim without this VM.
  clock.advance(LIST_LAG_MS);
  for (const vm of ["b", "c", "d", "e"]) {
    assert.equal(holders.get(vm)!.vote(claimOf("one")).vote, Vote.Granted);
  }
  clock.advance(HORIZON_MS - 1);
  const alone = { holders: ["a"] };
  assert.equal(holder.vote(claimOf("two", alone)).vote, Vote.Unverified);
  clock.advance(1);
  const claim = claimOf("three", { ...alone, key: "other" });
  assert.equal(holder.vote(claim).vote, Vote.Granted);
});

// Guards against keys that stay taken for up to another horizon.
test("a copied claim expires with the claim that it is a copy of", () => {
  const clock = createFakeClock();
  const holders = startHolders(clock);
  const others = ["b", "c", "d"];
  for (const vm of others) holders.get(vm)!.vote(claimOf("one"));
  clock.advance(HORIZON_MS - SYNC_DELAY_MS - 1);
  const restarted = startHolder("a", clock);
  restarted.vote(claimOf("own", { key: "own" }));
  clock.advance(SYNC_DELAY_MS);
  for (const vm of others) fetchRecords(restarted, holders.get(vm)!, vm);
  assert.equal(restarted.vote(claimOf("two")).vote, Vote.Taken);
  clock.advance(1);
  assert.equal(restarted.vote(claimOf("three")).vote, Vote.Granted);
});
