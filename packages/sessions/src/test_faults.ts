import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { startTestLoad, type TestLoad } from "./start_test_load.ts";
import {
  ENGINE_LIMIT,
  type LeaderFleet,
  startLeaderFleet,
} from "./start_leader_fleet.ts";
import { waitUntil } from "./start_fleet.ts";

/** Callers for each VM; together they exceed `ENGINE_LIMIT`. */
const CALLERS_PER_VM = 8;

/** A fleet under load. */
export interface FaultRun {
  fleet: LeaderFleet;
  load: TestLoad;
  /** Waits for this many more complete answers. */
  waitForAnswers(answers: number): Promise<void>;
}

/**
 * Registers a test that injects faults under load. Each call must end with a
 * complete answer or a 429 or 503 refusal with run `not-run` and Retry-After,
 * and the number of concurrent calls must stay within `ENGINE_LIMIT`.
 */
export function testFaults(
  name: string,
  options: { vms: number; relayed?: boolean },
  injectFaults: (run: FaultRun, t: TestContext) => Promise<void>,
): void {
  test(name, async (t) => {
    const fleet = await startLeaderFleet(t, options);
    const { engine } = fleet;
    const load = startTestLoad(fleet, [engine], {
      callersPerVm: CALLERS_PER_VM,
    });
    t.after(() => load.stop());
    async function waitForAnswers(answers: number): Promise<void> {
      const wanted = load.counts.complete + answers;
      await waitUntil(
        () => load.counts.complete >= wanted,
        "enough complete answers arrived",
      );
    }
    await waitForAnswers(50);
    await injectFaults({ fleet, load, waitForAnswers }, t);
    const { complete, refused, failures } = await load.stop();
    t.diagnostic(
      `${complete} complete, ${refused} refused, peak ${engine.counts.peak}`,
    );
    assert.deepEqual(failures, []);
    assert.ok(
      engine.counts.peak <= ENGINE_LIMIT,
      `${engine.counts.peak} concurrent calls exceed the limit of ${ENGINE_LIMIT}`,
    );
  });
}
