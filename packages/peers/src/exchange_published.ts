import { Packr } from "msgpackr";
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { constants, gzipSync } from "node:zlib";
import {
  comparePositions,
  type PublishedChanges,
  type PublishedItem,
  type PublishedItems,
  type PublishedPosition,
} from "./create_published_items.ts";
import { readChanges, readPublishedItem } from "./peer_messages.ts";
import { GZIP, pullFromPeer } from "./pull_from_peer.ts";

/** Path at which a VM serves published items to its peers. */
export const PUBLISHED_PATH = "/published";
/** Path at which a VM serves the item of its configuration to its peers. */
export const CONFIGURATION_PATH = "/configuration";
const packr = new Packr({ useRecords: false });

/**
 * Creates the handler of peers' pulls. It responds with the changes since the
 * revision in the query's `after` of the era in `era` (0 if missing), as
 * MessagePack, compressed if the peer accepts that. The last response is kept,
 * since many peers pull the same.
 */
export function createPublishedHandler(
  published: PublishedItems,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  let last:
    | { after: PublishedPosition; head: PublishedPosition; bytes: Buffer }
    | undefined;

  function compressedSince(after: PublishedPosition): Buffer {
    const head = published.position();
    const isLast = last && comparePositions(last.after, after) === 0 &&
      comparePositions(last.head, head) === 0;
    if (!last || !isLast) {
      const packed = packr.pack(published.since(after.revision, after.era));
      const bytes = gzipSync(packed, { level: constants.Z_BEST_SPEED });
      last = { after, head, bytes };
    }
    return last.bytes;
  }

  return (incoming, response) => {
    const url = new URL(incoming.url ?? "/", "http://peer");
    const after = {
      era: Number(url.searchParams.get("era") ?? 0),
      revision: Number(url.searchParams.get("after") ?? 0),
    };
    const accepted = String(incoming.headers["accept-encoding"] ?? "");
    if (!accepted.includes(GZIP)) {
      response.end(packr.pack(published.since(after.revision, after.era)));
      return;
    }
    response.writeHead(200, { "Content-Encoding": GZIP });
    response.end(compressedSince(after));
  };
}

/**
 * Requests the changes since the revision `after` of an era, 0 by default, from
 * a peer. Rejects if the peer is unreachable, exceeds the timeout or sends an
 * invalid body.
 */
export function pullPublished(
  peer: { host: string; port: number },
  after: number,
  era = 0,
): Promise<PublishedChanges> {
  const path = `${PUBLISHED_PATH}?after=${after}&era=${era}`;
  return pullFromPeer(peer, { path, read: readChanges });
}

/**
 * Creates the handler of peers' pulls of the item that the configuration in
 * effect comes from, as compressed MessagePack; 404 while there is none.
 */
export function createConfigurationHandler(
  current: () => PublishedItem | undefined,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  return (_incoming, response) => {
    const item = current();
    if (!item) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(200, { "Content-Encoding": GZIP });
    const packed = packr.pack(item);
    response.end(gzipSync(packed, { level: constants.Z_BEST_SPEED }));
  };
}

/**
 * Requests the item of a peer's configuration. Rejects if the peer has none, is
 * unreachable, exceeds the timeout or sends an invalid body.
 */
export function pullConfiguration(
  peer: { host: string; port: number },
): Promise<PublishedItem> {
  return pullFromPeer(peer, {
    path: CONFIGURATION_PATH,
    read: readPublishedItem,
  });
}
