import * as fastCheck from "fast-check";
import {
  type LeaseFault,
  LeaseFaultKind,
  type LeaseScenario,
  runLeaseModel,
} from "./run_lease_model.ts";

/** Latest start of a fault, in milliseconds. */
const MAX_FAULT_START_MS = 8000;

/**
 * Creates the fast-check arbitrary of scenarios within the assumptions of the
 * lease protocol; it shrinks towards few, early and short faults.
 */
export function arbitraryLeaseScenario(): fastCheck.Arbitrary<LeaseScenario> {
  const fault: fastCheck.Arbitrary<LeaseFault> = fastCheck.record({
    kind: fastCheck.constantFrom(...Object.values(LeaseFaultKind)),
    atMs: fastCheck.integer({ min: 0, max: MAX_FAULT_START_MS }),
    durationMs: fastCheck.oneof(
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
    maxCallMs: fastCheck.constantFrom(300, 2000, 9000),
    faults: fastCheck.array(fault, { maxLength: 8 }),
  }).map(limitListChanges);
}

/**
 * The lease protocol assumes one change of the VM list at a time, of at most a
 * fifth of it. Keeps only the first `UnlistVm` fault, and none in fleets of
 * fewer than five VMs.
 */
function limitListChanges(scenario: LeaseScenario): LeaseScenario {
  let skipsUnlist = scenario.vms < 5;
  const faults: LeaseFault[] = [];
  for (const fault of scenario.faults) {
    if (fault.kind === LeaseFaultKind.UnlistVm) {
      if (skipsUnlist) continue;
      skipsUnlist = true;
    }
    faults.push(fault);
  }
  return { ...scenario, faults };
}

/**
 * Runs random scenarios and checks that the upstream limit is never exceeded,
 * that one leader regains the full limit after the faults, and that no permit
 * leaks.
 * Throws the shrunk scenario and its seed at the first violation.
 */
export function checkLeases(options: { seed: number; runs: number }): void {
  fastCheck.assert(
    fastCheck.property(arbitraryLeaseScenario(), (scenario) => {
      const { peak, recoveredLimit, leakedPermits } = runLeaseModel(scenario);
      if (peak > scenario.limit) {
        throw new Error(
          `${peak} concurrent calls exceed the limit of ${scenario.limit}`,
        );
      }
      if (recoveredLimit < scenario.limit) {
        throw new Error(
          `a leader regained only ${recoveredLimit} of the limit of ${scenario.limit}`,
        );
      }
      if (leakedPermits > 0) throw new Error(`${leakedPermits} permits leaked`);
    }),
    { seed: options.seed, numRuns: options.runs },
  );
}
