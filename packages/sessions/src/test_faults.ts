import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { type FaultLoad, runFaultLoad } from "./run_fault_load.ts";
import {
  ENGINE_LIMIT,
  type LeaderFleet,
  startLeaderFleet,
} from "./start_leader_fleet.ts";
import { waitUntil } from "./start_fleet.ts";

/** Callers for each VM: together more than the engine bears. */
const CALLERS_PER_VM = 8;

/** A fleet under load. */
export interface FaultRun {
  fleet: LeaderFleet;
  load: FaultLoad;
  /** Resolves when so many more answers have come whole. */
  more(answers: number): Promise<void>;
}

/**
 * Registers a test that brings faults about under load. Throughout, each call
 * must end whole or truly refused, and the engine's limit must hold.
 */
export function testFaults(
  name: string,
  options: { vms: number; relayed?: boolean },
  faults: (run: FaultRun, t: TestContext) => Promise<void>,
): void {
  test(name, async (t) => {
    const fleet = await startLeaderFleet(t, options);
    const { engine } = fleet;
    const load = runFaultLoad(fleet, [engine], {
      callersPerVm: CALLERS_PER_VM,
    });
    async function more(answers: number): Promise<void> {
      const wanted = load.counts.whole + answers;
      await waitUntil(() => load.counts.whole >= wanted, "answers come");
    }
    await more(50);
    await faults({ fleet, load, more }, t);
    const { whole, refused, wrong } = await load.stop();
    t.diagnostic(
      `${whole} whole, ${refused} refused, peak ${engine.counts.peak}`,
    );
    assert.deepEqual(wrong, []);
    assert.ok(
      engine.counts.peak <= ENGINE_LIMIT,
      `${engine.counts.peak} calls at once over ${ENGINE_LIMIT}`,
    );
  });
}
