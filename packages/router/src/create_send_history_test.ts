import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import process from "node:process";
import {
  createSendHistory,
  isRetryable,
  type RequestSend,
} from "./create_send_history.ts";
import { AttemptResult, RetryDenial, RouteKind, SendKind } from "./enums.ts";

const ROUTES = {
  once: { kind: RouteKind.NonIdempotent, isResumable: false, maxAttempts: 3 },
  stream: { kind: RouteKind.Stream, isResumable: false, maxAttempts: 3 },
  resumable: { kind: RouteKind.Stream, isResumable: true, maxAttempts: 3 },
  read: { kind: RouteKind.Idempotent, isResumable: false, maxAttempts: 3 },
};

/** Seed of the random histories; `SEED` sets another one. */
const SEED = Number(process.env.SEED ?? 43);
const NEW_RUNS = [SendKind.Run, SendKind.Relay];

function createHistory(
  name: keyof typeof ROUTES,
  earlierSends = 0,
  { signal } = new AbortController(),
) {
  return createSendHistory({ route: ROUTES[name], earlierSends, signal });
}

/** Makes a send that ends with `result`. */
function send(
  history: ReturnType<typeof createHistory>,
  result: AttemptResult,
  kind = SendKind.Run,
): void {
  const begun = history.begin(kind);
  const isWritten = result !== AttemptResult.Unsent &&
    result !== AttemptResult.Withdrawn;
  if (isWritten) begun.onSent();
  begun.onEnd(result);
}

// Guards against a decision by the last result: an attempt that was not sent
// followed one that may have run, and a further run followed both.
for (
  const last of [
    AttemptResult.Unsent,
    AttemptResult.Withdrawn,
    AttemptResult.NotRun,
  ]
) {
  test(`a request that may have run once is not run again after ${last}`, () => {
    for (const name of ["once", "stream"] as const) {
      const history = createHistory(name);
      send(history, AttemptResult.Broken);
      send(history, last, SendKind.Continue);
      for (const kind of NEW_RUNS) {
        assert.equal(history.denialOf(kind), RetryDenial.MayHaveRun);
      }
      assert.equal(history.denialOf(SendKind.Continue), undefined);
    }
  });
}

test("a request that was not executed may be sent up to the route's attempts", () => {
  const history = createHistory("once");
  send(history, AttemptResult.Unsent);
  for (let sends = 1; sends <= 3; sends++) {
    assert.equal(history.denialOf(SendKind.Run), undefined);
    send(history, AttemptResult.NotRun);
    assert.equal(history.count(), sends);
  }
  assert.equal(history.denialOf(SendKind.Run), RetryDenial.Attempts);
  assert.equal(history.possibleRuns(), 0);
});

test("a relay that another VM refused is no send", () => {
  const history = createHistory("once");
  send(history, AttemptResult.NotRun, SendKind.Relay);
  assert.equal(history.count(), 0);
  assert.equal(history.denialOf(SendKind.Relay), undefined);
});

test("sends of the VM that passed a request on count as attempts", () => {
  const history = createHistory("resumable", 2);
  assert.equal(history.isCovered(), true);
  send(history, AttemptResult.Broken);
  assert.equal(history.denialOf(SendKind.Run), RetryDenial.Attempts);
});

// Guards against a retry that is taken from the allowance twice, or not at all.
test("a retry that was taken and not sent covers the next send", () => {
  const history = createHistory("read");
  send(history, AttemptResult.Broken);
  assert.equal(history.isCovered(), false);
  history.onRetryTaken();
  const waiting = history.begin(SendKind.Run);
  assert.equal(history.isCovered(), false, "it covers one send at a time");
  waiting.onEnd(AttemptResult.Unsent);
  assert.equal(history.isCovered(), true);
  send(history, AttemptResult.Broken);
  assert.equal(history.isCovered(), false);
});

// Guards against a request that is written after its caller was told that it
// was not run, or has left.
test("a request that has ended is not sent any more", () => {
  for (const name of ["once", "stream", "resumable", "read"] as const) {
    const controller = new AbortController();
    const history = createHistory(name, 0, controller);
    const waiting = history.begin(SendKind.Run);
    assert.equal(waiting.isAllowed(), true);
    controller.abort();
    assert.equal(waiting.isAllowed(), false);
    for (const kind of Object.values(SendKind)) {
      assert.equal(history.denialOf(kind), RetryDenial.Ended);
    }
  }
});

/** A step of a random history: a send of a kind begins, or goes on. */
type Step = { kind: SendKind } | { result: AttemptResult; which: number };

const steps = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constantFrom(...Object.values(SendKind)) }),
    fc.record({
      result: fc.constantFrom(...Object.values(AttemptResult)),
      which: fc.nat(3),
    }),
  ),
  { maxLength: 40 },
);

// Guards against any order of concurrent sends in which a request that may run
// once is written again after it may have run.
test("no order of sends runs a request more often than its route allows", () => {
  for (const route of Object.values(ROUTES)) {
    fc.assert(
      fc.property(steps, (list: Step[]) => {
        const { signal } = new AbortController();
        const history = createSendHistory({ route, earlierSends: 0, signal });
        const open: { kind: SendKind; isSent: boolean; send: RequestSend }[] =
          [];
        /** New runs that were written and not declared as not executed. */
        let runs = 0;
        for (const step of list) {
          if ("kind" in step) {
            const { kind } = step;
            open.push({ kind, isSent: false, send: history.begin(kind) });
            continue;
          }
          const [chosen] = open.splice(step.which, 1);
          if (!chosen) continue;
          const isNewRun = chosen.kind !== SendKind.Continue;
          if (!chosen.isSent && chosen.send.isAllowed()) {
            chosen.isSent = true;
            chosen.send.onSent();
            if (isNewRun) runs++;
            open.push(chosen);
            assert.ok(runs <= (isRetryable(route) ? route.maxAttempts : 1));
            continue;
          }
          const result = chosen.isSent ? step.result : AttemptResult.Withdrawn;
          chosen.send.onEnd(result);
          if (isNewRun && result === AttemptResult.NotRun) runs--;
        }
      }),
      { seed: SEED, numRuns: 2000 },
    );
  }
});
