import { createFakeClock, type FakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRegistry, type Upstream } from "./create_registry.ts";
import {
  createWarmUpLimits,
  type WarmUpLimits,
} from "./create_warm_up_limits.ts";
import { createNoopLog } from "./event_log.ts";
import type { ServiceDefinition } from "./ports.ts";

const SERVICE: ServiceDefinition = {
  name: "engines",
  healthPath: "/health",
  maxConnections: 100,
  warmUpMs: 3000,
  warmUpCallsPerSecond: 18,
  engine: undefined,
};

/** Settings of a test VM. */
interface VmOptions {
  clock: FakeClock;
  /** Number of the VM among `vms`. */
  number: number;
  vms: number;
  perSecond?: number;
  warmUpMs?: number;
  isFleetKnown?: () => boolean;
}

/** A VM that knows one upstream, in the data centre of the first VM. */
function createVm(options: VmOptions): { limits: WarmUpLimits; u: Upstream } {
  const { clock, number, vms, perSecond = 18, warmUpMs = 3000 } = options;
  const { isFleetKnown = () => true } = options;
  const service = { ...SERVICE, warmUpCallsPerSecond: perSecond };
  const registry = createRegistry({ clock, log: createNoopLog() });
  registry.setServices(() => service);
  registry.set("u", {
    id: "u",
    service: "engines",
    host: "127.0.0.1",
    port: 1,
    dataCentre: "north",
    slots: 8,
    isDraining: false,
    warmUpMs,
    startedMs: undefined,
    softwareVersion: "v1",
  });
  const hosts = Array.from({ length: vms }, (_, vm) => `vm-${vm}`);
  const sharing = {
    own: `vm-${number}`,
    hosts,
    localHosts: new Set(hosts.filter((_, vm) => vm % 2 === 0)),
  };
  const limits = createWarmUpLimits({
    clock,
    network: { sharingVms: () => sharing, isFleetKnown },
    findService: () => service,
  });
  return { limits, u: registry.find("u")! };
}

/** Most calls that `vms` VMs together send in one second of a warm-up. */
function countWarmUpCalls(
  vms: number,
  options: { isLoadShared: boolean; perSecond?: number },
): number {
  const clock = createFakeClock(10_000);
  const { perSecond = 18 } = options;
  const all = Array.from(
    { length: vms },
    (_, number) => createVm({ clock, number, vms, perSecond }),
  );
  const sends: number[] = [];
  for (let step = 0; step < 290; step++) {
    for (const vm of all) {
      if (!vm.limits.canAdmit(vm.u)) continue;
      sends.push(clock.now());
      for (const other of all) {
        if (other !== vm && !options.isLoadShared) continue;
        other.limits.onSent(other.u, other === vm);
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

test("thundering herd in warm-up: VMs together stay within the rate limit", () => {
  for (const vms of [2, 9, 88]) {
    const most = countWarmUpCalls(vms, { isLoadShared: true });
    assert.ok(most <= SERVICE.warmUpCallsPerSecond, `${vms} VMs sent ${most}`);
    assert.ok(
      most >= SERVICE.warmUpCallsPerSecond / 3,
      `${vms} VMs sent ${most}`,
    );
  }
});

test("thundering herd in warm-up: VMs without shared load stay near the limit", () => {
  for (const vms of [2, 9, 88]) {
    const most = countWarmUpCalls(vms, { isLoadShared: false });
    // Without shared load, the users accept 1.5 times the rate plus 5 calls.
    assert.ok(
      most <= SERVICE.warmUpCallsPerSecond * 1.5 + 5,
      `${vms}: ${most}`,
    );
  }
});

// Guards against a rate that is not used, or exceeded, by the VMs' parts alone.
test("the parts of all VMs add up to the rate", () => {
  for (const vms of [2, 9, 40, 195, 410]) {
    for (const perSecond of [1, 5, 16, 17.5, 60]) {
      const most = countWarmUpCalls(vms, { isLoadShared: false, perSecond });
      assert.equal(most, Math.floor(perSecond), `${vms} VMs, ${perSecond}`);
    }
  }
});

// Guards against a VM that takes a part before it knows who shares the rate.
test("a VM that does not know the fleet sends nothing to cold upstreams", () => {
  const clock = createFakeClock(10_000);
  let isKnown = false;
  const { limits, u } = createVm({
    clock,
    number: 0,
    vms: 2,
    isFleetKnown: () => isKnown,
  });
  assert.equal(limits.canAdmit(u), false);
  isKnown = true;
  assert.equal(limits.canAdmit(u), true);
  isKnown = false;
  clock.advance(3001);
  assert.equal(limits.canAdmit(u), true);
});

// Guards against calls that were placed before a warm-up and sent within it.
test("a call that is written late counts when it is written", () => {
  const clock = createFakeClock(10_000);
  const { limits, u } = createVm({ clock, number: 0, vms: 2, perSecond: 2 });
  const placedMs = clock.now();
  limits.onSent(u, true);
  clock.advance(900);
  assert.equal(limits.confirmSend(u, placedMs), true);
  clock.advance(500);
  assert.equal(limits.canAdmit(u), false);
  assert.equal(limits.confirmSend(u, placedMs - 1), false);
  clock.advance(501);
  assert.equal(limits.confirmSend(u, placedMs - 1), true);
  assert.equal(limits.canAdmit(u), false);
});
