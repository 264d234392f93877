import { type FieldReader, readLimited } from "@rosemarytiller/shared";
import { Packr } from "msgpackr";
import { request } from "node:http";
import { gunzipSync } from "node:zlib";

/** Timeout of a pull, in milliseconds: many round trips. */
const PULL_TIMEOUT_MS = 700;

/** Largest response to a pull, before and after decompression, in bytes. */
const MAX_PULL_BYTES = 16 * 1024 * 1024;

/** Content coding of compressed responses. */
export const GZIP = "gzip";

const packr = new Packr({ useRecords: false });

/** What to request from a peer. */
export interface PullRequest<T> {
  path: string;
  /** Reads the body; throws if it is another. */
  read: FieldReader<T>;
}

/**
 * Requests a MessagePack body, which may be compressed. Rejects if the peer is
 * unreachable, exceeds the timeout or sends an invalid body.
 */
export function pullFromPeer<T>(
  peer: { host: string; port: number },
  { path, read }: PullRequest<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: peer.host,
      port: peer.port,
      path,
      agent: false,
      headers: { "Accept-Encoding": GZIP },
    }, (response) => {
      if (response.statusCode !== 200) {
        response.resume();
        reject(new Error(`the peer responded with ${response.statusCode}`));
        return;
      }
      readLimited(response, MAX_PULL_BYTES).then((bytes) => {
        const isCompressed = response.headers["content-encoding"] === GZIP;
        const packed = isCompressed
          ? gunzipSync(bytes, { maxOutputLength: MAX_PULL_BYTES })
          : bytes;
        resolve(read(packr.unpack(packed)));
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
