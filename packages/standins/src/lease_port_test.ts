import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import { test } from "node:test";
import { leasePort, releasePort } from "./lease_port.ts";

test("a leased port is not leased again until it is released", async () => {
  const ports = await Promise.all(
    Array.from({ length: 200 }, () => leasePort()),
  );
  assert.equal(new Set(ports).size, ports.length);
  const [released] = ports;
  releasePort(released);
  const next: number[] = [];
  while (next.length < 200 && !next.includes(released)) {
    next.push(await leasePort());
  }
  assert.ok(next.includes(released));
  for (const port of next) {
    assert.ok(port === released || !ports.includes(port), `${port} again`);
  }
});

test("a port on which a process listens is not leased", async (t) => {
  const port = await leasePort();
  const server = createServer().listen(port, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  releasePort(port);
  const leased = await Promise.all(
    Array.from({ length: 200 }, () => leasePort()),
  );
  assert.ok(!leased.includes(port));
});
