import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type AttemptOutcome,
  checkOverlap,
  checkSoakCall,
  checkSoakRuns,
  Violation,
} from "./check_soak_call.ts";
import { type Execution, ExecutionEnd } from "./soak_attempt.ts";
import {
  FAILED_BODY,
  formatEvent,
  plainBody,
  streamBody,
} from "./soak_responses.ts";

const PLAIN_PATH = "/reads/1-0-10";
const STREAM_PATH = "/resumable/1-3-10";

/** An attempt with the complete response 200, except for the fields given. */
function outcomeOf(fields: Partial<AttemptOutcome> = {}): AttemptOutcome {
  const path = fields.path ?? PLAIN_PATH;
  return {
    id: "1.0",
    router: 0,
    agent: false,
    path,
    method: "POST",
    body: "",
    isChunked: false,
    isProper: true,
    hasUnknownKey: false,
    headers: {},
    deadlineMs: 5000,
    readAfterMs: 0,
    firstEvent: 0,
    leaveAfterEvents: Infinity,
    status: 200,
    received: path === STREAM_PATH
      ? streamBody(path, { first: 0, version: "v1" })
      : plainBody(path),
    isComplete: true,
    wasAbandoned: false,
    wasRouterKilled: false,
    startedMs: 1000,
    sentMs: 1001,
    endedMs: 2500,
    error: "",
    ...fields,
  };
}

/** A complete execution, except for the fields given. */
function executionOf(fields: Partial<Execution> = {}): Execution {
  return {
    upstream: "engines-0",
    arrivedMs: 1002,
    closedMs: 2400,
    end: ExecutionEnd.Complete,
    isFromBackup: false,
    wasSilent: false,
    wasDark: false,
    firstEventMs: undefined,
    hasEvents: false,
    isError: false,
    ...fields,
  };
}

/** A call that the router cancelled while its upstream was silent. */
const cutCall = executionOf({ end: ExecutionEnd.Cancelled, wasSilent: true });
const ownError = executionOf({ isError: true });
const refused = executionOf({ end: ExecutionEnd.Refused });
const brokenAtOnce = executionOf({ end: ExecutionEnd.Broken });
const brokenStream = executionOf({ end: ExecutionEnd.Broken, hasEvents: true });
/** The router's response to a call whose outcome it does not know. */
const unknown = { status: 502, received: "outcome unknown" };
/** A stream that was cut off after its first event. */
const cutStream = {
  path: STREAM_PATH,
  received: formatEvent(0, "v1"),
  isComplete: false,
};

/** Kinds of the violations that the checks of an attempt find. */
function findKinds(
  outcome: Partial<AttemptOutcome>,
  executions: Execution[],
): Violation[] {
  return checkSoakCall(outcomeOf(outcome), executions).map(({ kind }) => kind);
}

test("a complete response that an upstream sent is no violation", () => {
  assert.deepEqual(findKinds({}, [executionOf()]), []);
  assert.deepEqual(findKinds({ path: STREAM_PATH }, [executionOf()]), []);
  assert.equal(checkSoakRuns(outcomeOf(), [executionOf()]), undefined);
});

const cutsBySilence: Record<
  string,
  [Partial<AttemptOutcome>, Execution[]]
> = {
  "a silent call was cancelled": [unknown, [cutCall]],
  "a silent stream was cancelled": [cutStream, [cutCall]],
  "a cancelled call is not closed yet": [unknown, [
    executionOf({ end: ExecutionEnd.Open, wasSilent: true }),
  ]],
  "the rest of a cancelled call was on its way": [unknown, [
    executionOf({ wasSilent: true }),
  ]],
  "the next upstream refused": [unknown, [cutCall, refused]],
  "the next upstream broke before its first event": [unknown, [
    cutCall,
    brokenAtOnce,
  ]],
  "the cancelled call would have failed later": [unknown, [
    { ...cutCall, isError: true },
  ]],
  "a standby was cancelled and the first upstream broke without an event": [
    unknown,
    [brokenAtOnce, cutCall],
  ],
  "a standby that had events was cancelled": [cutStream, [
    brokenStream,
    { ...cutCall, hasEvents: true },
  ]],
  "the next upstream responded with an error": [
    { status: 500, received: FAILED_BODY },
    [cutCall, ownError],
  ],
};

for (const [name, [outcome, executions]] of Object.entries(cutsBySilence)) {
  test(`a call was ended by a silence if ${name}`, () => {
    assert.deepEqual(findKinds(outcome, executions), [Violation.Silence]);
  });
}

const otherEnds: Record<string, [Partial<AttemptOutcome>, Execution[]]> = {
  "another upstream completed it": [{}, [cutCall, executionOf()]],
  "its upstream responded with an error": [
    { status: 500, received: FAILED_BODY },
    [{ ...ownError, wasSilent: true }],
  ],
  "its upstream responded with an error, and the retry failed": [unknown, [
    { ...ownError, wasSilent: true },
    brokenAtOnce,
  ]],
  "a standby was cancelled as its upstream responded with an error": [
    { status: 500, received: FAILED_BODY },
    [{ ...ownError, wasSilent: true }, cutCall],
  ],
  "its upstream went on, which cancelled a standby, and then broke": [
    cutStream,
    [{ ...brokenStream, wasSilent: true }, cutCall],
  ],
  "a standby took over and broke": [cutStream, [cutCall, brokenStream]],
  "its upstream broke": [unknown, [{ ...brokenAtOnce, wasSilent: true }]],
  "its upstream refused": [unknown, [{ ...refused, wasSilent: true }]],
  "the caller left": [{ ...cutStream, wasAbandoned: true }, [cutCall]],
  "the router was killed": [{ ...cutStream, wasRouterKilled: true }, [cutCall]],
  "its time was up": [{ ...unknown, endedMs: 5001 }, [cutCall]],
};

for (const [name, [outcome, executions]] of Object.entries(otherEnds)) {
  test(`a call was not ended by a silence if ${name}`, () => {
    assert.deepEqual(findKinds(outcome, executions), []);
  });
}

test("a call without a response long after its deadline is unanswered", () => {
  const lost = { status: 0, received: "", isComplete: false };
  const late = { ...lost, endedMs: 8001 };
  assert.deepEqual(findKinds(late, []), [Violation.Unanswered]);
  const shortLate = { ...lost, deadlineMs: 300, endedMs: 4301 };
  assert.deepEqual(findKinds(shortLate, []), [Violation.Unanswered]);
  assert.deepEqual(findKinds({ ...lost, endedMs: 7900 }, []), []);
});

test("a call that ends without a response is lost unless it is excused", () => {
  const lost = {
    status: 0,
    received: "",
    isComplete: false,
    error: "socket hang up",
  };
  assert.deepEqual(findKinds(lost, []), [Violation.Lost]);
  assert.deepEqual(findKinds(lost, [executionOf()]), [Violation.Lost]);
  assert.deepEqual(findKinds(cutStream, [executionOf()]), [Violation.Lost]);
  assert.deepEqual(findKinds({ ...lost, endedMs: 1200 }, []), []);
  assert.deepEqual(findKinds({ ...lost, sentMs: undefined }, []), []);
  assert.deepEqual(findKinds({ ...lost, error: "read ECONNRESET" }, []), []);
  assert.deepEqual(findKinds({ ...lost, wasRouterKilled: true }, []), []);
  assert.deepEqual(findKinds({ ...lost, wasAbandoned: true }, []), []);
  assert.deepEqual(findKinds(lost, [brokenAtOnce]), []);
});

test("a request that every configuration allows must not be denied", () => {
  const denied = { status: 404, received: "no route" };
  assert.deepEqual(findKinds(denied, []), [Violation.Denied]);
  assert.deepEqual(findKinds({ ...denied, isProper: false }, []), []);
});

test("a stream holds the events of one version", () => {
  const path = STREAM_PATH;
  const received = streamBody(path, { first: 0, version: "v1" })
    .replace("v1 token-2", "v2 token-2");
  const kinds = findKinds({ path, received }, [executionOf()]);
  assert.deepEqual(kinds, [Violation.MixedVersions]);
});

test("a response with other content is wrong", () => {
  const path = STREAM_PATH;
  const whole = streamBody(path, { first: 0, version: "v1" });
  const late = streamBody(path, { first: 1, version: "v1" });
  const runs = [executionOf()];
  const wrong = [Violation.WrongResponse];
  assert.deepEqual(findKinds({ received: "done" }, runs), wrong);
  assert.deepEqual(findKinds({ path, received: late }, runs), wrong);
  assert.deepEqual(findKinds({ path, received: whole + whole }, runs), wrong);
  assert.deepEqual(findKinds({}, []), wrong);
  const resumed = { path, received: late, firstEvent: 1 };
  assert.deepEqual(findKinds(resumed, runs), []);
});

test("a request that must not repeat runs once, others twice", () => {
  const [one, copy] = [executionOf(), executionOf({ isFromBackup: true })];
  const check = (path: string, executions: Execution[]) =>
    checkSoakRuns(outcomeOf({ path }), executions)?.kind;
  assert.equal(check("/writes/1-0-10", [one, one]), Violation.Repeated);
  assert.equal(check("/streams/1-3-10", [one, one]), Violation.Repeated);
  assert.equal(check(PLAIN_PATH, [one, one, one]), Violation.Repeated);
  assert.equal(check(PLAIN_PATH, [one, one]), undefined);
  assert.equal(check("/writes/1-0-10", [one, refused]), undefined);
  assert.equal(check("/streams/1-3-10", [one, copy]), undefined);
});

test("a request without a known key does not run", () => {
  const outcome = outcomeOf({ hasUnknownKey: true, status: 401 });
  const finding = checkSoakRuns(outcome, [executionOf()]);
  assert.equal(finding?.kind, Violation.Unauthorized);
  assert.equal(checkSoakRuns(outcome, [refused]), undefined);
});

test("a request that is refused as not run has not run", () => {
  for (const status of [408, 421, 429, 503]) {
    const outcome = outcomeOf({ status, received: "refused" });
    const finding = checkSoakRuns(outcome, [executionOf()]);
    assert.equal(finding?.kind, Violation.FalseRefusal);
    assert.equal(checkSoakRuns(outcome, [refused]), undefined);
  }
});

// Guards against two upstreams that work on one stream.
for (
  const [name, fields, next, expected] of [
    ["a stream that goes on beside its upstream", {}, {}, Violation.Overlap],
    ["one handed over in time", { closedMs: 1800 }, {}, undefined],
    ["one whose upstream was out of reach", { wasDark: true }, {}, undefined],
    ["a refused standby", {}, { end: ExecutionEnd.Refused }, undefined],
    ["an upstream without events", { firstEventMs: undefined }, {}, undefined],
    ["a standby before the first event", { firstEventMs: 1600 }, {}, undefined],
  ] as const
) {
  test(`the overlap check reports ${expected ? "" : "not "}${name}`, () => {
    const executions = [
      executionOf({ hasEvents: true, firstEventMs: 1100, ...fields }),
      executionOf({ arrivedMs: 1500, ...next }),
    ];
    const outcome = outcomeOf({ path: STREAM_PATH });
    assert.equal(checkOverlap(outcome, executions)?.kind, expected);
  });
}
