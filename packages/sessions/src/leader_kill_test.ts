import assert from "node:assert/strict";
import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

/** Longest allowed time between call starts while leadership changes. */
const TAKEOVER_MS = 2000;

testFaults(
  "calls start again soon after a leader is killed",
  { vms: 3 },
  async (run, t) => {
    const { fleet, load, waitForAnswers } = run;
    const leader = await fleet.waitForLeader();
    load.resetMaxStartGap();
    leader.broker.kill("SIGKILL");
    await waitForAnswers(100);
    const gapMs = load.maxStartGapMs();
    t.diagnostic(`longest gap between call starts: ${Math.round(gapMs)} ms`);
    assert.ok(gapMs < TAKEOVER_MS, `no call started for ${gapMs} ms`);
    leader.restart("broker");
    await waitUntil(
      async () => (await fleet.waitForLeader()).name === leader.name,
      "the restarted preferred broker leads again",
    );
    await waitForAnswers(50);
  },
);

testFaults("a stopping leader causes no refusals and no long gap", {
  vms: 3,
}, async (run, t) => {
  const { fleet, load, waitForAnswers } = run;
  const leader = await fleet.waitForLeader();
  load.resetMaxStartGap();
  leader.broker.kill("SIGTERM");
  await waitForAnswers(100);
  const gapMs = load.maxStartGapMs();
  t.diagnostic(`longest gap between call starts: ${Math.round(gapMs)} ms`);
  assert.ok(gapMs < TAKEOVER_MS, `no call started for ${gapMs} ms`);
  assert.equal(load.counts.refused, 0);
});
