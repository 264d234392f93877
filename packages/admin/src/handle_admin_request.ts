import type { Timeline } from "@rosemarytiller/timeline";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ProcessStatus } from "./process_status.ts";

/** State of a process that the admin endpoints serve. */
export interface AdminSource {
  /** Whether the load balancer may send requests to this process. */
  isReady(): boolean;
  /** Response of `/status`, which `tillerctl status` reads. */
  status(): ProcessStatus;
  timeline: Timeline;
}

type AdminHandler = (source: AdminSource, response: ServerResponse) => void;

const ADMIN_HANDLERS: Record<string, AdminHandler> = {
  "/live": (_source, response) => writeJson(response, 200, { live: true }),
  "/ready": (source, response) => {
    const ready = source.isReady();
    writeJson(response, ready ? 200 : 503, { ready });
  },
  "/status": (source, response) => writeJson(response, 200, source.status()),
  "/timeline": (source, response) =>
    writeJson(response, 200, { events: source.timeline.events() }),
};

/** Serves `/live`, `/ready`, `/status` and `/timeline`; 404 otherwise. */
export function handleAdminRequest(
  request: IncomingMessage,
  response: ServerResponse,
  source: AdminSource,
): void {
  const path = (request.url ?? "").split("?")[0];
  const handler = ADMIN_HANDLERS[path];
  if (!handler) {
    writeJson(response, 404, { error: "unknown path" });
    return;
  }
  handler(source, response);
}

function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
