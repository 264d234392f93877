import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** An HTTP server that simulates a plain service and counts its runs. */
export interface StandInService {
  readonly url: string;
  /**
   * Number of runs by `Idempotency-Key` header, or by `x-request-id` without
   * one.
   */
  readonly runs: Map<string, number>;
  /**
   * Changes options at run time: the delay of each response in milliseconds,
   * and whether the connection is closed in place of a response. Such a call
   * still counts as a run.
   */
  setOptions(options: { delayMs?: number; closeConnections?: boolean }): void;
  close(): Promise<void>;
}

/**
 * Starts a stand-in plain service on the loopback interface; port 0 (the
 * default) picks a free one.
 */
export async function createStandInService(
  initial: { port?: number; name?: string; delayMs?: number } = {},
): Promise<StandInService> {
  const options = { delayMs: 0, closeConnections: false, ...initial };
  const runs = new Map<string, number>();
  let running = 0;
  const server = createServer(async (request, response) => {
    if (request.url === "/load") {
      response.writeHead(200, { "content-type": "application/json" });
      const report = { running, waiting: 0, ageMs: 0, instance: "1" };
      response.end(JSON.stringify(report));
      return;
    }
    let body = "";
    for await (const chunk of request) body += chunk;
    const { headers } = request;
    const key = String(headers["idempotency-key"] ?? headers["x-request-id"]);
    runs.set(key, (runs.get(key) ?? 0) + 1);
    running++;
    await new Promise((resolve) => setTimeout(resolve, options.delayMs));
    running--;
    if (options.closeConnections) {
      response.destroy();
      return;
    }
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      service: options.name ?? "service",
      method: request.method,
      path: request.url,
      body,
    }));
  });
  server.listen(initial.port ?? 0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    runs,
    setOptions: (next) => void Object.assign(options, next),
    async close() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}
