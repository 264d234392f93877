import assert from "node:assert/strict";
import { waitUntil } from "./start_fleet.ts";
import { testFaults } from "./test_faults.ts";

/** Longest time without a permit after a leader's death. */
const TAKEOVER_MS = 2000;

testFaults("a killed leader is replaced", { vms: 3 }, async (run, t) => {
  const { fleet, load, more } = run;
  const leader = await fleet.leader();
  load.resetGap();
  leader.broker.kill("SIGKILL");
  await more(100);
  const gapMs = load.gapMs();
  t.diagnostic(`no call started for ${Math.round(gapMs)} ms`);
  assert.ok(gapMs < TAKEOVER_MS, `no call started for ${gapMs} ms`);
  leader.restart("broker");
  await waitUntil(
    async () => (await fleet.leader()).name === leader.name,
    "the first choice leads again",
  );
  await more(50);
});

testFaults("a stopped leader hands over", { vms: 3 }, async (run, t) => {
  const { fleet, load, more } = run;
  const leader = await fleet.leader();
  load.resetGap();
  leader.broker.kill("SIGTERM");
  await more(100);
  const gapMs = load.gapMs();
  t.diagnostic(`no call started for ${Math.round(gapMs)} ms`);
  assert.ok(gapMs < TAKEOVER_MS, `no call started for ${gapMs} ms`);
  assert.equal(load.counts.refused, 0);
});
