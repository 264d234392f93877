import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CrashClearing,
  type CrashReport,
  createCrashEvidence,
  partSuspectOf,
} from "./create_crash_evidence.ts";

/** Evidence of crashes, each given with the requests that were in flight. */
function createTestEvidence(crashes: Record<string, string[]>) {
  const evidence = createCrashEvidence();
  for (const [crash, requests] of Object.entries(crashes)) {
    for (const request of requests) {
      evidence.add({ crash, requests: [request] });
    }
  }
  return evidence;
}

const requestOf = (fingerprint: string, parts: string[] = []) => ({
  fingerprints: [fingerprint],
  parts,
});

test("a request in flight at two crashes is quarantined", () => {
  const evidence = createTestEvidence({ c1: ["a", "b"], c2: ["a"] });
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

test("two calls of a request at one crash count once", () => {
  const evidence = createTestEvidence({ c1: ["a", "a"] });
  assert.deepEqual([...evidence.quarantined()], []);
});

// Guards against sound requests that are refused as they were retried at an
// upstream which the same crashing request reached next.
test("crashes with a more frequent cause do not count against others", () => {
  const crashes = { c1: ["a", "b"], c2: ["a", "b"] };
  const evidence = createTestEvidence(crashes);
  assert.deepEqual([...evidence.quarantined()], []);
  evidence.add({ crash: "c3", requests: ["a"] });
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

test("an answer clears the crashes before it, not later ones", () => {
  const evidence = createTestEvidence({ c1: ["a"], c2: ["a"] });
  for (const clearing of evidence.clearedBy(requestOf("a"))) {
    evidence.clear(clearing);
  }
  assert.deepEqual([...evidence.quarantined()], []);
  evidence.add({ crash: "c3", requests: ["a"] });
  assert.deepEqual([...evidence.quarantined()], []);
  evidence.add({ crash: "c4", requests: ["a"] });
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

test("a removed report no longer counts", () => {
  const evidence = createCrashEvidence();
  const reports = ["c1", "c2"].map((crash) => ({ crash, requests: ["a"] }));
  for (const report of reports) evidence.add(report);
  evidence.remove(reports[0]!);
  assert.deepEqual([...evidence.quarantined()], []);
});

// Guards against requests, no two alike, that crash upstreams by one part.
test("a part of three requests at three crashes is quarantined", () => {
  const evidence = createCrashEvidence();
  for (const name of ["1", "2", "3"]) {
    const parts = ["shared", "bad"];
    evidence.add({ crash: `c${name}`, requests: [`r${name}`], parts });
    const quarantined = name === "3" ? [partSuspectOf("bad")] : [];
    assert.deepEqual([...evidence.quarantined()], quarantined);
  }
});

// Guards against a part that crashes six upstreams before it is refused, as each
// of its requests is sent to a second one.
test("a part of two requests, one sent again, is quarantined at three crashes", () => {
  const evidence = createCrashEvidence();
  for (const [crash, request] of [["c1", "r1"], ["c2", "r1"], ["c3", "r2"]]) {
    const parts = ["shared", "bad"];
    evidence.add({ crash: crash!, requests: [request!], parts });
  }
  assert.deepEqual([...evidence.quarantined()], [partSuspectOf("bad")]);
});

// Guards against a part that is refused although only one request causes
// crashes.
test("a request that comes again does not quarantine its parts", () => {
  const evidence = createCrashEvidence();
  for (const crash of ["c1", "c2", "c3", "c4"]) {
    evidence.add({ crash, requests: ["a"], parts: ["shared"] });
  }
  evidence.add({ crash: "c1", requests: ["b"], parts: ["shared"] });
  evidence.add({ crash: "c2", requests: ["c"], parts: ["shared"] });
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

test("an answer clears the parts of its prompt", () => {
  const evidence = createCrashEvidence();
  const add = (name: string) =>
    evidence.add({
      crash: `c${name}`,
      requests: [`r${name}`],
      parts: ["shared"],
    });
  add("1");
  add("2");
  const answered = requestOf("r9", ["shared"]);
  for (const clearing of evidence.clearedBy(answered)) evidence.clear(clearing);
  add("3");
  add("4");
  assert.deepEqual([...evidence.quarantined()], []);
});

test("a part that another one's crashes explain is not quarantined", () => {
  const evidence = createCrashEvidence();
  for (const name of ["1", "2", "3"]) {
    const crash = `c${name}`;
    evidence.add({ crash, requests: [`bad${name}`], parts: ["bad"] });
    evidence.add({ crash, requests: [`sound${name}`], parts: ["sound"] });
  }
  evidence.add({ crash: "c4", requests: ["bad4"], parts: ["bad"] });
  assert.deepEqual([...evidence.quarantined()], [partSuspectOf("bad")]);
});

// Guards against a sound part that is refused as it was in flight with more
// requests than the harmful one, at the same three crashes.
test("a part with a rival at the same three crashes stays open", () => {
  const evidence = createCrashEvidence();
  const bad = { c1: "r1", c2: "r1", c3: "r2" };
  for (const [number, [crash, request]] of Object.entries(bad).entries()) {
    evidence.add({ crash, requests: [request], parts: ["bad"] });
    const parts = ["sound"];
    evidence.add({ crash, requests: [`s${number}`], parts });
  }
  // The request that came again is one cause; the last crash has two suspects.
  assert.deepEqual([...evidence.quarantined()], ["r1"]);
  evidence.add({ crash: "c4", requests: ["r3"], parts: ["bad"] });
  assert.deepEqual([...evidence.quarantined()], [partSuspectOf("bad")]);
});

// Guards against a sound part that is refused as requests with it and with the
// harmful one were in flight at the same three crashes.
test("of two parts with as many requests at the same three crashes none is taken", () => {
  const evidence = createCrashEvidence();
  for (const crash of ["c1", "c2", "c3"]) {
    for (const part of ["bad", "sound"]) {
      const parts = ["shared", part];
      evidence.add({ crash, requests: [`${part} ${crash}`], parts });
    }
  }
  assert.equal(evidence.quarantined().has(partSuspectOf("sound")), false);
  evidence.add({ crash: "c4", requests: ["bad c4"], parts: ["shared", "bad"] });
  assert.deepEqual([...evidence.quarantined()], [partSuspectOf("bad")]);
});

// Guards against VMs that quarantine different requests by the same facts.
test("the order and repetition of changes do not matter", () => {
  const names = fc.constantFrom("a", "b", "c", "d");
  const crashes = fc.constantFrom("c1", "c2", "c3", "c4");
  const reports = fc.array(fc.record({
    crash: crashes,
    requests: fc.tuple(names),
    parts: fc.constant(["shared", "bad"]),
  }));
  const clearings = fc.array(fc.record({ suspect: names, crash: crashes }));
  const inputs = fc.tuple(reports, clearings).chain(([some, cleared]) => {
    const changes: (CrashReport | CrashClearing)[] = [...some, ...cleared];
    const shuffled = fc.shuffledSubarray([...changes, ...changes], {
      minLength: changes.length * 2,
    });
    return fc.tuple(fc.constant(changes), shuffled);
  });
  const quarantinedAfter = (changes: (CrashReport | CrashClearing)[]) => {
    const evidence = createCrashEvidence();
    for (const change of changes) {
      if ("requests" in change) evidence.add(change);
      else evidence.clear(change);
    }
    return [...evidence.quarantined()].sort();
  };
  fc.assert(fc.property(inputs, ([changes, shuffled]) => {
    assert.deepEqual(quarantinedAfter(shuffled), quarantinedAfter(changes));
  }));
});

// Guards against a request that is refused as it was in flight at two upstreams
// that crashed at the same moment, for another reason.
test("crashes at the same moment count as one against a request", () => {
  const evidence = createCrashEvidence();
  evidence.add({ crash: "c1", requests: ["a"], earlier: [] });
  evidence.add({ crash: "c2", requests: ["a"], earlier: [] });
  evidence.add({ crash: "c3", requests: ["a"], earlier: [] });
  assert.deepEqual([...evidence.quarantined()], []);
  evidence.add({ crash: "c4", requests: ["a"], earlier: ["c1"] });
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

// Guards against a route that is refused as three upstreams crashed at the same
// moment under prompts with a shared part.
test("crashes at the same moment count as one against a part", () => {
  const evidence = createCrashEvidence();
  const add = (name: string, earlier: string[]) =>
    evidence.add({
      crash: `c${name}`,
      requests: [`r${name}`],
      parts: ["shared"],
      earlier,
    });
  for (const name of ["1", "2", "3"]) add(name, []);
  assert.deepEqual([...evidence.quarantined()], []);
  for (const name of ["4", "5", "6"]) add(name, ["c1", "c2", "c3"]);
  assert.deepEqual([...evidence.quarantined()], []);
  add("7", ["c1", "c4"]);
  assert.deepEqual([...evidence.quarantined()], [partSuspectOf("shared")]);
});

test("crashes that are cleared or removed end a succession", () => {
  const evidence = createCrashEvidence();
  evidence.add({ crash: "c1", requests: ["a"], earlier: [] });
  evidence.add({ crash: "c2", requests: ["a"], earlier: ["c1"] });
  const third = { crash: "c3", requests: ["a"], earlier: ["c1"] };
  evidence.add(third);
  assert.deepEqual([...evidence.quarantined()], ["a"]);
  evidence.clear({ suspect: "a", crash: "c1" });
  assert.deepEqual([...evidence.quarantined()], []);
  evidence.unclear({ suspect: "a", crash: "c1" });
  evidence.remove(third);
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

test("one call that was sent after a crash suffices for a succession", () => {
  const evidence = createCrashEvidence();
  evidence.add({ crash: "c1", requests: ["a"], earlier: [] });
  evidence.add({ crash: "c2", requests: ["a"], earlier: ["c0", "c2"] });
  assert.deepEqual([...evidence.quarantined()], []);
  evidence.add({ crash: "c2", requests: ["a"], earlier: ["c1"] });
  assert.deepEqual([...evidence.quarantined()], ["a"]);
});

test("a part without crashes in succession is no rival of the cause", () => {
  const evidence = createCrashEvidence();
  const earlier: string[] = [];
  for (const name of ["1", "2", "3"]) {
    const requests = [`s${name}`];
    evidence.add({
      crash: `o${name}`,
      requests,
      parts: ["other"],
      earlier: [],
    });
  }
  for (const name of ["1", "2", "3"]) {
    const crash = `c${name}`;
    const report = { crash, requests: [`r${name}`], parts: ["bad"] };
    evidence.add({ ...report, earlier: [...earlier] });
    earlier.push(crash);
  }
  assert.deepEqual([...evidence.quarantined()], [partSuspectOf("bad")]);
});

test("known crashes of a request: its own first, the latest of each first", () => {
  const evidence = createCrashEvidence();
  for (const crash of ["c1", "c2", "c3"]) {
    evidence.add({ crash, requests: [`r${crash}`], parts: ["shared", "rare"] });
  }
  evidence.add({ crash: "c4", requests: ["r4"], parts: ["shared"] });
  evidence.clear({ suspect: partSuspectOf("rare"), crash: "c3" });
  const request = { fingerprints: ["rc1"], parts: ["shared", "rare"] };
  assert.deepEqual(evidence.crashesOf(request, 9), ["c1", "c2", "c4", "c3"]);
  assert.deepEqual(evidence.crashesOf(request, 2), ["c1", "c2"]);
});

// Guards against VMs that quarantine different requests by the same facts.
test("the order and repetition of reports with earlier crashes do not matter", () => {
  const crashes = fc.constantFrom("c1", "c2", "c3", "c4", "c5");
  const reports = fc.array(fc.record({
    crash: crashes,
    requests: fc.tuple(fc.constantFrom("a", "b", "c")),
    parts: fc.constantFrom(["shared", "bad"], ["shared"]),
    earlier: fc.option(fc.uniqueArray(crashes), { nil: undefined }),
  }));
  const inputs = reports.chain((some) =>
    fc.tuple(
      fc.constant(some),
      fc.shuffledSubarray([...some, ...some], { minLength: some.length * 2 }),
    )
  );
  const quarantinedAfter = (some: readonly CrashReport[]) => {
    const evidence = createCrashEvidence();
    for (const report of some) evidence.add(report);
    return [...evidence.quarantined()].sort();
  };
  fc.assert(
    fc.property(inputs, ([some, shuffled]) => {
      assert.deepEqual(quarantinedAfter(shuffled), quarantinedAfter(some));
    }),
    { numRuns: 5000 },
  );
});
