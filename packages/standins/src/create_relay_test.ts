import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { createRelay, type Relay } from "./create_relay.ts";

async function createEchoRelay(t: TestContext): Promise<Relay> {
  const server = createServer((socket) => void socket.pipe(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const relay = await createRelay(`127.0.0.1:${port}`);
  t.after(async () => {
    await relay.close();
    server.close();
  });
  return relay;
}

function connectTo(relay: Relay) {
  const [host, port] = relay.address.split(":");
  return connect(Number(port), host);
}

test("a frozen relay keeps connections open and buffers their data", async (t) => {
  const relay = await createEchoRelay(t);
  const socket = connectTo(relay);
  await once(socket, "connect");
  relay.freeze();
  let answer = "";
  socket.on("data", (bytes) => answer += bytes);
  socket.write("held");
  const other = connectTo(relay);
  await once(other, "connect");
  assert.equal(answer, "");
  relay.heal();
  await once(socket, "data");
  assert.equal(answer, "held");
  socket.destroy();
  other.destroy();
});

test("a cut relay closes connections until it is healed", async (t) => {
  const relay = await createEchoRelay(t);
  const socket = connectTo(relay);
  await once(socket, "connect");
  socket.write("first");
  await once(socket, "data");
  relay.cut();
  await once(socket, "close");
  const refused = connectTo(relay);
  refused.on("error", () => {});
  await once(refused, "close");
  relay.heal();
  const healed = connectTo(relay);
  healed.write("again");
  const [bytes] = await once(healed, "data");
  assert.equal(String(bytes), "again");
  healed.destroy();
});

test("the delay applies to each chunk in each direction", async (t) => {
  const relay = await createEchoRelay(t);
  const socket = connectTo(relay);
  await once(socket, "connect");
  relay.setDelay(30);
  const startedMs = performance.now();
  socket.write("slow");
  await once(socket, "data");
  // Timers may fire a millisecond early.
  assert.ok(performance.now() - startedMs >= 58);
  socket.destroy();
});
