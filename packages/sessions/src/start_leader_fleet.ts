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

/** Calls that the engine of the tests declares to bear. */
export const ENGINE_LIMIT = 8;

/** A fleet in one data centre before one engine. */
export interface LeaderFleet extends Fleet {
  engine: StandInEngine;
  /** The VM whose broker most entries back. */
  leader(): Promise<FleetVm>;
  /** VMs that back a VM's broker; nothing if it doesn't answer. */
  backers(vm: FleetVm): Promise<string[]>;
}

/** Starts a fleet whose engine would take more calls than it declares. */
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
    relayed: options.relayed,
    document: formatDocument(engine.url),
  });
  t.after(async () => {
    await fleet.stop();
    await engine.close();
  });
  await fleet.ready();

  async function backers(vm: FleetVm): Promise<string[]> {
    const answer = await fetch(`http://${vm.brokerAddress}/status`, {
      signal: AbortSignal.timeout(500),
    }).catch(() => undefined);
    if (!answer) return [];
    const status = await answer.json() as ProcessStatus;
    return status.broker?.pools[0]?.backers ?? [];
  }

  async function leader(): Promise<FleetVm> {
    let found: FleetVm | undefined;
    await waitUntil(async () => {
      for (const vm of fleet.vms) {
        const held = await backers(vm);
        if (held.length > fleet.vms.length / 2) found = vm;
      }
      return found !== undefined;
    }, "a broker leads");
    return found!;
  }

  return { ...fleet, engine, leader, backers };
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
