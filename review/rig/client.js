// Stand-in of a client: one raw connection, one request at a time.
import { Buffer } from "node:buffer";
import net from "node:net";

let count = 0;
/** A new attempt id, unique in the run. */
const newId = (name = "a") =>
  `${name}${(++count).toString(16).padStart(8, "0")}`;

/** Opens a connection; `request` resolves with how the request ended. */
function connect({ host, port, localAddress }) {
  const socket = net.connect({ host, port, localAddress, noDelay: true });
  let buffer = Buffer.alloc(0);
  let isClosed = false;
  let error = "";
  let onBytes = () => {};
  socket.on("error", (cause) => error = cause.code ?? cause.message);
  socket.on("data", (bytes) => {
    buffer = Buffer.concat([buffer, bytes]);
    onBytes();
  });
  socket.on("close", () => {
    isClosed = true;
    onBytes();
  });

  /** Reads one response from the buffer; undefined while it is not whole. */
  function take() {
    const end = buffer.indexOf("\r\n\r\n");
    if (end < 0) return undefined;
    const head = buffer.toString("latin1", 0, end);
    const [line, ...lines] = head.split("\r\n");
    const headers = {};
    for (const text of lines) {
      const colon = text.indexOf(":");
      headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1)
        .trim();
    }
    const status = Number(line.split(" ")[1]);
    if (status < 200) {
      buffer = buffer.subarray(end + 4);
      return take();
    }
    const rest = buffer.subarray(end + 4);
    if (headers["content-length"] !== undefined) {
      const length = Number(headers["content-length"]);
      const isWhole = rest.length >= length;
      return {
        status,
        headers,
        body: rest.subarray(0, length).toString("latin1"),
        isWhole,
        used: end + 4 + length,
      };
    }
    let at = 0;
    let body = "";
    for (;;) {
      const eol = rest.indexOf("\r\n", at);
      if (eol < 0) return { status, headers, body, isWhole: false };
      const size = parseInt(rest.toString("latin1", at, eol), 16);
      if (Number.isNaN(size)) {
        return { status, headers, body, isWhole: false, isBad: true };
      }
      if (rest.length < eol + 2 + size + 2) {
        body += rest.toString(
          "latin1",
          eol + 2,
          Math.min(rest.length, eol + 2 + size),
        );
        return { status, headers, body, isWhole: false };
      }
      body += rest.toString("latin1", eol + 2, eol + 2 + size);
      at = eol + 2 + size + 2;
      if (size === 0) {
        return { status, headers, body, isWhole: true, used: end + 4 + at };
      }
    }
  }

  return {
    socket,
    isClosed: () => isClosed,
    close: () => socket.destroy(),
    request(
      {
        method = "POST",
        path,
        host: name,
        headers = {},
        body = "",
        id = newId(),
        deadlineMs = 4000,
        leaveAfterMs,
      },
    ) {
      const startedMs = Date.now();
      return new Promise((resolve) => {
        const lines = [
          `${method} ${path} HTTP/1.1`,
          `Host: ${name}`,
          `Rosemarytiller-Attempt-Id: ${id}`,
          `Rosemarytiller-Deadline-Ms: ${deadlineMs}`,
          ...Object.entries(headers).map(([key, value]) => `${key}: ${value}`),
          ...(method === "GET"
            ? []
            : [`Content-Length: ${Buffer.byteLength(body)}`]),
          "",
          "",
        ];
        socket.write(lines.join("\r\n") + body);
        const sentMs = Date.now();
        const finish = (more) => {
          clearTimeout(timer);
          clearTimeout(leave);
          onBytes = () => {};
          resolve({
            id,
            path,
            method,
            startedMs,
            sentMs,
            endedMs: Date.now(),
            error,
            ...more,
          });
        };
        const leave = leaveAfterMs === undefined
          ? undefined
          : setTimeout(() => {
            isClosed = true;
            socket.destroy();
            finish({ status: 0, body: "", isWhole: false, hasLeft: true });
          }, leaveAfterMs);
        // The client gives up at its deadline.
        const timer = setTimeout(() => {
          isClosed = true;
          socket.destroy();
          finish({
            status: 0,
            body: "",
            ...take(),
            isWhole: false,
            hasLeft: true,
          });
        }, deadlineMs + 200);
        onBytes = () => {
          const got = take();
          if (got?.isWhole) {
            buffer = buffer.subarray(got.used);
            if (/close/i.test(got.headers.connection ?? "")) socket.end();
            return finish(got);
          }
          if (isClosed) {
            finish({
              status: 0,
              headers: {},
              body: "",
              ...got,
              isWhole: false,
            });
          }
        };
        onBytes();
      });
    },
  };
}

export { connect, newId };
