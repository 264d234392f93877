import { LogPart, useLog } from "@rosemarytiller/shared";
import type { Clock } from "@rosemarytiller/shared";
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import {
  createLink,
  type Link,
  type LinkIdentity,
  MAX_MESSAGE_BYTES,
} from "./create_link.ts";

/** URL path of the web socket endpoint on a broker's address. */
export const LINK_PATH = "/link";

/**
 * Accepts links on an HTTP server and calls `serve` for each; if that rejects,
 * the link is terminated. `close` terminates all links, not the HTTP server.
 */
export function serveLinks(
  server: Server,
  identity: LinkIdentity,
  options: { clock: Clock; serve: (link: Link) => Promise<void> },
): { close(): void } {
  const sockets = new WebSocketServer({
    server,
    path: LINK_PATH,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });
  sockets.on("connection", async (socket) => {
    try {
      const link = await createLink(socket, identity, options);
      await options.serve(link);
    } catch (error) {
      useLog(LogPart.Link).debug(
        `Incoming link failed: ${(error as Error).message}`,
      );
      socket.terminate();
    }
  });
  return {
    close() {
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
    },
  };
}
