// Stand-in of a model runner: streams events, keeps backup copies of runs.
import { createServer } from "node:http";

/** Runs of all engines in the order of their starts. */
export const runs = [];

/** Tokens in an event. */
const STRIDE = 5;

/** Backup copies by `ADDRESS/ATTEMPT`. */
const copies = new Set();

/** Notes a copy that another engine has sent to this one. */
export function addCopy(name) {
  copies.add(name);
}

/**
 * Starts an engine. `address` is what the store says; connections arrive at
 * `target`, behind a link. Options: `id`, `tokenMsOf(path)` for the time of the
 * next token, `eventsOf(path)` for the number of events, `onRun(run)`,
 * `onEnd(run)` and `onCopy(name)` for the record.
 */
export async function startEngine(options) {
  const { id, host = "127.0.0.1", tokenMsOf, eventsOf, onRun } = options;
  const { onEnd, onCopy, backlog = 511, prefillMs = 0 } = options;
  let address = "";
  const server = createServer((request, response) => {
    const { headers } = request;
    if (request.method === "GET" && request.url === "/health") {
      response.writeHead(200, {
        "Rosemarytiller-Instance-Id": id,
        "Content-Length": 0,
      });
      response.end();
      return;
    }
    request.resume();
    request.on("end", () => serve(headers, request, response));
    request.on("error", () => {});
  });
  server.keepAliveTimeout = 10_000;

  function refuse(response, status, attempt) {
    response.writeHead(status, {
      "Rosemarytiller-Attempt-Id": attempt ?? "",
      "Rosemarytiller-Instance-Id": id,
      "Rosemarytiller-Not-Executed": "1",
      "Content-Length": 0,
    });
    response.end();
  }

  function serve(headers, request, response) {
    const attempt = headers["rosemarytiller-attempt-id"];
    const expected = headers["rosemarytiller-expect-instance"];
    if (attempt === undefined) return refuse(response, 400, attempt);
    if (expected !== undefined && expected !== id) {
      return refuse(response, 421, attempt);
    }
    const copy = headers["kv-from"];
    if (copy !== undefined && !copies.delete(copy)) {
      return refuse(response, 503, attempt);
    }
    const backup = headers["rosemarytiller-kv-backup"];
    if (backup !== undefined) {
      copies.add(`${backup}/${attempt}`);
      onCopy?.(`${backup}/${attempt}`);
    }
    const lastEventId = headers["last-event-id"];
    const run = {
      attempt,
      runner: id,
      path: request.url,
      startMs: Date.now(),
      lastEventId,
      kvFrom: copy,
      state: "running",
      events: 0,
    };
    runs.push(run);
    onRun?.(run);
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Rosemarytiller-Attempt-Id": attempt,
      "Rosemarytiller-Response-Seal": `${id}.${runs.length}`,
    });
    response.flushHeaders();
    const total = eventsOf(request.url);
    let next = lastEventId === undefined ? 1 : Number(lastEventId) + 1;
    let tokens = 0;
    let timer;
    const readToken = () => {
      if (response.destroyed) return;
      run.firstTokenMs ??= Date.now();
      if (++tokens % STRIDE === 0 && next <= total) {
        response.write(`id: ${next}\ndata: ${id} ${attempt} ${next}\n\n`);
        next++;
        run.events++;
      }
      if (next > total) {
        run.state = "complete";
        run.endMs = Date.now();
        onEnd?.(run);
        response.end();
        return;
      }
      timer = setTimeout(readToken, tokenMsOf(request.url));
    };
    timer = setTimeout(readToken, prefillMs + tokenMsOf(request.url));
    response.on("close", () => {
      clearTimeout(timer);
      if (run.state === "running") {
        run.state = "dropped, as its connection closed";
        run.endMs = Date.now();
        onEnd?.(run);
      }
    });
  }

  await new Promise((resolve) =>
    server.listen({ port: 0, host, backlog }, resolve)
  );
  return {
    id,
    target: { host, port: server.address().port },
    setAddress: (value) => address = value,
    /** Writes the entry to the store regularly until `close`. */
    register(store, { service, zone, slots, heartbeatMs = 1200 }) {
      let sequence = 0;
      const born = Date.now();
      const beat = () =>
        store.put(`servers/${id}`, {
          service,
          address,
          zone,
          version: "v1",
          slots,
          state: "ready",
          cold_remaining_ms: 0,
          sequence: ++sequence,
          born,
        });
      beat();
      this.timer = setInterval(beat, heartbeatMs);
    },
    close() {
      clearInterval(this.timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
