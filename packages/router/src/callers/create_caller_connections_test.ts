import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import {
  ClosedFor,
  createCallerConnections,
} from "./create_caller_connections.ts";

/** A connection without a network. */
function createSocket() {
  const socket = Object.assign(new EventEmitter(), {
    bytesRead: 0,
    bytesWritten: 0,
    writableLength: 0,
    destroyed: false,
    pause() {},
    resume() {},
    destroy() {
      if (socket.destroyed) return;
      socket.destroyed = true;
      socket.emit("close");
    },
  });
  return socket;
}

type TestSocket = ReturnType<typeof createSocket>;

/** Bounds for ten connections. */
function createTestConnections() {
  const clock = createFakeClock(10_000);
  const server = new EventEmitter();
  const reasons: ClosedFor[] = [];
  const connections = createCallerConnections({
    clock,
    maxDescriptors: 17,
    maxHeadBytes: 1000,
    readerTimeoutMs: 20_000,
    onClosed: (reason) => reasons.push(reason),
  });
  connections.track(server as never);

  function open(count: number): TestSocket[] {
    const sockets = Array.from({ length: count }, createSocket);
    for (const socket of sockets) server.emit("connection", socket);
    return sockets;
  }

  /** Receives a request's head; `begun` lists the requests that have begun. */
  function request(socket: TestSocket, begun: string[], name = "") {
    const response = Object.assign(new EventEmitter(), { destroy() {} });
    const incoming = { socket, rawHeaders: [] };
    let onReceived = () => {};
    connections.enter(
      { incoming: incoming as never, response: response as never },
      (received) => {
        begun.push(name);
        onReceived = received;
      },
    );
    return {
      received: () => onReceived(),
      answer: () => void response.emit("close"),
    };
  }
  return { clock, connections, reasons, open, request };
}

// Load: more clients connect than the process has descriptors.
test("the oldest connection without a request makes room", () => {
  const { connections, reasons, open } = createTestConnections();
  const sockets = open(12);
  assert.equal(connections.openCount(), 10);
  assert.deepEqual(sockets.map(({ destroyed }) => destroyed).slice(0, 3), [
    true,
    true,
    false,
  ]);
  assert.deepEqual(reasons, [ClosedFor.Room, ClosedFor.Room]);
});

test("no connection on which a request is served makes room", () => {
  const { connections, open, request } = createTestConnections();
  const sockets = open(10);
  for (const socket of sockets) request(socket, []).received();
  const [late] = open(1);
  assert.equal(late!.destroyed, true);
  assert.equal(connections.openCount(), 10);
  assert.ok(sockets.every(({ destroyed }) => !destroyed));
});

// Load: slow clients hold all places with bodies that do not end.
test("a connection whose request is not complete makes room", () => {
  const { open, request } = createTestConnections();
  const sockets = open(10);
  for (const socket of sockets) request(socket, []);
  const [late] = open(1);
  assert.equal(late!.destroyed, false);
  assert.equal(sockets[0]!.destroyed, true);
});

test("requests ahead begin in order, one at a time", () => {
  const { open, request } = createTestConnections();
  const [socket] = open(1);
  const begun: string[] = [];
  const first = request(socket!, begun, "first");
  const second = request(socket!, begun, "second");
  assert.deepEqual(begun, ["first"]);
  first.answer();
  assert.deepEqual(begun, ["first", "second"]);
  second.answer();
});

// Load: hundreds of requests ahead without reading an answer.
test("a connection with too many requests ahead is closed", () => {
  const { reasons, open, request } = createTestConnections();
  const [socket] = open(1);
  const begun: string[] = [];
  const first = request(socket!, begun);
  for (let count = 0; count < 400; count++) request(socket!, begun);
  assert.deepEqual(reasons, [ClosedFor.RequestsAhead]);
  assert.equal(socket!.destroyed, true);
  first.answer();
  assert.equal(begun.length, 1);
});

test("a client that takes nothing of a response for long is closed", () => {
  const { clock, connections, reasons, open } = createTestConnections();
  const [stalled, slow] = open(2);
  for (const socket of [stalled!, slow!]) {
    socket.bytesWritten = 1000;
    socket.writableLength = 500;
  }
  connections.sweep();
  clock.advance(20_000);
  slow!.writableLength = 499;
  connections.sweep();
  assert.deepEqual(reasons, [ClosedFor.SlowReader]);
  assert.equal(stalled!.destroyed, true);
  assert.equal(slow!.destroyed, false);
});

// Load: long heads that stop half-way.
test("unfinished heads are bounded, the oldest is closed", () => {
  const { connections, reasons, open } = createTestConnections();
  const sockets = open(3);
  for (const socket of sockets) socket.bytesRead = 400;
  connections.sweep();
  assert.deepEqual(reasons, [ClosedFor.UnfinishedHeads]);
  assert.equal(sockets[0]!.destroyed, true);
});
