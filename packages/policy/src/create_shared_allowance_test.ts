import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  createSharedAllowance,
  type SharedAllowance,
} from "./create_shared_allowance.ts";
import type { SharingFleet } from "./turn_of.ts";

/** Length of a window in which calls are counted, in milliseconds. */
const WINDOW_MS = 4000;
/** Simulated time, in milliseconds. */
const RUN_MS = 60_000;

interface Simulation {
  vms: number;
  perSecond: number;
  /** Calls that each VM would send in a second. */
  demandPerVm: number;
  /** Share of reports between two VMs that are lost. */
  lossShare: number;
  /** Time between restarts of a VM, in milliseconds. */
  restartEveryMs: number;
  /** VMs that are cut off from the others. */
  cutVms?: number;
}

interface SimulationResult {
  /** Most calls in a window. */
  most: number;
  /** Share of the allowed calls that were sent. */
  used: number;
}

/** Plays VMs that share one allowance, in steps of a millisecond. */
function simulate(plan: Simulation): SimulationResult {
  const { vms, perSecond, demandPerVm, lossShare, restartEveryMs } = plan;
  const { cutVms = 0 } = plan;
  const generator = xoroshiro128plus(vms * 1000 + perSecond);
  const random = () => uniformFloat64(generator);
  const names = Array.from({ length: vms }, (_, vm) => `vm-${1000 + vm}`);
  const sides = [names.slice(0, cutVms), names.slice(cutVms)];
  const sideOf = (vm: number) => sides[vm < cutVms ? 0 : 1]!;
  const fleetOf = (vm: number): SharingFleet => ({
    own: names[vm]!,
    reachable: sideOf(vm),
    known: vms,
  });
  const allowances: SharedAllowance[] = names.map(() =>
    createSharedAllowance(perSecond, 0)
  );
  const reports = new Map<number, [number, string][]>();
  const sentMs: number[] = [];
  for (let nowMs = 0; nowMs < RUN_MS; nowMs++) {
    for (const [vm, from] of reports.get(nowMs) ?? []) {
      allowances[vm]!.onSent(from, nowMs, fleetOf(vm));
    }
    reports.delete(nowMs);
    if (nowMs % restartEveryMs === restartEveryMs - 1) {
      const vm = Math.floor(random() * vms);
      allowances[vm] = createSharedAllowance(perSecond, nowMs);
    }
    for (let vm = 0; vm < vms; vm++) {
      if (random() >= demandPerVm / 1000) continue;
      if (!allowances[vm]!.canSend(nowMs, fleetOf(vm))) continue;
      sentMs.push(nowMs);
      allowances[vm]!.onSent(names[vm]!, nowMs, fleetOf(vm));
      for (const other of sideOf(vm).map((name) => names.indexOf(name))) {
        if (other === vm || random() < lossShare) continue;
        const atMs = nowMs + 2 + Math.floor(random() * 8);
        const list = reports.get(atMs) ?? [];
        reports.set(atMs, [...list, [other, names[vm]!]]);
      }
    }
  }
  let most = 0;
  for (let start = 0, end = 0; end < sentMs.length; end++) {
    while (sentMs[end]! - sentMs[start]! >= WINDOW_MS) start++;
    most = Math.max(most, end - start + 1);
  }
  return { most, used: sentMs.length / (perSecond * RUN_MS / 1000) };
}

/** Most calls that an upstream with a limit may get in a window. */
const allowedOf = (perSecond: number) => 1.5 * perSecond * WINDOW_MS / 1000 + 5;

for (const vms of [9, 22, 51]) {
  for (const perSecond of [0.5, 2, 10, 50]) {
    // Guards against VMs whose shares add up to more than the limit, or leave
    // most of it unused.
    test(`${vms} VMs share ${perSecond} calls a second`, () => {
      const { most, used } = simulate({
        vms,
        perSecond,
        demandPerVm: Math.max(5, 4 * perSecond / vms),
        lossShare: 0.03,
        restartEveryMs: 2000,
      });
      const figures = `${most} calls in a window, ${used.toFixed(2)} used`;
      assert.ok(most <= allowedOf(perSecond), figures);
      assert.ok(used >= (vms === 9 ? 0.7 : 0.5), figures);
    });
  }
}

// Guards against two parts of a fleet that each use the whole limit.
test("VMs that are cut off from the others use their part only", () => {
  const { most } = simulate({
    vms: 9,
    perSecond: 10,
    demandPerVm: 20,
    lossShare: 0,
    restartEveryMs: RUN_MS,
    cutVms: 4,
  });
  // Both sides may make up for half a second without calls.
  assert.ok(most <= 10 * 4.5 + 2, `${most} calls in a window`);
});

// Guards against a new VM that uses the whole limit before it knows the others.
test("a VM without peers uses a small part", () => {
  const fleet = { own: "vm-1", reachable: ["vm-1"], known: 1 };
  const allowance = createSharedAllowance(8, 0);
  let calls = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs++) {
    if (!allowance.canSend(nowMs, fleet)) continue;
    allowance.onSent("vm-1", nowMs, fleet);
    calls++;
  }
  assert.ok(calls <= 10 * 8 / 16 + 1, `${calls} calls`);
});
