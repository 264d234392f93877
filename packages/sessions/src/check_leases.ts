import * as fastCheck from "fast-check";
import {
  type LeaseFault,
  LeaseFaultKind,
  type LeaseScenario,
  runLeaseModel,
} from "./run_lease_model.ts";

/** Time within which faults begin, in milliseconds. */
const FAULTS_MS = 8000;

/** Random scenarios; they shrink towards few, early and short faults. */
export function arbitraryScenario(): fastCheck.Arbitrary<LeaseScenario> {
  const fault: fastCheck.Arbitrary<LeaseFault> = fastCheck.record({
    kind: fastCheck.constantFrom(...Object.values(LeaseFaultKind)),
    atMs: fastCheck.integer({ min: 0, max: FAULTS_MS }),
    forMs: fastCheck.oneof(
      fastCheck.integer({ min: 10, max: 4000 }),
      fastCheck.integer({ min: 1200, max: 1700 }),
    ),
    target: fastCheck.integer({ min: 1, max: 62 }),
  });
  return fastCheck.record({
    seed: fastCheck.nat(),
    vms: fastCheck.integer({ min: 3, max: 6 }),
    limit: fastCheck.oneof(
      fastCheck.integer({ min: 1, max: 3 }),
      fastCheck.integer({ min: 4, max: 24 }),
    ),
    reportsLoad: fastCheck.boolean(),
    reportAgeMs: fastCheck.constantFrom(0, 50, 400),
    callMs: fastCheck.constantFrom(300, 2000, 9000),
    faults: fastCheck.array(fault, { maxLength: 8 }),
  }).map(withinAssumptions);
}

/** Leaves one change of the list at a time, of at most a fifth of it. */
function withinAssumptions(scenario: LeaseScenario): LeaseScenario {
  let unlisted = scenario.vms < 5;
  const faults: LeaseFault[] = [];
  for (const fault of scenario.faults) {
    if (fault.kind === LeaseFaultKind.Unlist) {
      if (unlisted) continue;
      unlisted = true;
    }
    faults.push(fault);
  }
  return { ...scenario, faults };
}

/**
 * Runs scenarios until one breaks a promise, which is thrown shrunk with its
 * seed, or all have passed.
 */
export function checkLeases(options: { seed: number; runs: number }): void {
  fastCheck.assert(
    fastCheck.property(arbitraryScenario(), (scenario) => {
      const { peak, healed, leaked } = runLeaseModel(scenario);
      if (peak > scenario.limit) {
        throw new Error(`${peak} calls at once over ${scenario.limit}`);
      }
      if (healed < scenario.limit) {
        throw new Error(`healed to ${healed} of ${scenario.limit}`);
      }
      if (leaked > 0) throw new Error(`${leaked} permits were never returned`);
    }),
    { seed: options.seed, numRuns: options.runs },
  );
}
