import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createQuarantine,
  FingerprintState,
  MAX_FINGERPRINTS,
  type Quarantine,
  QUARANTINE_MS,
  SUSPECT_MS,
} from "./create_quarantine.ts";
import { TRIAL_DELAY_MS } from "./create_trial_record.ts";

function createProcesses(count: number) {
  let nowMs = 0;
  let published = 0;
  const processes: Quarantine[] = [];
  for (let index = 0; index < count; index++) {
    processes.push(createQuarantine({
      now: () => nowMs,
      onChange(record) {
        published++;
        for (const other of processes) other.merge(record);
      },
    }));
  }
  return {
    processes,
    advance: (ms: number) => void (nowMs += ms),
    published: () => published,
  };
}

test("two crashes quarantine a fingerprint in all processes for a time", () => {
  const { processes: [first, second, third], advance, published } =
    createProcesses(3);
  first.onCrash("crash-1", ["a", "a", "b"]);
  assert.equal(third.stateOf("a"), FingerprintState.Suspect);
  second.onCrash("crash-2", ["a"]);
  assert.equal(third.stateOf("a"), FingerprintState.Quarantined);
  assert.equal(third.stateOf("b"), FingerprintState.Suspect);
  assert.equal(published(), 3 * 3, "each process publishes each record once");
  advance(SUSPECT_MS);
  assert.equal(first.stateOf("b"), FingerprintState.Clear);
  // Its trial is due; it stays quarantined from the start of that on.
  first.onStarted("a", "crash-3");
  advance(QUARANTINE_MS - SUSPECT_MS - 1);
  assert.equal(first.stateOf("a"), FingerprintState.Quarantined);
  advance(1);
  assert.equal(first.stateOf("a"), FingerprintState.Clear);
});

test("an answer clears a suspect, and a crash is counted once", () => {
  const { processes: [first, second] } = createProcesses(2);
  first.onCrash("crash-1", ["a"]);
  second.onCrash("crash-1", ["a"]);
  assert.equal(first.stateOf("a"), FingerprintState.Suspect);
  first.onAnswer("a");
  assert.equal(second.stateOf("a"), FingerprintState.Clear);
  second.onCrash("crash-2", ["a"]);
  assert.equal(first.stateOf("a"), FingerprintState.Suspect);
});

// Guards against a sound fingerprint that is refused until its record expires,
// as upstreams crashed under it one after the other.
test("a quarantined fingerprint has one trial, whose answer clears it", () => {
  const { processes: [first, second], advance } = createProcesses(2);
  for (const crash of ["crash-1", "crash-2"]) first.onCrash(crash, ["a"]);
  assert.equal(second.remainingMs("a"), TRIAL_DELAY_MS);
  advance(TRIAL_DELAY_MS);
  assert.equal(second.stateOf("a"), FingerprintState.Suspect);
  first.onStarted("a", "trial");
  assert.equal(second.stateOf("a"), FingerprintState.Quarantined);
  first.onAnswer("a");
  assert.equal(second.stateOf("a"), FingerprintState.Clear);
});

// Guards against trials that let a fingerprint crash upstream after upstream.
test("a fingerprint that crashes its trial is refused until its record expires", () => {
  const { processes: [first, second], advance } = createProcesses(2);
  for (const crash of ["crash-1", "crash-2"]) first.onCrash(crash, ["a"]);
  advance(TRIAL_DELAY_MS);
  first.onStarted("a", "unused");
  first.onUnused("a", "unused");
  assert.equal(second.stateOf("a"), FingerprintState.Quarantined);
  advance(TRIAL_DELAY_MS);
  assert.equal(second.stateOf("a"), FingerprintState.Suspect);
  first.onStarted("a", "trial");
  first.onCrash("trial", ["a"]);
  advance(QUARANTINE_MS - 2 * TRIAL_DELAY_MS - 1);
  assert.equal(second.stateOf("a"), FingerprintState.Quarantined);
});

test("the number of fingerprints is bounded", () => {
  const { processes: [first] } = createProcesses(1);
  for (let index = 0; index <= MAX_FINGERPRINTS; index++) {
    first.onCrash(`crash-${index}`, [`fingerprint-${index}`]);
  }
  assert.equal(first.records().length, MAX_FINGERPRINTS);
});
