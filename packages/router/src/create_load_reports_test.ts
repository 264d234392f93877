import type { LoadEvent, Member } from "@rosemarytiller/peers";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLoadReports } from "./create_load_reports.ts";
import { createRegistry } from "./create_registry.ts";
import { createNoopLog } from "./event_log.ts";

/** A VM in "north" with these numbers of upstreams by data centre. */
function createTestReports(
  upstreams: Record<string, number>,
  options: {
    isLarge?: boolean;
    members?: [string, string][];
    /** Time since the VM's start, in milliseconds. */
    upMs?: number;
  } = {},
) {
  const { isLarge = true, upMs = 2000 } = options;
  const { members = [["10.0.0.1", "north"], ["10.0.0.2", "south"]] } = options;
  const clock = createFakeClock(10_000);
  const registry = createRegistry({ clock, log: createNoopLog() });
  registry.setServices(() => undefined);
  for (const [dataCentre, count] of Object.entries(upstreams)) {
    for (let number = 0; number < count; number++) {
      registry.set(`${dataCentre}-${number}`, {
        id: `${dataCentre}-${number}`,
        service: "plain",
        host: "127.0.0.1",
        port: 1,
        dataCentre,
        slots: 16,
        isDraining: false,
        warmUpMs: 0,
        startedMs: undefined,
        softwareVersion: "v1",
      });
    }
  }
  const sent: { upstreams: string[]; hosts: readonly string[] }[] = [];
  const reports = createLoadReports({
    clock,
    registry,
    dataCentre: "north",
    network: {
      isLargeFleet: () => isLarge,
      reachableMembers: () =>
        members.map(([host, dataCentre]) => ({ host, dataCentre } as Member)),
      sendLoadEvents: (events: readonly LoadEvent[], hosts) =>
        void sent.push({
          upstreams: events.map((event) =>
            "upstream" in event ? event.upstream : ""
          ),
          hosts,
        }),
    },
  });
  clock.advance(upMs);
  return { reports, sent };
}

test("upstreams of the own data centre are reported to the others only", () => {
  const { reports, sent } = createTestReports({ north: 2, south: 2 });
  reports.send();
  assert.deepEqual(sent, [
    { upstreams: ["north-0", "north-1"], hosts: ["10.0.0.2"] },
  ]);
});

test("each upstream's turn comes if there are too many for one report", () => {
  const { reports, sent } = createTestReports({ north: 40 });
  for (let count = 0; count < 3; count++) reports.send();
  const reported = new Set(sent.flatMap(({ upstreams }) => upstreams));
  assert.equal(sent[0]!.upstreams.length, 16);
  assert.equal(reported.size, 40);
});

test("each VM of the other data centres has its turn", () => {
  const members: [string, string][] = [];
  for (let number = 0; number < 10; number++) {
    members.push([`10.1.0.${number}`, "south"], [`10.2.0.${number}`, "east"]);
  }
  const { reports, sent } = createTestReports({ north: 1 }, { members });
  for (let count = 0; count < 5; count++) reports.send();
  const hosts = sent.flatMap((report) => report.hosts);
  assert.equal(hosts.length, 20);
  assert.equal(new Set(hosts).size, 20);
});

test("a small fleet, whose VMs know each call, sends no reports", () => {
  const { reports, sent } = createTestReports({ north: 2 }, { isLarge: false });
  reports.send();
  assert.deepEqual(sent, []);
});

// Failure: a VM that has just started knows only the calls since then.
test("a VM that has just started sends no reports", () => {
  const { reports, sent } = createTestReports({ north: 2 }, { upMs: 1999 });
  reports.send();
  assert.deepEqual(sent, []);
});
