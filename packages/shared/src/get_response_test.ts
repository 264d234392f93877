import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSystemClock } from "./clock.ts";
import { getResponse } from "./get_response.ts";

const LIMITS = { timeoutMs: 200, maxPauseMs: 200, maxMs: 2000, maxBytes: 4096 };

async function get(
  t: TestContext,
  respond: RequestListener,
  limits: Partial<typeof LIMITS> = {},
) {
  const server = createServer(respond).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return await getResponse(
    { host: "127.0.0.1", port, path: "/", agent: false },
    { clock: createSystemClock(), ...LIMITS, ...limits },
  );
}

/** Sends the head and then a byte in each interval. */
const respondSlowly: RequestListener = async (_incoming, response) => {
  response.writeHead(200);
  for (let byte = 0; byte < 8 && !response.destroyed; byte++) {
    response.write(".");
    await sleep(80);
  }
  response.end();
};

test("a response is returned with its status and body", async (t) => {
  const { status, headers, body } = await get(
    t,
    (_incoming, response) =>
      void response.writeHead(404, { "X-Era": "2" }).end("gone"),
  );
  assert.equal(status, 404);
  assert.equal(headers["x-era"], "2");
  assert.equal(body.toString(), "gone");
});

test("a response that makes progress may take longer than the timeout", async (t) => {
  const { body } = await get(t, respondSlowly);
  assert.equal(body.toString(), "........");
});

test("a response that takes longer than the limit is given up", (t) =>
  assert.rejects(get(t, respondSlowly, { maxMs: 300 }), /in time/));

test("a response that does not begin is given up", (t) =>
  assert.rejects(get(t, () => {}), /in time/));

test("a response that takes too much memory is given up", (t) =>
  assert.rejects(
    get(t, (_incoming, response) => void response.end("x".repeat(5000))),
    /exceeds/,
  ));
