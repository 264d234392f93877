import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { AttemptHooks, StartedAttempt } from "./create_attempt_starter.ts";
import { AttemptResult } from "./enums.ts";
import type { AttemptEnd } from "./run_attempt.ts";
import { runHedgedCall } from "./run_hedged_call.ts";

/** An attempt that a test ends. */
interface TestAttempt extends StartedAttempt {
  hooks: AttemptHooks;
  end(result: AttemptResult): void;
  /** Undefined while it runs. */
  result: AttemptResult | undefined;
}

function createAttempt(hooks: AttemptHooks): TestAttempt {
  let resolveEnd: (end: AttemptEnd) => void;
  const attempt: TestAttempt = {
    hooks,
    placement: undefined as never,
    result: undefined,
    ended: new Promise((resolve) => {
      resolveEnd = resolve;
    }),
    lastReceivedMs: () => 0,
    abort: (result) => attempt.end(result),
    end(result) {
      if (attempt.result !== undefined) return;
      attempt.result = result;
      resolveEnd({
        result,
        status: result === AttemptResult.Complete ? 200 : 0,
        headers: [],
        body: Buffer.alloc(0),
        reason: "",
        isReusable: false,
        idleLimitMs: undefined,
        warmUpMs: undefined,
        firstMs: undefined,
      });
    },
  };
  return attempt;
}

/** Starts a hedged call whose attempts the test controls. */
function startCall(options: { isStream?: boolean; hasStandby?: boolean } = {}) {
  const { isStream = true, hasStandby = true } = options;
  const clock = createFakeClock();
  const attempts: TestAttempt[] = [];
  let reportSilence = () => {};
  const ended = runHedgedCall({
    isStream,
    start(hooks) {
      attempts.push(createAttempt(hooks));
      return attempts[0]!;
    },
    async startStandby(hooks) {
      await Promise.resolve();
      if (!hasStandby) return undefined;
      attempts.push(createAttempt(hooks));
      return attempts.at(-1);
    },
    watch(attempt, onSilent) {
      if (attempt === attempts[0]) reportSilence = onSilent;
      return () => {};
    },
  }, { clock });
  return {
    clock,
    ended,
    first: attempts[0]!,
    /** Reports that the first upstream is silent; returns the standby. */
    async fallSilent(): Promise<TestAttempt> {
      reportSilence();
      await settle();
      return attempts.at(-1)!;
    },
  };
}

/** Lets all pending promises settle. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Guards against ending a call because its upstream paused.
test("a silent call goes on while no standby takes it", async () => {
  const { ended, first, fallSilent } = startCall({ hasStandby: false });
  await fallSilent();
  assert.equal(first.result, undefined);
  first.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
});

// Guards against ending a call before a standby has accepted it.
for (const refusal of [AttemptResult.NotRun, AttemptResult.Unsent]) {
  test(`a silent call goes on after a standby ended as ${refusal}`, async () => {
    const { clock, ended, first, fallSilent } = startCall();
    const standby = await fallSilent();
    standby.hooks.onSent();
    standby.end(refusal);
    await settle();
    clock.advance(1000);
    assert.equal(first.result, undefined);
    first.end(AttemptResult.Broken);
    assert.equal((await ended).result, AttemptResult.Broken);
  });
}

test("a silent call gets another standby after one was refused", async () => {
  const { ended, fallSilent } = startCall();
  const refused = await fallSilent();
  refused.end(AttemptResult.NotRun);
  await settle();
  const standby = await fallSilent();
  assert.notEqual(standby, refused);
  standby.hooks.claimResponse();
  standby.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
});

test("a standby is dropped when the first upstream sends data again", async () => {
  const { clock, ended, first, fallSilent } = startCall();
  const standby = await fallSilent();
  standby.hooks.onSent();
  first.hooks.onReceived();
  assert.equal(standby.result, AttemptResult.Superseded);
  clock.advance(1000);
  assert.equal(first.result, undefined);
  first.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
});

test("a standby that responds takes over", async () => {
  const { ended, first, fallSilent } = startCall();
  const standby = await fallSilent();
  assert.equal(first.result, undefined);
  assert.equal(standby.hooks.claimResponse(), true);
  assert.equal(first.result, AttemptResult.Stalled);
  standby.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
});

// Guards against two upstreams that generate one stream for long.
test("a standby of a stream takes over if it was not refused for a while", async () => {
  const { clock, ended, first, fallSilent } = startCall();
  const standby = await fallSilent();
  clock.advance(1000);
  assert.equal(first.result, undefined, "the standby has not been sent");
  standby.hooks.onSent();
  clock.advance(290);
  assert.equal(first.result, undefined);
  clock.advance(10);
  assert.equal(first.result, AttemptResult.Stalled);
  standby.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
});

test("a standby of another response takes over when it is complete", async () => {
  const { clock, ended, first, fallSilent } = startCall({ isStream: false });
  const standby = await fallSilent();
  standby.hooks.onSent();
  clock.advance(1000);
  assert.equal(first.result, undefined);
  standby.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
  assert.equal(first.result, AttemptResult.Stalled);
});

test("a standby decides the call if the first attempt breaks", async () => {
  const { ended, first, fallSilent } = startCall();
  const standby = await fallSilent();
  first.end(AttemptResult.Broken);
  await settle();
  standby.end(AttemptResult.Complete);
  assert.equal((await ended).result, AttemptResult.Complete);
});

test("a standby is dropped when the caller has disconnected", async () => {
  const { ended, first, fallSilent } = startCall();
  const standby = await fallSilent();
  first.end(AttemptResult.Aborted);
  assert.equal((await ended).result, AttemptResult.Aborted);
  assert.equal(standby.result, AttemptResult.Superseded);
});
