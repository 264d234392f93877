// Stand-in of a runner: reads requests from raw connections and lets a test
// decide what is written. Keeps a record of what arrived, ran and ended.
import { Buffer } from "node:buffer";
import net from "node:net";
import { createHash } from "node:crypto";

/**
 * Starts a runner. `behave(call)` answers a request once its head has arrived;
 * `call.body` resolves with the whole body. Without `isRaw`, calls for another
 * instance get 421.
 */
async function startRunner(
  { id, host, port = 0, behave, record, health = () => 200 },
) {
  const sockets = new Set();
  const hooks = { onSocket: undefined };
  const born = Date.now();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    hooks.onSocket?.(socket);
    let buffer = Buffer.alloc(0);
    let current; // call whose body is being read
    let isHeld = false;
    let isClosed = false;
    const calls = [];
    socket.on("error", () => {});
    socket.on("close", () => {
      isClosed = true;
      sockets.delete(socket);
      for (const call of calls) {
        if (!call.isOver) call.drop("its connection closed");
      }
      current?.resolveBody(undefined);
    });
    socket.on("data", (bytes) => {
      buffer = buffer.length ? Buffer.concat([buffer, bytes]) : bytes;
      if (!isHeld) read();
    });
    function read() {
      for (;;) {
        if (current) {
          if (buffer.length < current.length) return;
          const body = buffer.subarray(0, current.length);
          buffer = buffer.subarray(current.length);
          const done = current;
          current = undefined;
          done.resolveBody(body);
        }
        const end = buffer.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = buffer.toString("latin1", 0, end);
        buffer = buffer.subarray(end + 4);
        begin(head);
      }
    }
    function begin(head) {
      const [line, ...lines] = head.split("\r\n");
      const [method, path] = line.split(" ");
      const headers = {};
      for (const text of lines) {
        const colon = text.indexOf(":");
        headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1)
          .trim();
      }
      const length = Number(headers["content-length"] ?? 0);
      const attempt = headers["rosemarytiller-attempt-id"];
      let resolveBody;
      const body = new Promise((done) => resolveBody = done);
      const call = {
        at: Date.now(),
        method,
        path,
        headers,
        attempt,
        length,
        body,
        resolveBody,
        socket,
        head,
        isOver: false,
        onDrop: () => {},
        write: (text) => {
          if (socket.held) return void socket.held.push(text);
          return !socket.destroyed && socket.write(text);
        },
        note: (what, more = {}) =>
          record({ runner: id, attempt, path, what, ...more }),
        end(what) {
          if (call.isOver) return;
          call.isOver = true;
          call.note(what);
        },
        drop(why) {
          call.isOver = true;
          call.note("dropped", { why });
          call.onDrop();
        },
        hold(isOn) {
          isHeld = isOn;
          if (isOn) socket.pause();
          else if (!isClosed) {
            read();
            socket.resume();
          }
        },
        seal: () => [
          `Rosemarytiller-Attempt-Id: ${attempt}`,
          `Rosemarytiller-Response-Seal: ${id}.${
            createHash("sha1").update(String(attempt)).digest("hex").slice(0, 8)
          }`,
        ],
        answer(status, text, more = []) {
          call.write([
            `HTTP/1.1 ${status} x`,
            ...call.seal(),
            ...more,
            `Content-Length: ${Buffer.byteLength(text)}`,
            "",
            text,
          ].join("\r\n"));
          call.end(`answered ${status}`);
        },
        decline(status = 503) {
          call.write([
            `HTTP/1.1 ${status} x`,
            `Rosemarytiller-Attempt-Id: ${attempt}`,
            "Rosemarytiller-Not-Executed: 1",
            "Content-Length: 0",
            "",
            "",
          ].join("\r\n"));
          call.end(`declined ${status}`);
        },
      };
      if (path === "/health") {
        const status = health();
        call.write(
          `HTTP/1.1 ${status} x\r\nRosemarytiller-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
        );
        resolveBody(Buffer.alloc(0));
        if (length > 0) current = call;
        return;
      }
      calls.push(call);
      if (calls.length > 4) calls.shift();
      current = call;
      if (headers["rosemarytiller-expect-instance"] !== id) {
        call.note("misdirected", {
          meant: headers["rosemarytiller-expect-instance"],
        });
        call.write(
          `HTTP/1.1 421 x\r\nRosemarytiller-Attempt-Id: ${attempt}\r\nContent-Length: 0\r\n\r\n`,
        );
        call.isOver = true;
        return;
      }
      call.note("arrived", {
        tenant: headers["rosemarytiller-tenant"],
        deadlineMs: headers["rosemarytiller-deadline-ms"],
        lastEventId: headers["last-event-id"],
        kvFrom: headers["kv-from"],
        kvBackup: headers["rosemarytiller-kv-backup"],
      });
      behave(call);
    }
  });
  await new Promise((done, fail) => {
    server.once("error", fail);
    server.listen(port, host, done);
  });
  const address = `${host}:${server.address().port}`;
  return {
    id,
    address,
    port: server.address().port,
    entry: (service, fields = {}) => ({
      service,
      address,
      zone: "north",
      version: "v1",
      slots: 6,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      born,
      ...fields,
    }),
    connections: () => sockets.size,
    hooks,
    sockets,
    /** Ends it as a crash does: all connections are reset. */
    crash() {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

export { startRunner };
