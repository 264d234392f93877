import assert from "node:assert/strict";
import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

/** Longest time without a call start after the leader's process ends. */
const TAKEOVER_MS = 2000;

testFaults(
  "a killed leader is replaced within 2 s",
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

testFaults("a stopping leader transfers leadership without refusals", {
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
