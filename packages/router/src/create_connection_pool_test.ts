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

// Guards against calls that fail as internal errors and keep their connection
// counted, as connecting to their upstream throws.
for (const port of [0, 80.5, 65_536, 70_000, -1, Infinity, NaN]) {
  test(`a call to port ${port} is unsent and leaves no connection`, async () => {
    const pool = createConnectionPool({ clock: createSystemClock() });
    const address = { host: "127.0.0.1", port };
    assert.equal(await pool.probe(address), false);
    const connection = pool.acquire(address, 1)!;
    assert.equal(pool.openCount(), 1);
    const end = await new Promise<{ wasSent: boolean }>((resolve) => {
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
        onEnd: resolve,
      });
    });
    assert.equal(end.wasSent, false);
    pool.discard(address, connection);
    assert.equal(pool.openCount(), 0);
    pool.close();
  });
}
