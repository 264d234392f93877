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

/** Path of the web socket on a broker's address. */
export const LINK_PATH = "/link";

/** Accepts links on an HTTP server and runs `serve` for each. */
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
      useLog(LogPart.Link).debug(`A link ended: ${(error as Error).message}`);
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
