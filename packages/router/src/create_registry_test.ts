import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRegistry, type Registry } from "./create_registry.ts";
import { createSilentLog } from "./event_log.ts";
import type { ServiceDefinition, UpstreamEntry } from "./ports.ts";

const SERVICE: ServiceDefinition = {
  name: "engines",
  maxConnections: 100,
  coldMs: 3000,
  coldPerSecond: 18,
  engine: undefined,
};

function entryOf(fields: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    id: "u",
    service: "engines",
    host: "127.0.0.1",
    port: 1,
    dataCentre: "north",
    slots: 8,
    isDraining: false,
    coldMs: 0,
    bornMs: undefined,
    ...fields,
  };
}

function createTestRegistry(clock = createFakeClock(10_000)) {
  const registry = createRegistry({ clock, log: createSilentLog() });
  registry.setServices(() => SERVICE);
  return { clock, registry };
}

/** Sends of `vms` VMs in the busiest second of a cold upstream's warm-up. */
function sendToCold(vms: number, options: { areTold: boolean }): number {
  const clock = createFakeClock(10_000);
  const registries: Registry[] = [];
  for (let vm = 0; vm < vms; vm++) {
    const { registry } = createTestRegistry(clock);
    registry.set("u", entryOf({ coldMs: 3000 }));
    registries.push(registry);
  }
  const sends: number[] = [];
  for (let step = 0; step < 290; step++) {
    for (const registry of registries) {
      if (!registry.admitsCold(registry.find("u")!, vms)) continue;
      sends.push(clock.now());
      for (const other of registries) {
        if (other !== registry && !options.areTold) continue;
        other.onSent(other.find("u")!, other === registry);
      }
    }
    clock.advance(10);
  }
  let most = 0;
  for (const fromMs of sends) {
    const within = sends.filter((ms) => ms >= fromMs && ms < fromMs + 1000);
    most = Math.max(most, within.length);
  }
  return most;
}

test("herd at a cold upstream: the sum of all VMs stays within its rate", () => {
  for (const vms of [2, 9, 88]) {
    const most = sendToCold(vms, { areTold: true });
    assert.ok(most <= SERVICE.coldPerSecond, `${vms} VMs sent ${most}`);
    assert.ok(most >= SERVICE.coldPerSecond / 3, `${vms} VMs sent ${most}`);
  }
});

test("herd at a cold upstream: VMs that can't hear each other stay near it", () => {
  for (const vms of [2, 9, 88]) {
    const most = sendToCold(vms, { areTold: false });
    // The users bear half more than the rate and five calls.
    assert.ok(most <= SERVICE.coldPerSecond * 1.5 + 5, `${vms}: ${most}`);
  }
});

test("a broken upstream gets nothing for a while, longer each time", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.onBroken(registry.find("u")!, "test");
  assert.equal(registry.eligible("engines").length, 0);
  clock.advance(260);
  assert.equal(registry.eligible("engines").length, 1);
  registry.onBroken(registry.find("u")!, "test");
  clock.advance(260);
  assert.equal(registry.eligible("engines").length, 0);
});

test("an upstream that starts anew under its identifier is a new one", () => {
  const { registry } = createTestRegistry();
  registry.set("u", entryOf({ bornMs: 1 }));
  registry.find("u")!.model.remember([{ id: "part", tokens: 9 }]);
  registry.set("u", entryOf({ bornMs: 2 }));
  const { model } = registry.find("u")!;
  assert.equal(model.cachedTokens([{ id: "part", tokens: 9 }]), 0);
});

test("an entry that lapsed is kept for its time and then gone", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.remove("u", 2000);
  assert.equal(registry.eligible("engines").length, 1);
  clock.advance(2001);
  assert.equal(registry.eligible("engines").length, 0);
});

test("an entry that came back after it lapsed stays", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.remove("u", 2000);
  registry.set("u", entryOf());
  clock.advance(5000);
  assert.equal(registry.eligible("engines").length, 1);
});

test("upstreams of a data centre taken out get nothing; back, they are cold", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.setDataCentre("north", true);
  assert.equal(registry.eligible("engines").length, 0);
  registry.setDataCentre("north", false);
  assert.equal(registry.eligible("engines").length, 1);
  assert.ok(registry.find("u")!.coldUntilMs > clock.now());
});

test("lost answers: an upstream that is only silent does not count as cold", () => {
  const { clock, registry } = createTestRegistry();
  registry.set("u", entryOf());
  registry.onSilent(registry.find("u")!);
  assert.equal(registry.eligible("engines").length, 0);
  assert.ok(registry.find("u")!.coldUntilMs <= clock.now());
});
