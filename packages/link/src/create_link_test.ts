import { createSystemClock, Role } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import type { Link, LinkIdentity } from "./create_link.ts";
import { openLink } from "./create_reconnecting_link.ts";
import { MessageKind } from "./messages.ts";
import { serveLinks } from "./serve_links.ts";

const clock = createSystemClock();

function identity(vm: string, key: string): LinkIdentity {
  return { vm, role: Role.Broker, incarnation: "1", key };
}

async function startServer(
  t: TestContext,
  serve: (link: Link) => Promise<void>,
): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const links = serveLinks(server, identity("b", "a shared key of the test"), {
    clock,
    serve,
  });
  t.after(() => {
    links.close();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("messages arrive in order in both directions", async (t) => {
  const address = await startServer(t, async (link) => {
    await link.messages.observe((message) => link.send(message));
  });
  const link = await openLink(
    address,
    identity("a", "a shared key of the test"),
    { clock },
  );
  const seen: string[] = [];
  const all = link.messages.take(100).observe((message) => {
    if (message.kind === MessageKind.CancelPermitRequest) seen.push(message.id);
  });
  for (let index = 0; index < 100; index++) {
    link.send({ kind: MessageKind.CancelPermitRequest, id: String(index) });
  }
  await all;
  assert.deepEqual(seen, Array.from({ length: 100 }, (_, i) => String(i)));
  assert.equal(link.vm, "b");
  link.close();
  await link.closed;
});

test("a process with a different key is rejected", async (t) => {
  let served = 0;
  const address = await startServer(t, () => {
    served++;
    return Promise.resolve();
  });
  await assert.rejects(
    openLink(address, identity("a", "another key altogether"), { clock }),
  );
  assert.equal(served, 0);
});
