import { createSystemClock, LogPart, useLog } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { Leadership } from "./create_leadership.ts";
import type { Pool } from "./create_pool.ts";
import { pollLoad } from "./poll_load.ts";

// Such an error was taken for a failed poll and left no trace.
test("an error in handling load reports is logged once until one is handled", async (t) => {
  const report = { running: 0, waiting: 0, ageMs: 0, instance: "1" };
  const server = createServer((_request, response) =>
    response.end(JSON.stringify(report))
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `http://127.0.0.1:${port}`;
  const logged: unknown[] = [];
  useLog(LogPart.Broker).mockTypes((type) => (...args: unknown[]) => {
    if (type === "error") logged.push(args[1]);
  });
  const error = new Error("the pool failed");
  let polls = 0;
  let isFailing = true;
  const pool = {
    name: "test/small@north",
    upstreams: () => [{ name: "runner-1", address, limit: 1, live: 0 }],
    onLoadReport() {
      polls++;
      if (isFailing) throw error;
    },
  };
  const leadership = {
    reportsLoad: () => true,
    needsReport: () => true,
    onLoadReport() {},
  };
  const polling = pollLoad(() => [pool as unknown as Pool], {
    clock: createSystemClock(),
    leadership: leadership as unknown as Leadership,
  });
  t.after(() => {
    polling.stop();
    server.close();
  });
  async function waitForPolls(count: number): Promise<void> {
    const until = polls + count;
    while (polls < until) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  await waitForPolls(3);
  assert.deepEqual(logged, [error]);
  isFailing = false;
  await waitForPolls(1);
  isFailing = true;
  await waitForPolls(2);
  assert.deepEqual(logged, [error, error]);
});
