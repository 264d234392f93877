import { Agent, request } from "undici";
import type {
  DocumentsAnswer,
  PlatformPort,
  VmsAnswer,
} from "./platform_port.ts";

/** Time that an answer may take beyond the wait that was asked for. */
export const PLATFORM_MARGIN_MS = 2000;

/** Creates the HTTP adapter; after a failure the next replica is asked. */
export function createHttpPlatform(urls: readonly string[]): PlatformPort {
  const agent = new Agent({ connections: 4, pipelining: 1 });
  let replica = 0;
  async function read(
    path: string,
    after: number,
    waitMs: number,
  ): Promise<unknown> {
    const base = urls[replica % urls.length];
    try {
      const url = new URL(`${path}?after=${after}&waitMs=${waitMs}`, base);
      const timeoutMs = waitMs + PLATFORM_MARGIN_MS;
      const { statusCode, body } = await request(url, {
        dispatcher: agent,
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (statusCode === 200) return await body.json();
      await body.dump();
      throw new Error(`the platform answered ${statusCode}`);
    } catch (error) {
      replica++;
      throw error;
    }
  }
  return {
    readDocuments: (after, waitMs) =>
      read("/v1/documents", after, waitMs) as Promise<DocumentsAnswer>,
    readVms: (after, waitMs) =>
      read("/v1/vms", after, waitMs) as Promise<VmsAnswer>,
  };
}
