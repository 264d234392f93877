import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** Connections of clients that do not behave; they stay open until `close`. */
export interface Crowd {
  /** Number of connections that the server has not closed. */
  openCount(): number;
  close(): void;
}

/** Writes what one client of a crowd sends; may end before the connection. */
export type CrowdClient = (socket: Socket, number: number) => Promise<void>;

/** Options of `openCrowd`. */
export interface CrowdOptions {
  clients: number;
  client: CrowdClient;
  /** Whether the clients read what the server answers; they do by default. */
  reads?: boolean;
}

/** Bytes that each write hands to the connection at most. */
const WRITE_BYTES = 65_536;

/**
 * Connects all clients of a crowd at once and resolves when each has sent its
 * part, or its connection was closed.
 */
export async function openCrowd(
  address: { host: string; port: number },
  options: CrowdOptions,
): Promise<Crowd> {
  const { clients, client, reads = true } = options;
  const sockets: Socket[] = [];
  const sending: Promise<void>[] = [];
  for (let number = 0; number < clients; number++) {
    const socket = connect(address);
    socket.on("error", () => {});
    if (reads) socket.resume();
    else socket.pause();
    sockets.push(socket);
    sending.push(client(socket, number));
  }
  await Promise.all(sending);
  return {
    openCount: () => sockets.filter(({ destroyed }) => !destroyed).length,
    close() {
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Writes bytes in pieces that the connection takes; stops when it closes. */
export async function writePaced(
  socket: Socket,
  bytes: Buffer,
): Promise<void> {
  for (let at = 0; at < bytes.length; at += WRITE_BYTES) {
    if (socket.destroyed) return;
    if (socket.write(bytes.subarray(at, at + WRITE_BYTES))) continue;
    await Promise.race([once(socket, "drain"), once(socket, "close")])
      .catch(() => {});
  }
}

/** Encodes bytes as chunks of a chunked body, without the last chunk. */
export function encodeChunks(bytes: number, chunkBytes: number): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  return Buffer.from(chunk.repeat(Math.floor(bytes / chunkBytes)));
}
