import {
  createStandInEngine,
  createStandInService,
  type StandInEngine,
  type StandInService,
} from "@rosemarytiller/standins";
import { callChat, callFleet, hashKey, TEST_KEY } from "./call_fleet.ts";
import { type Fleet, startFleet, waitUntil } from "./start_fleet.ts";

/** API key of a client that no class matches. */
export const VISITOR_KEY = "test-key-of-the-visitor-client";

/** Time between two tokens of an engine, in milliseconds. */
export const TOKEN_MS = 5;

/**
 * How long the fleet keeps an idempotency key. In a newly started fleet, no VM
 * can vouch for a key until this time has passed.
 */
const RETRY_HORIZON_MS = 2000;

/** The fleet of the golden sessions, with its stand-in upstreams. */
export interface GoldenFleet {
  fleet: Fleet;
  engines: { north: StandInEngine; south: StandInEngine };
  service: StandInService;
  /**
   * Publishes the document with a state of the data centre north, by default
   * "in-service".
   */
  publish(states?: { north?: string }): void;
  stop(): Promise<void>;
}

/**
 * Starts a VM and an engine in each of two data centres, and a plain service in
 * the first. Resolves when each VM has answered a completion and a request to
 * the plain service.
 */
export async function startGoldenFleet(): Promise<GoldenFleet> {
  const engines = {
    north: await createStandInEngine({ capacity: 2, tokenMs: TOKEN_MS }),
    south: await createStandInEngine({ capacity: 2, tokenMs: TOKEN_MS }),
  };
  const service = await createStandInService({ name: "orders" });
  const formatDocument = (states: { north?: string } = {}) =>
    JSON.stringify(createDocument(engines, service, states));
  const fleet = await startFleet({
    dataCentres: ["north", "south"],
    upstreamVms: {
      "runner-vm-1": "north",
      "runner-vm-2": "south",
      "orders-vm": "north",
    },
    document: formatDocument(),
    settings: { balancerLagMs: 300, retryHorizonMs: RETRY_HORIZON_MS },
  });
  await fleet.waitUntilReady();
  await warmUp(fleet);
  return {
    fleet,
    engines,
    service,
    publish: (states) =>
      void fleet.platform.publish("services/test", formatDocument(states)),
    async stop() {
      await fleet.stop();
      for (const engine of Object.values(engines)) await engine.close();
      await service.close();
    },
  };
}

/**
 * Waits until each VM answers a completion and can claim an idempotency key.
 * Its links to the brokers and to the other VM are connected then.
 */
async function warmUp(fleet: Fleet): Promise<void> {
  for (const vm of fleet.vms) {
    await waitUntil(async () => {
      const messages = [{ role: "user", content: "warm up" }];
      const answer = await callChat(vm.url, {
        model: "small",
        messages,
        max_tokens: 1,
      });
      return answer.status === 200;
    }, `${vm.name} answers a completion`);
    await waitUntil(async () => {
      const answer = await callFleet(`${vm.url}/v1/services/orders/warm-up`, {
        method: "POST",
        headers: { "idempotency-key": crypto.randomUUID() },
      });
      return answer.status === 200;
    }, `${vm.name} can claim an idempotency key`);
  }
}

function createDocument(
  engines: GoldenFleet["engines"],
  service: StandInService,
  states: { north?: string },
): unknown {
  const runner = (dataCentre: string, vm: string, engine: StandInEngine) => ({
    kind: "model-runner",
    serves: ["small"],
    dataCentre,
    vm,
    address: engine.url,
    maxConcurrent: 2,
    coldConcurrent: 2,
  });
  return {
    service: "test",
    dataCentres: {
      north: { region: "r", state: states.north ?? "in-service" },
      south: { region: "r" },
    },
    clients: {
      counter: { keys: [hashKey(TEST_KEY)] },
      visitor: { keys: [hashKey(VISITOR_KEY)] },
    },
    upstreams: {
      "runner-1": runner("north", "runner-vm-1", engines.north),
      "runner-2": runner("south", "runner-vm-2", engines.south),
      "orders-1": {
        kind: "plain-service",
        serves: ["orders"],
        dataCentre: "north",
        vm: "orders-vm",
        address: service.url,
        maxConcurrent: 4,
      },
    },
    classes: [
      {
        name: "orders",
        tier: 2,
        match: { services: ["orders"], clients: ["counter"] },
        firstTokenMs: 1000,
        queueMs: 5000,
        idempotent: false,
      },
      {
        name: "north-only",
        tier: 2,
        match: {
          clients: ["counter"],
          header: { name: "x-task", value: "north" },
        },
        firstTokenMs: 1000,
        queueMs: 300,
        dataCentres: ["north"],
      },
      {
        name: "counter",
        tier: 1,
        match: { clients: ["counter"], models: ["small"] },
        firstTokenMs: 430,
        queueMs: 5000,
      },
    ],
  };
}
