// Stand-in of the platform's store: kv-range and kv-watch over HTTP.
import { createServer } from "node:http";
import { Buffer } from "node:buffer";

/** Starts a store on a free port of `host`. */
export async function startStore(host = "127.0.0.1") {
  const items = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 100;

  function write(key, value) {
    revision++;
    const known = items.get(key);
    if (value === undefined) {
      items.delete(key);
      events.push({ key, revision, deleted: true });
    } else {
      const item = {
        key,
        value: Buffer.from(
          typeof value === "string" ? value : JSON.stringify(value),
        ).toString("base64"),
        revision,
        created: known?.created ?? revision,
        lease: 0,
      };
      items.set(key, item);
      events.push(item);
    }
    for (const wake of [...waiting]) wake();
    return revision;
  }

  function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  function range(url, response) {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const keys = [...items.keys()].filter((key) =>
      key.startsWith(prefix) && key > after
    ).sort();
    const page = keys.slice(0, 500);
    send(response, 200, {
      items: page.map((key) => items.get(key)),
      has_more: keys.length > page.length,
      current_rev: revision,
    });
  }

  function watch(url, response) {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after"));
    const waitMs = Math.min(30_000, Number(url.searchParams.get("wait_ms")));
    const list = () =>
      events.filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
    const end = () => {
      clearTimeout(timer);
      waiting.delete(check);
      if (response.destroyed) return;
      send(response, 200, { events: list(), current_rev: revision });
    };
    const check = () => {
      if (list().length > 0) end();
    };
    const timer = setTimeout(end, waitMs);
    waiting.add(check);
    response.on("close", () => {
      clearTimeout(timer);
      waiting.delete(check);
    });
    check();
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url, "http://store");
    if (url.pathname === "/rosemarytiller/kv-range") range(url, response);
    else if (url.pathname === "/rosemarytiller/kv-watch") watch(url, response);
    else if (url.pathname === "/rosemarytiller/kv-key") {
      const item = items.get(url.searchParams.get("key"));
      if (item) send(response, 200, { ...item, current_rev: revision });
      else send(response, 404, { error: "no such key" });
    } else send(response, 404, { error: "unknown call" });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    put: (key, value) => write(key, value),
    remove: (key) => write(key, undefined),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
