import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { callChat } from "./call_fleet.ts";
import { startTestEntry } from "./start_test_entry.ts";

/** Reads one request's head and body from the text; "" if it is not complete. */
function completeRequest(text: string): string {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return "";
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
  return text.length >= end + 4 + length ? text : "";
}

// Guards against an upstream's earlier refusal, written once more on a kept
// connection, that is taken for the answer of the next call: it ran.
test("a model runner's refusal written once more is not the next call's", async (t) => {
  let runs = 0;
  let refusal = "";
  const sockets = new Set<Socket>();
  const upstream = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      const request = completeRequest(text);
      if (!request) return;
      text = "";
      if (refusal) {
        runs++;
      } else {
        const [, attempt] = /x-attempt-id: (\S+)/i.exec(request)!;
        refusal = [
          "HTTP/1.1 503 Service Unavailable",
          `X-Attempt-Id: ${attempt}`,
          "Content-Length: 0",
          "",
          "",
        ].join("\r\n");
      }
      socket.write(refusal);
    });
  }).listen(0, "127.0.0.1");
  await once(upstream, "listening");
  const { port } = upstream.address() as AddressInfo;
  const entry = await startTestEntry({ engines: [`http://127.0.0.1:${port}`] });
  t.after(async () => {
    await entry.close();
    for (const socket of sockets) socket.destroy();
    upstream.close();
  });
  const body = {
    model: "small",
    messages: [{ role: "user", content: "hello" }],
  };
  const headers = { "x-once": "yes" };
  const refused = await callChat(entry.url, body, { headers });
  assert.equal(JSON.parse(refused.text).run, "not-run");
  const next = await callChat(entry.url, body, { headers });
  assert.equal(runs, 1);
  assert.equal(JSON.parse(next.text).run, "may-have-run", next.text);
});
