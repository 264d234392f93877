import type { SharedFact, SharedFacts } from "@rosemarytiller/peers";
import { createFakeClock, type FakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Containment, createContainment } from "./create_containment.ts";
import { createRouterFacts } from "./create_router_facts.ts";
import { FactKind } from "./enums.ts";
import { createNoopLog } from "./event_log.ts";

/** A VM's containment with the facts that it shares. */
interface TestVm {
  containment: Containment;
  facts: SharedFacts;
}

function createVm(
  clock: FakeClock,
  publish: (fact: SharedFact) => void,
): TestVm {
  const facts = createRouterFacts({
    clock,
    network: { publishFact: publish },
    handlers: () => ({
      ...containment.factHandlers,
      [FactKind.Leaving]: { onAdded() {} },
    }),
  });
  const containment = createContainment({
    clock,
    log: createNoopLog(),
    facts,
    network: { isWhole: () => true, knownVmCount: () => 1 },
    isFirstStart: true,
  });
  return { containment, facts };
}

/** VMs that get each other's facts. */
function createTestVms(count: number) {
  const clock = createFakeClock();
  const vms: TestVm[] = [];
  for (let vm = 0; vm < count; vm++) {
    vms.push(createVm(clock, (fact) => {
      for (const { facts } of vms) facts.merge([fact], "peer");
    }));
  }
  return {
    clock,
    vms,
    containments: vms.map(({ containment }) => containment),
    advance(ms: number) {
      clock.advance(ms);
      for (const { facts, containment } of vms) {
        facts.expire();
        containment.update();
      }
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
  const { vms, containments, advance } = createTestVms(3);
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
  assert.equal(vms[0]!.facts.digest(), vms[2]!.facts.digest());
});

test("an answer at any VM clears the crashes before it", () => {
  const { containments } = createTestVms(2);
  const [first, second] = containments as [Containment, Containment];
  first.onCrash("c1", requestOf("a"));
  second.onAnswer(requestOf("a"));
  first.onCrash("c2", requestOf("a"));
  assert.equal(isRefused(first, "a"), false);
  assert.equal(isRefused(second, "a"), false);
});

// Guards against a VM that keeps sending a request as it missed the news.
test("a VM that merges another one's facts refuses the same requests", () => {
  const { vms, containments, clock } = createTestVms(1);
  const [first] = containments as [Containment];
  first.onCrash("c1", requestOf("a"));
  first.onCrash("c2", requestOf("a"));
  const started = createVm(clock, () => {});
  started.facts.merge(vms[0]!.facts.list(), "peer");
  assert.equal(isRefused(started.containment, "a"), true);
  assert.equal(started.facts.digest(), vms[0]!.facts.digest());
});

// Guards against parts in regular use that are refused after upstreams failed
// together for another reason, such as the loss of a data centre.
test("a recently answered part is no suspect when upstreams fail together", () => {
  const { containments, clock } = createTestVms(1);
  const [first] = containments as [Containment];
  const requestWith = (fingerprint: string) => ({
    id: "id",
    fingerprints: [fingerprint],
    parts: ["shared"],
  });
  first.onAnswer(requestWith("r0"));
  clock.advance(4000);
  for (const name of ["1", "2", "3", "4"]) {
    first.onCrash(`c${name}`, requestWith(`r${name}`));
  }
  first.check(requestWith("r5"));
});

// Guards against sound requests that are refused after many upstreams crashed
// at the same moment under requests with the same long part.
test("wave of crashes: streams that go on elsewhere clear their parts at all VMs", () => {
  const { containments } = createTestVms(3);
  const [first, second, third] = containments as [
    Containment,
    Containment,
    Containment,
  ];
  const requestWith = (fingerprint: string) => ({
    id: "id",
    fingerprints: [fingerprint],
    parts: ["shared"],
  });
  for (const name of ["1", "2", "3", "4"]) {
    first.onCrash(`c${name}`, requestWith(`r${name}`));
  }
  assert.throws(() => third.check(requestWith("r6")));
  second.onProgress(requestWith("r5"));
  third.check(requestWith("r6"));
  first.check(requestWith("r6"));
});

// Guards against a route whose requests are all refused as upstreams crashed at
// the same moment: no later request could be answered and clear their part.
test("crashes at the same moment make no cause at any VM", () => {
  const { containments } = createTestVms(3);
  const requestWith = (fingerprint: string, parts = ["shared"]) => ({
    id: "id",
    fingerprints: [fingerprint],
    parts,
  });
  const inFlight = containments.map((containment, vm) => {
    const request = requestWith(`r${vm}`);
    return { containment, request, earlier: containment.crashesOf(request) };
  });
  for (const [vm, { containment, request, earlier }] of inFlight.entries()) {
    containment.onCrash(`c${vm}`, request, earlier);
  }
  for (const containment of containments) {
    containment.check(requestWith("r9"));
    assert.equal(containment.crashesOf(requestWith("r9")).length, 3);
    assert.deepEqual(containment.crashesOf(requestWith("r9", [])), []);
  }
});

// Guards against a request that is not contained as its first crashes count as
// one.
test("a request that goes on crashing upstreams after crashes at the same moment", () => {
  const { vms, containments, clock, advance } = createTestVms(3);
  const [first, second, third] = containments as [
    Containment,
    Containment,
    Containment,
  ];
  first.onCrash("c1", requestOf("a"), []);
  second.onCrash("c2", requestOf("a"), []);
  assert.equal(isRefused(third, "a"), false);
  third.onCrash("c3", requestOf("a"), third.crashesOf(requestOf("a")));
  for (const containment of containments) {
    assert.equal(isRefused(containment, "a"), true);
  }
  advance(599_000);
  const started = createVm(clock, () => {});
  started.facts.merge(vms[0]!.facts.list(), "peer");
  assert.equal(isRefused(started.containment, "a"), true);
  assert.equal(isRefused(first, "a"), true);
});

test("a report of an earlier version, without earlier crashes, counts by itself", () => {
  const { vms, containments } = createTestVms(1);
  const [first] = containments as [Containment];
  const lifetimeMs = 60_000;
  const reports = [["crash", "c1", "a,b", "part"], ["crash", "c2", "a,b"]];
  vms[0]!.facts.merge(
    reports.map((values) => ({ values, remainingMs: lifetimeMs })),
    "peer",
  );
  first.onCrash("c3", requestOf("d"), []);
  assert.equal(isRefused(first, "a"), true);
  assert.equal(isRefused(first, "d"), false);
});

test("a stream that goes on clears no request", () => {
  const { containments } = createTestVms(1);
  const [first] = containments as [Containment];
  first.onCrash("c1", requestOf("a"));
  first.onCrash("c2", requestOf("a"));
  first.onProgress(requestOf("a"));
  assert.equal(isRefused(first, "a"), true);
});
