import { createStandInEngine } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { hashKey, TEST_KEY } from "./call_fleet.ts";
import { callStream, startLoad } from "./start_load.ts";
import { type FleetVm, startFleet, waitUntil } from "./start_fleet.ts";

/** Longest time until the balancer stops using a VM that isn't ready. */
const BALANCER_LAG_MS = 2000;
/** Time from an answer to the balancer's next readiness poll. */
const POLL_MS = 100;

/** Starts a fleet of three VMs with two engines. */
async function startThreeVmFleet(t: TestContext) {
  const engines = [
    await createStandInEngine({ capacity: 16 }),
    await createStandInEngine({ capacity: 16 }),
  ];
  const upstreams = engines.map((engine, index) => [`runner-${index}`, {
    kind: "model-runner",
    serves: ["small"],
    dataCentre: "north",
    vm: `runner-vm-${index}`,
    address: engine.url,
    maxConcurrent: 16,
    coldConcurrent: 4,
  }]);
  const fleet = await startFleet({
    dataCentres: ["north", "north", "north"],
    upstreamVms: { "runner-vm-0": "north", "runner-vm-1": "north" },
    document: JSON.stringify({
      service: "test",
      dataCentres: { north: { region: "r" } },
      clients: { counter: { keys: [hashKey(TEST_KEY)] } },
      upstreams: Object.fromEntries(upstreams),
      classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 20_000 }],
    }),
    settings: { balancerLagMs: BALANCER_LAG_MS, stopGraceMs: 30_000 },
  });
  t.after(async () => {
    await fleet.stop();
    for (const engine of engines) await engine.close();
  });
  await fleet.waitUntilReady();
  return fleet;
}

/**
 * Creates a load balancer that uses the VMs whose entries were ready by their
 * last answer. An answer that is late says nothing; only another answer or a
 * failed connection takes a VM out.
 */
function createBalancer(t: TestContext, vms: readonly FleetVm[]) {
  const ready = new Set(vms);
  const stopping = new AbortController();
  let turn = 0;
  async function poll(vm: FleetVm): Promise<void> {
    while (!stopping.signal.aborted) {
      const answer = await fetch(`http://${vm.entryAdmin}/ready`, {
        signal: stopping.signal,
      }).catch(() => undefined);
      if (answer?.status === 200) ready.add(vm);
      else ready.delete(vm);
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }
  for (const vm of vms) void poll(vm);
  t.after(() => stopping.abort());
  return {
    isReady: (vm: FleetVm) => ready.has(vm),
    nextUrl() {
      const list = [...ready];
      assert.ok(list.length > 0, "no VM is ready");
      return list[turn++ % list.length].url;
    },
  };
}

function startStreams(vm: FleetVm, count: number) {
  return Promise.all(
    Array.from({ length: count }, (_, index) =>
      callStream(vm.url, {
        model: "small",
        tokens: 400,
        prompt: `long ${index}`,
      })),
  );
}

async function readOpenRequests(vm: FleetVm): Promise<number> {
  const answer = await fetch(`http://${vm.entryAdmin}/status`);
  const status = await answer.json() as { entry: { requests: number } };
  return status.entry.requests;
}

test("replacing VMs one by one under load interrupts no stream and fails no request", async (t) => {
  const fleet = await startThreeVmFleet(t);
  const balancer = createBalancer(t, fleet.vms);
  const load = startLoad({
    callers: 6,
    model: "small",
    tokens: 10,
    nextUrl: balancer.nextUrl,
  });
  t.after(() => load.stop());
  await waitUntil(
    () => load.completedCount() > 100,
    "the load generator has run",
  );
  for (const vm of fleet.vms) {
    const streams = startStreams(vm, 3);
    await waitUntil(
      async () => await readOpenRequests(vm) >= 3,
      "the streams are open",
    );
    fleet.publishVms((listed) =>
      listed.name === vm.name ? { ...listed, state: "leaving" } : listed
    );
    const entryEnd = once(vm.entry, "exit");
    vm.entry.kill("SIGTERM");
    await waitUntil(
      () => !balancer.isReady(vm),
      "the balancer stopped using the VM",
      {
        timeoutMs: BALANCER_LAG_MS,
      },
    );
    for (const stream of await streams) {
      assert.ok(stream.isComplete, `${stream.status} ${stream.text}`);
    }
    assert.deepEqual(await entryEnd, [0, null]);
    const brokerEnd = once(vm.broker, "exit");
    vm.broker.kill("SIGTERM");
    assert.deepEqual(await brokerEnd, [0, null]);
    vm.restart("broker");
    vm.restart("entry");
    fleet.publishVms();
    await waitUntil(() => balancer.isReady(vm), "the VM is ready again");
  }
  await load.stop();
  t.diagnostic(
    `${load.completedCount()} calls complete, ${load.failed.length} failed`,
  );
  assert.deepEqual(load.failed, []);
});

test("stopping two of three brokers under load interrupts no stream and fails no request", async (t) => {
  const fleet = await startThreeVmFleet(t);
  const [vm] = fleet.vms;
  const load = startLoad({
    callers: 6,
    model: "small",
    tokens: 10,
    nextUrl: () => vm.url,
  });
  t.after(() => load.stop());
  const streams = startStreams(vm, 3);
  await waitUntil(
    () => load.completedCount() > 50,
    "the load generator has run",
  );
  for (const each of fleet.vms.slice(0, 2)) {
    const end = once(each.broker, "exit");
    each.broker.kill("SIGTERM");
    assert.deepEqual(await end, [0, null]);
  }
  const before = load.completedCount();
  await waitUntil(
    () => load.completedCount() > before + 50,
    "calls are still answered",
  );
  for (const stream of await streams) assert.ok(stream.isComplete, stream.text);
  await load.stop();
  assert.deepEqual(load.failed, []);
});

test("a second SIGTERM ends an entry at once", async (t) => {
  const fleet = await startThreeVmFleet(t);
  const [vm] = fleet.vms;
  const streams = startStreams(vm, 2);
  await waitUntil(
    async () => await readOpenRequests(vm) >= 2,
    "the streams are open",
  );
  const end = once(vm.entry, "exit");
  vm.entry.kill("SIGTERM");
  await waitUntil(async () => {
    const answer = await fetch(`http://${vm.entryAdmin}/ready`);
    return answer.status === 503;
  }, "the entry is stopping");
  vm.entry.kill("SIGTERM");
  assert.deepEqual(await end, [1, null]);
  for (const stream of await streams) assert.equal(stream.isComplete, false);
});
