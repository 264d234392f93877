import { QUARANTINE_MS, TRIAL_DELAY_MS } from "@rosemarytiller/policy";
import { createFakeClock, ErrorKind } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createQuarantineTrials } from "./create_quarantine_trials.ts";
import { createRouterFacts } from "./create_router_facts.ts";
import { AttemptResult, FactKind } from "./enums.ts";
import { createNoopLog } from "./event_log.ts";

const SUSPECT = "suspect";
/** Longer than VMs wait for each other's claims, in milliseconds. */
const SETTLED_MS = 200;

/** Trials of VMs that get each other's facts, on one clock. */
function createTestTrials({ isFirstStart = true, isWhole = true } = {}) {
  const clock = createFakeClock(10_000);
  const state = { isWhole };
  const fleet = [0, 1, 2].map(() => {
    const facts = createRouterFacts({
      clock,
      network: {
        publishFact(fact) {
          for (const vm of fleet) vm.facts.merge([fact], "peer");
        },
      },
      handlers: () => ({
        ...trials.factHandlers,
        [FactKind.Crash]: { onAdded() {} },
        [FactKind.Cleared]: { onAdded() {} },
        [FactKind.Leaving]: { onAdded() {} },
      }),
    });
    const trials = createQuarantineTrials({
      clock,
      log: createNoopLog(),
      facts,
      network: { isWhole: () => state.isWhole, knownVmCount: () => 3 },
      isFirstStart,
    });
    return { facts, trials };
  });
  for (const { trials } of fleet) {
    trials.update();
    trials.setQuarantined(new Set([SUSPECT]));
  }

  /** Claims the trial at all VMs at the same moment. */
  async function claimAll() {
    const claims = fleet.map(({ trials }) => trials.claim("id", [SUSPECT]));
    clock.advance(SETTLED_MS);
    const won = await Promise.all(claims);
    return won.filter((trial) => trial !== undefined);
  }

  const refusalKinds = () =>
    fleet.map(({ trials }) => trials.refusalOf([SUSPECT], "").kind);
  return { clock, state, fleet, claimAll, refusalKinds };
}

// Guards against several VMs that try the same suspect at the same moment.
test("one of several VMs tries a suspect, once", async () => {
  const { clock, claimAll, refusalKinds } = createTestTrials();
  assert.equal((await claimAll()).length, 0);
  clock.advance(TRIAL_DELAY_MS);
  const [trial, ...others] = await claimAll();
  assert.equal(others.length, 0);
  assert.equal(trial!.maySend(), true);
  trial!.onSent();
  assert.equal(trial!.maySend(), false);
  assert.equal(
    refusalKinds().every((kind) => kind === ErrorKind.TrialPending),
    true,
  );
  trial!.onSendEnded(AttemptResult.Broken);
  trial!.end();
  assert.equal(
    refusalKinds().every((kind) => kind === ErrorKind.Quarantined),
    true,
  );
  clock.advance(QUARANTINE_MS);
  assert.equal((await claimAll()).length, 0);
});

test("a trial that no upstream ran can be made again", async () => {
  const { clock, claimAll } = createTestTrials();
  clock.advance(TRIAL_DELAY_MS);
  for (const result of [AttemptResult.NotRun, AttemptResult.Complete]) {
    const [trial] = await claimAll();
    trial!.onSent();
    trial!.onSendEnded(result);
    trial!.end();
  }
  assert.equal((await claimAll()).length, 1);
});

// Guards against a trial in each part of a fleet that was cut apart.
test("no VM tries a suspect while others are out of touch", async () => {
  const { clock, state, claimAll, refusalKinds } = createTestTrials();
  state.isWhole = false;
  clock.advance(TRIAL_DELAY_MS);
  assert.equal((await claimAll()).length, 0);
  assert.equal(refusalKinds()[0], ErrorKind.TrialPending);
  state.isWhole = true;
  assert.equal((await claimAll()).length, 1);
});

// Guards against further trials by VMs that all started again, without the
// facts about the trials before.
test("VMs that all started again try nothing until they are old enough", async () => {
  const { clock, fleet, claimAll } = createTestTrials({ isFirstStart: false });
  clock.advance(TRIAL_DELAY_MS);
  assert.equal((await claimAll()).length, 0);
  clock.advance(QUARANTINE_MS);
  for (const { trials } of fleet) trials.update();
  assert.equal((await claimAll()).length, 1);
});
