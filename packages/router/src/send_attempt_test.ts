import { createSystemClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import {
  type Connect,
  type Connection,
  type ConnectionPool,
  createConnectionPool,
} from "./create_connection_pool.ts";
import {
  type AttemptListener,
  type RunningAttempt,
  sendAttempt,
} from "./send_attempt.ts";

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

/** A call in progress at a test upstream. */
interface GivenUpCall {
  pool: ConnectionPool;
  address: { host: string; port: number };
  connection: Connection;
  running: RunningAttempt;
}

/** How an upstream's connection ended: by a reset or in the ordinary way. */
type ConnectionEnd = "reset" | "end";

/**
 * Sends a call to an upstream that runs `answer` on its socket, then runs `act`;
 * resolves with how the connection ends for the upstream.
 */
async function endOf(options: {
  answer?(socket: Socket): void;
  act?(call: GivenUpCall): void | Promise<void>;
  listener?: Partial<AttemptListener>;
  isProbed?: boolean;
  connect?: Connect;
}): Promise<ConnectionEnd> {
  const { answer = () => {}, act = () => {}, listener } = options;
  let onRead = () => {};
  const read = new Promise<void>((resolve) => onRead = resolve);
  let onEnd: (end: ConnectionEnd) => void;
  const ended = new Promise<ConnectionEnd>((resolve) => onEnd = resolve);
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => onEnd("reset"));
    socket.on("end", () => {
      // A reset right after data is reported as an end.
      onEnd(socket.remoteAddress === undefined ? "reset" : "end");
      socket.destroy();
    });
    socket.once("data", () => {
      answer(socket);
      onRead();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const pool = createConnectionPool({
    clock: createSystemClock(),
    connect: options.connect,
  });
  if (options.isProbed) assert.equal(await pool.probe(address), true);
  const connection = pool.acquire(address, 1)!;
  const running = sendAttempt({
    connection,
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.from("body"),
  }, {
    onSent() {},
    onHead: () => true,
    onData() {},
    onEnd({ isComplete }) {
      if (isComplete) pool.release(address, connection);
      else pool.discard(address, connection);
    },
    ...listener,
  });
  await read;
  await act({ pool, address, connection, running });
  const end = await ended;
  pool.close();
  server.close();
  return end;
}

const WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const BEGUN = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
/** Time within which a test upstream's bytes arrive, in milliseconds. */
const ARRIVAL_MS = 30;

const arrival = () => new Promise((resolve) => setTimeout(resolve, ARRIVAL_MS));

const givenUpCalls: Record<string, Parameters<typeof endOf>[0]> = {
  "that is aborted before its response": {
    act: ({ running }) => running.abort(),
  },
  "that is aborted on a connection opened by a probe": {
    act: ({ running }) => running.abort(),
    isProbed: true,
  },
  "that is aborted within its response": {
    answer: (socket) => socket.write(BEGUN),
    async act({ running }) {
      await arrival();
      running.abort();
    },
  },
  "that is aborted while its response is not read": {
    answer: (socket) => socket.write(BEGUN),
    async act({ running }) {
      running.pause();
      await arrival();
      running.abort();
    },
  },
  "whose response's head is not accepted": {
    answer: (socket) => socket.write(BEGUN),
    listener: { onHead: () => false },
  },
  "whose response is not HTTP": {
    answer: (socket) => socket.write("what?\r\n\r\n"),
  },
  "whose response has too much framing": {
    answer: (socket) =>
      socket.write("HTTP/1.1 100 Continue\r\n\r\n".repeat(20_000)),
  },
  "whose connection is discarded": {
    act: ({ pool, address, connection }) => pool.discard(address, connection),
  },
  "whose pool is closed": { act: ({ pool }) => pool.close() },
};

// Guards against a request that is delivered after it was given up: the kernel
// goes on sending what was written before an ordinary close.
for (const [name, options] of Object.entries(givenUpCalls)) {
  test(`the connection of a call ${name} is reset`, async () => {
    assert.equal(await endOf(options), "reset");
  });
}

// Guards against a reset of a connection that has carried complete calls.
test("an idle connection is not reset", async () => {
  const end = await endOf({
    answer: (socket) => socket.write(WHOLE),
    async act({ pool }) {
      await arrival();
      assert.equal(pool.openCount(), 1);
      pool.close();
    },
  });
  assert.equal(end, "end");
});

test("a connection that ends with a complete response is not reset", async () => {
  const end = await endOf({
    answer: (socket) =>
      socket.write(WHOLE.replace("Content", "Connection: close\r\nContent")),
  });
  assert.equal(end, "end");
});

// Guards against a process that does not end: Node.js loses the handle of a
// connection that is reset while it is being shut down.
test("a connection that is being shut down is closed", async () => {
  let socket: Socket | undefined;
  const end = await endOf({
    connect: (options) => socket = connect(options),
    async act({ running }) {
      socket!.end();
      await new Promise((resolve) => process.nextTick(resolve));
      running.abort();
    },
  });
  assert.equal(end, "end");
  await arrival();
  const handles = process.getActiveResourcesInfo();
  assert.ok(!handles.includes("TCPSocketWrap"), String(handles));
});
