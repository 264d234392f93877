import { createSystemClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createConnectionPool } from "./create_connection_pool.ts";
import { sendAttempt } from "./send_attempt.ts";

// Guards against a connection of a probe that never carries a call.
test("the connection of a probe carries the next call", async () => {
  let connections = 0;
  const server = createServer((_incoming, response) => response.end("done"));
  server.on("connection", () => connections++);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const pool = createConnectionPool({ clock: createSystemClock() });
  try {
    assert.equal(await pool.probe(address), true);
    const connection = pool.acquire(address, 1)!;
    const isComplete = await new Promise((resolve) => {
      sendAttempt({
        connection,
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
      }, {
        onSent() {},
        onHead: () => true,
        onData() {},
        onEnd: (end) => resolve(end.isComplete),
      });
    });
    assert.equal(isComplete, true);
    assert.equal(connections, 1);
  } finally {
    pool.close();
    server.close();
    server.closeAllConnections();
  }
  assert.equal(await pool.probe(address), false);
});
