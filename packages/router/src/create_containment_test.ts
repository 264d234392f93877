import type { SharedFact } from "@rosemarytiller/peers";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Containment, createContainment } from "./create_containment.ts";
import { createNoopLog } from "./event_log.ts";

/** Containments of several VMs that get each other's facts. */
function createTestContainments(count: number) {
  const clock = createFakeClock();
  const containments: Containment[] = [];
  for (let vm = 0; vm < count; vm++) {
    containments.push(createContainment({
      clock,
      log: createNoopLog(),
      network: {
        publishFact(fact: SharedFact) {
          for (const other of containments) other.facts.merge([fact]);
        },
      },
    }));
  }
  return {
    clock,
    containments,
    advance(ms: number) {
      clock.advance(ms);
      for (const one of containments) one.expire();
    },
  };
}

const requestOf = (fingerprint: string) => ({
  id: "id",
  fingerprints: [fingerprint],
  parts: [],
});

function isRefused(containment: Containment, fingerprint: string): boolean {
  try {
    containment.check(requestOf(fingerprint));
    return false;
  } catch {
    return true;
  }
}

test("a request is refused at all VMs after two crashes, for a time", () => {
  const { containments, advance } = createTestContainments(3);
  const [first, second, third] = containments as [
    Containment,
    Containment,
    Containment,
  ];
  first.onCrash("c1", requestOf("a"));
  first.onCrash("c1", requestOf("b"));
  assert.equal(isRefused(third, "a"), false);
  second.onCrash("c2", requestOf("a"));
  assert.equal(isRefused(third, "a"), true);
  assert.equal(isRefused(third, "b"), false);
  advance(599_000);
  assert.equal(isRefused(third, "a"), true);
  advance(2000);
  assert.equal(isRefused(third, "a"), false);
  assert.equal(first.facts.digest(), third.facts.digest());
});

test("an answer at any VM clears the crashes before it", () => {
  const { containments } = createTestContainments(2);
  const [first, second] = containments as [Containment, Containment];
  first.onCrash("c1", requestOf("a"));
  second.onAnswer(requestOf("a"));
  first.onCrash("c2", requestOf("a"));
  assert.equal(isRefused(first, "a"), false);
  assert.equal(isRefused(second, "a"), false);
});

// Guards against a VM that keeps sending a request as it missed the news.
test("a VM that merges another one's facts refuses the same requests", () => {
  const { containments, clock } = createTestContainments(1);
  const [first] = containments as [Containment];
  first.onCrash("c1", requestOf("a"));
  first.onCrash("c2", requestOf("a"));
  const started = createContainment({
    clock,
    log: createNoopLog(),
    network: { publishFact() {} },
  });
  started.facts.merge(first.facts.list());
  assert.equal(isRefused(started, "a"), true);
  assert.equal(started.facts.digest(), first.facts.digest());
});
