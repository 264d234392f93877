import { CallEnd } from "@rosemarytiller/peers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleetSimulation, requestOf } from "./create_fleet_simulation.ts";
import type { ServiceDefinition, UpstreamEntry } from "./ports.ts";

const SERVICE: ServiceDefinition = {
  name: "engines",
  healthPath: "/health",
  maxConnections: 1000,
  warmUpMs: 3000,
  warmUpCallsPerSecond: 16,
  engine: undefined,
};

const ENTRY: UpstreamEntry = {
  id: "u",
  service: "engines",
  host: "127.0.0.1",
  port: 1,
  dataCentre: "dc-0",
  slots: 100_000,
  isDraining: false,
  warmUpMs: SERVICE.warmUpMs,
  startedMs: 1,
  softwareVersion: "v1",
};

/** Calls in a second that the users accept, from all VMs together. */
const ALLOWED = SERVICE.warmUpCallsPerSecond * 1.5 + 5;
/** Time in which the VMs of a fleet find each other before the warm-up, in ms. */
const SETTLE_MS = 10_000;
/** Time in which all VMs of a fleet have started, in milliseconds. */
const START_MS = 1400;
/** Longest time until a VM knows the upstream, in milliseconds. */
const MAX_NEWS_MS = 150;
const CALL_MS = 300;
/** Calls that each VM would send in a second, more than its part at any size. */
const DEMAND_PER_VM = 12;

interface Plan {
  vms: number;
  /**
   * Time between moments at which all VMs have a call to send, in ms; by
   * default each one has calls at times of its own.
   */
  burstEveryMs?: number;
  /** Time between restarts of VMs, in milliseconds. */
  restartEveryMs?: number;
  /** Share of the VMs that is cut off from the others. */
  cutShare?: number;
  /** Whether the VMs start at the same moment as the upstream. */
  startsTogether?: boolean;
  lossShare?: number;
  maxDelayMs?: number;
}

/** Plays a warm-up; returns the most calls in a second, and those in all. */
async function playWarmUp(plan: Plan): Promise<{ most: number; all: number }> {
  const { vms, burstEveryMs = Infinity } = plan;
  const demandPerVm = burstEveryMs < Infinity ? 0 : DEMAND_PER_VM;
  const { restartEveryMs = Infinity, cutShare = 0 } = plan;
  const { startsTogether = false, lossShare = 0.01, maxDelayMs = 12 } = plan;
  let isPublished = false;
  const fleet = createFleetSimulation({
    vms,
    dataCentres: dataCentresOf(vms),
    service: SERVICE,
    entries: () => isPublished ? [ENTRY] : [],
    lossShare,
    maxDelayMs,
  });
  fleet.startAll();
  await fleet.playUntil(startsTogether ? START_MS : SETTLE_MS);
  const hosts = fleet.vms().map(({ host }) => host);
  for (const host of hosts) {
    if (fleet.random() < cutShare) fleet.setCut(host, true);
  }
  const startMs = fleet.now();
  isPublished = true;
  const newsMs = new Map(
    hosts.map((host) => [host, startMs + fleet.random() * MAX_NEWS_MS]),
  );
  const sentMs: number[] = [];
  await fleet.playUntil(startMs + SERVICE.warmUpMs, () => {
    const nowMs = fleet.now();
    const isBurst = (nowMs - startMs) % burstEveryMs === burstEveryMs - 1;
    if ((nowMs - startMs) % restartEveryMs === restartEveryMs - 1) {
      const at = Math.floor(fleet.random() * hosts.length);
      newsMs.delete(hosts[at]!);
      fleet.restart(hosts[at]!, 100);
    }
    for (const { host, registry, scheduler } of fleet.vms()) {
      if ((newsMs.get(host) ?? Infinity) <= nowMs) {
        newsMs.delete(host);
        registry.set("u", ENTRY);
      }
      if (!isBurst && fleet.random() >= demandPerVm / 1000) continue;
      const request = requestOf(SERVICE, nowMs);
      const choice = scheduler.choice.choose(request);
      if (!choice) continue;
      const { upstream } = choice.candidate;
      const placement = scheduler.placeAt(upstream, request);
      sentMs.push(nowMs);
      fleet.after(CALL_MS, () => placement.release(CallEnd.Completed));
    }
  });
  let most = 0;
  for (let start = 0, end = 0; end < sentMs.length; end++) {
    while (sentMs[end]! - sentMs[start]! >= 1000) start++;
    most = Math.max(most, end - start + 1);
  }
  return { most, all: sentMs.length };
}

/** Data centres of a fleet of this size. */
const dataCentresOf = (vms: number) => vms === 9 ? 4 : vms > 300 ? 8 : 6;

for (const vms of [9, 40, 195, 410]) {
  // Guards against VMs that never find most of their data centre's VMs, so that
  // each takes a part of what it shares with them that is too large.
  test(`membership: ${vms} VMs know the others of their data centre`, async () => {
    const fleet = createFleetSimulation({
      vms,
      dataCentres: dataCentresOf(vms),
      service: SERVICE,
      entries: () => [],
      lossShare: 0.01,
      maxDelayMs: 12,
    });
    fleet.startAll();
    await fleet.playUntil(SETTLE_MS);
    const counts = new Map<string, number>();
    for (const { dataCentre } of fleet.vms()) {
      counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
    }
    for (const { host, dataCentre, network } of fleet.vms()) {
      assert.equal(network.localVmCount(), counts.get(dataCentre), host);
    }
  });

  // Guards against shares that add up to more than a cold upstream takes, and
  // against a cold upstream that gets too little.
  test(`warm-up: ${vms} VMs in touch`, async () => {
    const { most, all } = await playWarmUp({ vms });
    assert.ok(most <= ALLOWED, `${most} calls in a second`);
    assert.ok(all >= 0.9 * 3 * SERVICE.warmUpCallsPerSecond, `${all} calls`);
  });

  // Guards against VMs that all use an open slot at the same moment.
  test(`warm-up: ${vms} VMs whose calls come at the same moment`, async () => {
    const { most } = await playWarmUp({
      vms,
      burstEveryMs: 250,
      maxDelayMs: 60,
    });
    assert.ok(most <= ALLOWED, `${most} calls in a second`);
  });

  // Guards against a VM that has just started and takes the whole rate.
  test(`warm-up: ${vms} VMs of which some restart`, async () => {
    const { most } = await playWarmUp({
      vms,
      restartEveryMs: 3000 / vms * 2,
    });
    assert.ok(most <= ALLOWED, `${most} calls in a second`);
  });

  // Guards against VMs that take the whole rate before they know each other.
  test(`warm-up: ${vms} VMs that start with the upstream`, async () => {
    const { most } = await playWarmUp({
      vms,
      startsTogether: true,
    });
    assert.ok(most <= ALLOWED, `${most} calls in a second`);
  });

  // Guards against parts of a fleet that each take the whole rate.
  test(`warm-up: ${vms} VMs of which some are out of touch`, async () => {
    const { most } = await playWarmUp({
      vms,
      cutShare: 0.3,
    });
    assert.ok(most <= ALLOWED, `${most} calls in a second`);
  });
}
