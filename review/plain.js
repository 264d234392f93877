// Stand-in of a runner of a plain service.
import { createServer } from "node:http";
import { Buffer } from "node:buffer";

/** Starts a runner that answers each request after `workMs`. */
export async function startPlain({ id, workMs, onRun, host = "127.0.0.1" }) {
  const server = createServer((request, response) => {
    const { headers } = request;
    const attempt = headers["rosemarytiller-attempt-id"] ?? "";
    const expected = headers["rosemarytiller-expect-instance"];
    request.resume();
    request.on("error", () => {});
    request.on("end", () => {
      if (request.url === "/health") {
        response.writeHead(200, { "Rosemarytiller-Instance-Id": id }).end();
      } else if (expected !== undefined && expected !== id) {
        response.writeHead(421, {
          "Rosemarytiller-Attempt-Id": attempt,
          "Rosemarytiller-Instance-Id": id,
          "Rosemarytiller-Not-Executed": "1",
        }).end();
      } else {
        onRun?.({ attempt, runner: id, startMs: Date.now() });
        setTimeout(() => {
          const body = Buffer.from(`${id} ${attempt} `.padEnd(800, "."));
          response.writeHead(200, {
            "Rosemarytiller-Attempt-Id": attempt,
            "Rosemarytiller-Response-Seal": `${id}.${attempt}`,
            "Content-Length": body.length,
          }).end(body);
        }, workMs);
      }
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;
  let timer;
  return {
    id,
    address,
    register(store, { service, zone, slots }) {
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
      timer = setInterval(beat, 1200);
    },
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
