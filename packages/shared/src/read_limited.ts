import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";

/** Memory that a chunk takes besides its data, in bytes. */
const CHUNK_BYTES = 128;

/**
 * Reads a stream of buffers to its end. Rejects with an `Error` and destroys
 * the stream if it takes more than `maxBytes` of memory, or if it fails.
 */
export async function readLimited(
  stream: Readable,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of stream as AsyncIterable<Buffer>) {
    bytes += chunk.length + CHUNK_BYTES;
    if (bytes > maxBytes) {
      throw new Error(`the response exceeds ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
