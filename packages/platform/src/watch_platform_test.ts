import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleetView } from "./create_fleet_view.ts";
import { PLATFORM_IDLE_TIMEOUT_MS, watchPlatform } from "./watch_platform.ts";

test("a process with data waits the idle timeout before it watches", () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  const watch = watchPlatform(view, {
    platform: { replicas: [] },
    clock,
    vm: "vm-1",
    dataCentre: "north",
    random: () => 0,
  });
  assert.equal(watch.isWatching(), true, "it has no data");
  view.offerVms({ revision: 1, vms: [] });
  const document = {
    service: "test",
    dataCentres: { north: { region: "r" } },
    clients: {},
    upstreams: {},
    classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 5000 }],
  };
  const text = JSON.stringify(document);
  assert.ok(view.offerDocument({ key: "test", revision: 1, text }, ""));
  assert.equal(watch.isWatching(), false);
  clock.advance(PLATFORM_IDLE_TIMEOUT_MS);
  assert.equal(watch.isWatching(), false);
  clock.advance(1);
  assert.equal(watch.isWatching(), true);
  view.recordPlatformContact(0);
  assert.equal(watch.isWatching(), false);
});
