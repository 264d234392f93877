import type { ProcessStatus } from "@rosemarytiller/admin";
import {
  createStandInEngine,
  type StandInEngine,
} from "@rosemarytiller/standins";
import type { TestContext } from "node:test";
import { hashKey, TEST_KEY } from "./call_fleet.ts";
import {
  type Fleet,
  type FleetVm,
  startFleet,
  waitUntil,
} from "./start_fleet.ts";

/** Concurrency limit of the engine in the service document. */
export const ENGINE_LIMIT = 8;

/** A fleet in one data centre with one engine. */
export interface LeaderFleet extends Fleet {
  engine: StandInEngine;
  /**
   * Waits until more than half of the entries back one broker; returns its VM.
   */
  waitForLeader(): Promise<FleetVm>;
  /**
   * VMs that back a VM's broker; empty if it can't be reached within 500 ms.
   */
  listBackers(vm: FleetVm): Promise<string[]>;
}

/**
 * Starts a fleet and waits until it is ready. The engine accepts far more calls
 * than `ENGINE_LIMIT`, so that its peak count shows a violation of the limit.
 */
export async function startLeaderFleet(
  t: TestContext,
  options: { vms: number; relayed?: boolean },
): Promise<LeaderFleet> {
  const engine = await createStandInEngine({
    capacity: 1000,
    firstTokenMs: 20,
    tokenMs: 5,
  });
  const fleet = await startFleet({
    dataCentres: Array.from({ length: options.vms }, () => "north"),
    upstreamVms: { "runner-vm": "north" },
    hasRelays: options.relayed,
    document: formatDocument(engine.url),
  });
  t.after(async () => {
    await fleet.stop();
    await engine.close();
  });
  await fleet.waitUntilReady();

  async function listBackers(vm: FleetVm): Promise<string[]> {
    const answer = await fetch(`http://${vm.brokerAddress}/status`, {
      signal: AbortSignal.timeout(500),
    }).catch(() => undefined);
    if (!answer) return [];
    const status = await answer.json() as ProcessStatus;
    return status.broker?.pools[0]?.backers ?? [];
  }

  async function waitForLeader(): Promise<FleetVm> {
    let found: FleetVm | undefined;
    await waitUntil(async () => {
      for (const vm of fleet.vms) {
        const backers = await listBackers(vm);
        if (backers.length > fleet.vms.length / 2) found = vm;
      }
      return found !== undefined;
    }, "a broker leads");
    return found!;
  }

  return { ...fleet, engine, waitForLeader, listBackers };
}

function formatDocument(address: string): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" } },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams: {
      "runner-1": {
        kind: "model-runner",
        serves: ["small"],
        dataCentre: "north",
        vm: "runner-vm",
        address,
        maxConcurrent: ENGINE_LIMIT,
        coldConcurrent: ENGINE_LIMIT,
      },
    },
    classes: [{
      name: "all",
      tier: 1,
      firstTokenMs: 10_000,
      queueMs: 10_000,
      totalMs: 20_000,
    }],
  });
}
