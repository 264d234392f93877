import { Packr } from "msgpackr";
import { Buffer } from "node:buffer";
import { type IncomingMessage, request, type ServerResponse } from "node:http";
import type {
  PublishedChanges,
  PublishedItems,
} from "./create_published_items.ts";

/** Path at which a VM serves published items to its peers. */
export const PUBLISHED_PATH = "/published";
/** Timeout of a pull, in milliseconds: many round trips. */
const PULL_TIMEOUT_MS = 700;

const packr = new Packr({ useRecords: false });

/**
 * Responds to a peer's pull with the changes since the revision in the query's
 * `after`, as MessagePack.
 */
export function servePublished(
  incoming: IncomingMessage,
  response: ServerResponse,
  published: PublishedItems,
): void {
  const url = new URL(incoming.url ?? "/", "http://peer");
  const after = Number(url.searchParams.get("after") ?? 0);
  response.end(packr.pack(published.since(after)));
}

/**
 * Requests the changes since the revision `after` from a peer. Rejects if the
 * peer is unreachable, exceeds the timeout or sends an invalid body.
 */
export function pullPublished(
  peer: { host: string; port: number },
  after: number,
): Promise<PublishedChanges> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: peer.host,
      port: peer.port,
      path: `${PUBLISHED_PATH}?after=${after}`,
      agent: false,
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => {
        try {
          resolve(packr.unpack(Buffer.concat(chunks)));
        } catch (error) {
          reject(error);
        }
      });
      response.on("error", reject);
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error("the peer did not respond in time")),
      PULL_TIMEOUT_MS,
    );
    outgoing.on("error", reject);
    outgoing.on("close", () => clearTimeout(timer));
    outgoing.end();
  });
}
