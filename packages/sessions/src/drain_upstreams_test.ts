import { createStandInEngine } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { hashKey, TEST_KEY } from "./call_fleet.ts";
import { callStream, startLoad } from "./start_load.ts";
import { type Fleet, startFleet, waitUntil } from "./start_fleet.ts";

/** Time in which a change must take effect: no new call may start after it. */
const MAX_PROPAGATION_MS = 4000;
const COLD_CONCURRENT = 2;

function formatDocument(addresses: string[], change: Change): string {
  const upstreams = addresses.map((address, index) => [`runner-${index + 1}`, {
    kind: "model-runner",
    serves: ["small"],
    dataCentre: index === 0 ? "north" : "south",
    vm: `runner-vm-${index + 1}`,
    address,
    maxConcurrent: 16,
    coldConcurrent: COLD_CONCURRENT,
    ...(index === 0 ? change.upstream : {}),
  }]);
  return JSON.stringify({
    service: "test",
    dataCentres: {
      north: { region: "r", ...change.dataCentre },
      south: { region: "r" },
    },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams: Object.fromEntries(upstreams),
    classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 10000 }],
    vmsOutOfService: change.vmsOutOfService ?? [],
  });
}

interface Change {
  upstream?: object;
  dataCentre?: object;
  vmsOutOfService?: string[];
  vmList?: "leaving" | "removed";
}

const OUT_OF_SERVICE = { state: "out-of-service" };
const CHANGES: Record<string, Change> = {
  "an upstream out of service": { upstream: OUT_OF_SERVICE },
  "a data centre out of service": { dataCentre: OUT_OF_SERVICE },
  "a VM out of service": { vmsOutOfService: ["runner-vm-1"] },
  "a leaving VM": { vmList: "leaving" },
  "a VM removed from the list": { vmList: "removed" },
};

function publish(fleet: Fleet, addresses: string[], change: Change): void {
  fleet.platform.publish("services/test", formatDocument(addresses, change));
  fleet.publishVms((vm) => {
    if (vm.name !== "runner-vm-1") return vm;
    if (change.vmList === "removed") return undefined;
    return { ...vm, state: change.vmList ?? "live" };
  });
}

test("an upstream taken out of service gets no new calls, completes its open ones and is warmed up on return", async (t) => {
  const engines = [
    // A cold engine crashes under more than `warmUpCapacity` concurrent calls.
    await createStandInEngine({
      warmUpCapacity: COLD_CONCURRENT,
      warmUpCalls: COLD_CONCURRENT,
      capacity: 16,
    }),
    await createStandInEngine({ capacity: 16 }),
  ];
  const addresses = engines.map((engine) => engine.url);
  const [engine] = engines;
  const fleet = await startFleet({
    dataCentres: ["north", "north", "south"],
    upstreamVms: { "runner-vm-1": "north", "runner-vm-2": "south" },
    document: formatDocument(addresses, {}),
  });
  t.after(async () => {
    await fleet.stop();
    for (const each of engines) await each.close();
  });
  await fleet.waitUntilReady();
  let turn = 0;
  const load = startLoad({
    callers: 6,
    model: "small",
    tokens: 10,
    nextUrl: () => fleet.vms[turn++ % fleet.vms.length].url,
  });
  t.after(() => load.stop());
  await waitUntil(
    () => load.completedCount() > 100,
    "the load generator has run",
  );

  for (const [name, change] of Object.entries(CHANGES)) {
    const long = fleet.vms.slice(0, 2).map((vm) =>
      callStream(vm.url, { model: "small", tokens: 500, prompt: name })
    );
    await waitUntil(() => engine.running() >= 2, "long streams started");
    const startedMs = performance.now();
    publish(fleet, addresses, change);
    let lastStartMs = performance.now();
    let started = engine.counts.started;
    await waitUntil(() => {
      const nowMs = performance.now();
      if (engine.counts.started > started) lastStartMs = nowMs;
      started = engine.counts.started;
      return nowMs - lastStartMs > 1000;
    }, `no new call has started for 1 s: ${name}`);
    const lastMs = lastStartMs - startedMs;
    t.diagnostic(`${name}: last start after ${lastMs.toFixed(0)} ms`);
    assert.ok(lastMs < MAX_PROPAGATION_MS, `${name}: ${lastMs} ms`);
    for (const stream of await Promise.all(long)) {
      assert.ok(stream.isComplete, `${name}: ${stream.status} ${stream.text}`);
    }
    assert.equal(engine.counts.started, started, name);
    assert.equal(engine.running(), 0);

    engine.restartWarmUp();
    publish(fleet, addresses, {});
    await waitUntil(
      () => engine.counts.started > started + 20,
      "the upstream gets calls again",
    );
    assert.equal(engine.counts.crashes, 0, `${name}: the cold engine crashed`);
  }
  await load.stop();
  assert.deepEqual(load.failed, []);
});
