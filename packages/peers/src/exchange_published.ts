import { readLimited } from "@rosemarytiller/shared";
import { Packr } from "msgpackr";
import type { Buffer } from "node:buffer";
import { type IncomingMessage, request, type ServerResponse } from "node:http";
import { constants, gunzipSync, gzipSync } from "node:zlib";
import type {
  PublishedChanges,
  PublishedItems,
} from "./create_published_items.ts";

/** Path at which a VM serves published items to its peers. */
export const PUBLISHED_PATH = "/published";
/** Timeout of a pull, in milliseconds: many round trips. */
const PULL_TIMEOUT_MS = 700;

/** Largest response to a pull, before and after decompression, in bytes. */
const MAX_PULL_BYTES = 16 * 1024 * 1024;

/** Content coding of compressed responses. */
const GZIP = "gzip";

const packr = new Packr({ useRecords: false });

/**
 * Creates the handler of peers' pulls. It responds with the changes since the
 * revision in the query's `after`, as MessagePack, compressed if the peer
 * accepts that. The last response is kept, since many peers pull the same.
 */
export function createPublishedHandler(
  published: PublishedItems,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  let last: { after: number; head: number; bytes: Buffer } | undefined;

  function compressedSince(after: number): Buffer {
    const head = published.head();
    if (last?.after !== after || last.head !== head) {
      const packed = packr.pack(published.since(after));
      const bytes = gzipSync(packed, { level: constants.Z_BEST_SPEED });
      last = { after, head, bytes };
    }
    return last.bytes;
  }

  return (incoming, response) => {
    const url = new URL(incoming.url ?? "/", "http://peer");
    const after = Number(url.searchParams.get("after") ?? 0);
    const accepted = String(incoming.headers["accept-encoding"] ?? "");
    if (!accepted.includes(GZIP)) {
      response.end(packr.pack(published.since(after)));
      return;
    }
    response.writeHead(200, { "Content-Encoding": GZIP });
    response.end(compressedSince(after));
  };
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
      headers: { "Accept-Encoding": GZIP },
    }, (response) => {
      readLimited(response, MAX_PULL_BYTES).then((bytes) => {
        const isCompressed = response.headers["content-encoding"] === GZIP;
        const packed = isCompressed
          ? gunzipSync(bytes, { maxOutputLength: MAX_PULL_BYTES })
          : bytes;
        resolve(packr.unpack(packed));
      }).catch(reject);
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
