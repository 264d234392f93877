import { Agent, request } from "undici";
import type {
  DocumentsResponse,
  PlatformPort,
  PlatformReplica,
  VmsResponse,
} from "./platform_port.ts";

/** Time that a response may take beyond the requested long-poll wait. */
export const LONG_POLL_MARGIN_MS = 2000;

/** Creates the HTTP adapter with one replica for each base URL. */
export function createHttpPlatform(urls: readonly string[]): PlatformPort {
  return { replicas: urls.map(createHttpReplica) };
}

function createHttpReplica(base: string): PlatformReplica {
  const agent = new Agent({ connections: 2, pipelining: 1 });
  async function read(
    path: string,
    after: number,
    waitMs: number,
  ): Promise<unknown> {
    const url = new URL(`${path}?after=${after}&waitMs=${waitMs}`, base);
    const { statusCode, body } = await request(url, {
      dispatcher: agent,
      signal: AbortSignal.timeout(waitMs + LONG_POLL_MARGIN_MS),
    });
    if (statusCode === 200) return await body.json();
    await body.dump();
    throw new Error(`the platform responded with HTTP status ${statusCode}`);
  }
  return {
    name: base,
    readDocuments: (after, waitMs) =>
      read("/v1/documents", after, waitMs) as Promise<DocumentsResponse>,
    readVms: (after, waitMs) =>
      read("/v1/vms", after, waitMs) as Promise<VmsResponse>,
  };
}
