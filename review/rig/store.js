// Stand-in of the platform's store (reads and watches as PROTOCOL.md has them).
import { Buffer } from "node:buffer";
import http from "node:http";

/** Starts a store on `host`; `put` and `remove` are the operator's and runners' writes. */
async function startStore(host = "127.0.0.1") {
  const items = new Map();
  let history = [];
  let revision = 100;
  let oldest = revision;
  const waiting = new Set();
  const modes = new Map(); // by the caller's address: "silent", "busy", "many", "reset"
  const sockets = new Set();

  function encode(item) {
    const { key, value, revision: at, created, deleted } = item;
    if (deleted) return { key, revision: at, deleted: true };
    return { key, value, revision: at, created, lease: 0 };
  }
  function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
  }
  function write(key, value) {
    revision++;
    const before = items.get(key);
    const item = value === undefined
      ? { key, revision, deleted: true }
      : { key, value, revision, created: before?.created ?? revision };
    if (item.deleted) items.delete(key);
    else items.set(key, item);
    history.push(item);
    for (const notify of [...waiting]) notify();
    return revision;
  }
  const server = http.createServer((request, response) => {
    const mode = modes.get(request.socket.remoteAddress) ?? modes.get("*");
    if (mode === "silent") return;
    if (mode === "reset") return request.socket.resetAndDestroy();
    if (mode === "busy") return send(response, 503, {});
    if (mode === "many") return send(response, 429, {});
    const url = new URL(request.url, "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    const path = url.pathname;
    if (path === "/rosemarytiller/kv-key") {
      const item = items.get(url.searchParams.get("key"));
      if (!item) return send(response, 404, { current_rev: revision });
      return send(response, 200, { ...encode(item), current_rev: revision });
    }
    if (path === "/rosemarytiller/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const keys = [...items.keys()].filter((key) =>
        key.startsWith(prefix) && key > after
      ).sort();
      const page = keys.slice(0, 500).map((key) => encode(items.get(key)));
      return send(response, 200, {
        items: page,
        has_more: keys.length > 500,
        current_rev: revision,
      });
    }
    if (path !== "/rosemarytiller/kv-watch") return send(response, 404, {});
    const after = Number(url.searchParams.get("after"));
    const waitMs = Math.min(
      30000,
      Number(url.searchParams.get("wait_ms") ?? 0),
    );
    const answer = (isOver) => {
      if (after < oldest) return send(response, 410, {}), true;
      const events = history.filter((item) =>
        item.revision > after && item.key.startsWith(prefix)
      );
      if (events.length === 0 && !isOver) return false;
      send(response, 200, {
        events: events.map(encode),
        current_rev: revision,
      });
      return true;
    };
    if (answer(false)) return;
    const end = () => {
      clearTimeout(timer);
      waiting.delete(notify);
    };
    const notify = () => answer(false) && end();
    const timer = setTimeout(() => {
      end();
      answer(true);
    }, waitMs);
    waiting.add(notify);
    response.on("close", end);
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    put: (key, value) =>
      write(key, Buffer.from(JSON.stringify(value)).toString("base64")),
    remove: (key) => write(key, undefined),
    setMode(from, mode) {
      if (mode) modes.set(from, mode);
      else modes.delete(from);
    },
    dropHistory() {
      history = [];
      oldest = revision;
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

export { startStore };
