import { createSystemClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import type { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { createConnectionPool } from "./create_connection_pool.ts";
import { type RunningAttempt, sendAttempt } from "./send_attempt.ts";

/** Sends one call over a new connection. */
async function sendOnce(port: number) {
  const pool = createConnectionPool({ clock: createSystemClock() });
  const connection = pool.acquire({ host: "127.0.0.1", port }, 1)!;
  let body = "";
  const end = await new Promise<{ isComplete: boolean; wasSent: boolean }>(
    (resolve) => {
      sendAttempt({
        connection,
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
      }, {
        onSent() {},
        onHead: () => true,
        onData: (chunk: Buffer) => void (body += chunk.toString()),
        onEnd: resolve,
      });
    },
  );
  pool.close();
  return { ...end, body };
}

/** Sends one call to an upstream that runs `answer` on its socket. */
async function sendTo(answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const end = await sendOnce((server.address() as AddressInfo).port);
  server.close();
  return end;
}

const UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nhalf";

test("a response without a length is complete when the connection ends", async () => {
  const end = await sendTo((socket) => socket.end(UNFRAMED));
  assert.deepEqual([end.isComplete, end.body], [true, "half"]);
});

test("a response without a length is incomplete after a reset", async () => {
  const end = await sendTo((socket) => {
    socket.write(
      UNFRAMED,
      () => setTimeout(() => socket.resetAndDestroy(), 20),
    );
  });
  assert.equal(end.isComplete, false);
});

test("a response without a length is incomplete after an immediate reset", async () => {
  const end = await sendTo((socket) => {
    socket.write(UNFRAMED, () => socket.resetAndDestroy());
  });
  assert.equal(end.isComplete, false);
});

test("a chunked response without its last chunk is incomplete", async () => {
  const end = await sendTo((socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    )
  );
  assert.equal(end.isComplete, false);
});

test("a response shorter than its Content-Length is incomplete", async () => {
  const end = await sendTo((socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhalf",
    )
  );
  assert.equal(end.isComplete, false);
});

// Guards against an abort that closes a connection after its call has ended,
// when it already carries another call.
test("aborting an ended call leaves its connection open", async () => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      setTimeout(
        () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        20,
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const pool = createConnectionPool({ clock: createSystemClock() });
  const connection = pool.acquire({ host: "127.0.0.1", port }, 1)!;
  function send() {
    let attempt: RunningAttempt | undefined;
    const ended = new Promise<{ isComplete: boolean }>((resolve) => {
      attempt = sendAttempt({
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
    return { attempt: attempt!, ended };
  }
  try {
    const first = send();
    assert.equal((await first.ended).isComplete, true);
    const second = send();
    first.attempt.abort();
    assert.equal((await second.ended).isComplete, true);
  } finally {
    pool.close();
    server.close();
  }
});

test("a call to a closed port is not sent", async () => {
  const end = await sendOnce(9);
  assert.equal(end.wasSent, false);
});
