import { Packr } from "msgpackr";
import { Buffer } from "node:buffer";
import { type IncomingMessage, request, type ServerResponse } from "node:http";
import type {
  PublishedChanges,
  PublishedItems,
} from "./create_published_items.ts";

/** Path of the call by which VMs pass published items on. */
export const PUBLISHED_PATH = "/published";
/** Longest wait for a peer's answer, in milliseconds: many round trips. */
const PULL_TIMEOUT_MS = 700;

const packr = new Packr({ useRecords: false });

/** Answers a peer that asks for what changed after a revision. */
export function servePublished(
  incoming: IncomingMessage,
  response: ServerResponse,
  published: PublishedItems,
): void {
  const url = new URL(incoming.url ?? "/", "http://peer");
  const after = Number(url.searchParams.get("after") ?? 0);
  response.end(packr.pack(published.since(after)));
}

/** Asks a peer for what changed after `after`; rejects when it is away. */
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
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk: Buffer) => chunks.push(chunk));
      answer.on("end", () => {
        try {
          resolve(packr.unpack(Buffer.concat(chunks)));
        } catch (error) {
          reject(error);
        }
      });
      answer.on("error", reject);
    });
    const limit = setTimeout(
      () => outgoing.destroy(new Error("the peer did not answer in time")),
      PULL_TIMEOUT_MS,
    );
    outgoing.on("error", reject);
    outgoing.on("close", () => clearTimeout(limit));
    outgoing.end();
  });
}
