import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { callFleet, hashKey, TEST_KEY } from "./call_fleet.ts";
import { startFleet, waitUntil } from "./start_fleet.ts";

/** Longer than a leader waits for an entry before it counts as unreachable. */
const UNREACHABLE_DELAY_MS = 3000;
/** Number of calls that the service may run at once. */
const SERVICE_LIMIT = 2;

/** Starts a service that holds each response until `answerAll`. */
async function startHoldingService(t: TestContext) {
  const held = new Set<ServerResponse>();
  const server = createServer((_request, response) => {
    held.add(response);
    response.once("close", () => held.delete(response));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    heldCalls: () => held.size,
    answerAll() {
      for (const response of held) response.end("answered");
    },
  };
}

// Guards against a permit that stays in use until a process of the paused
// entry's VM links to the leader again.
test("no permit is granted to an entry that is paused", async (t) => {
  const service = await startHoldingService(t);
  const fleet = await startFleet({
    dataCentres: ["north", "north", "north"],
    upstreamVms: { "service-vm": "north" },
    document: JSON.stringify({
      service: "test",
      dataCentres: { north: { region: "r" } },
      clients: { counter: { keys: [hashKey(TEST_KEY)] } },
      upstreams: {
        "tickets-1": {
          kind: "plain-service",
          serves: ["tickets"],
          dataCentre: "north",
          vm: "service-vm",
          address: service.url,
          maxConcurrent: SERVICE_LIMIT,
          coldConcurrent: SERVICE_LIMIT,
        },
      },
      classes: [{
        name: "tickets",
        tier: 1,
        firstTokenMs: 430,
        queueMs: 20_000,
        totalMs: 21_000,
      }],
    }),
  });
  t.after(fleet.stop);
  await fleet.waitUntilReady();
  const [holding, paused, other] = fleet.vms;
  const order = (vm: { url: string }) =>
    callFleet(`${vm.url}/v1/services/tickets/new`, { method: "POST" });
  const waitForCalls = (calls: number) =>
    waitUntil(
      () => service.heldCalls() === calls,
      `${calls} calls are at the service`,
    );

  const first = [order(holding), order(holding)];
  await waitForCalls(SERVICE_LIMIT);
  const waiting = order(paused);
  await waitUntil(async () => {
    const answer = await fetch(`http://${paused.entryAdmin}/timeline`);
    const { events } = await answer.json() as { events: { kind: string }[] };
    return events.at(-1)?.kind === "permit-asked";
  }, "the call waits for a permit");
  paused.entry.kill("SIGSTOP");
  await new Promise((resolve) => setTimeout(resolve, UNREACHABLE_DELAY_MS));
  service.answerAll();
  await Promise.all(first);
  const second = [order(other), order(other)];
  await waitForCalls(SERVICE_LIMIT);

  paused.entry.kill("SIGCONT");
  service.answerAll();
  await Promise.all(second);
  await waitForCalls(1);
  service.answerAll();
  const statuses = await Promise.all(
    [...first, ...second, waiting].map(async (call) => (await call).status),
  );
  assert.deepEqual(statuses, Array.from({ length: 5 }, () => 200));
});
