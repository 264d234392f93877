import { type Clock, LogPart, sleep, useLog } from "@rosemarytiller/shared";
import { WebSocket } from "ws";
import {
  createLink,
  type Link,
  type LinkIdentity,
  MAX_MESSAGE_BYTES,
} from "./create_link.ts";
import { LINK_PATH } from "./serve_links.ts";

/** Longest time to open a connection. */
export const CONNECT_TIMEOUT_MS = 1000;
/** First and longest delay between tries to connect. */
export const RECONNECT_MIN_MS = 50;
/** Longest delay between tries to connect. */
export const RECONNECT_MAX_MS = 1000;

/** A link that is opened again whenever it ends. */
export interface KeptLink {
  /** The link while it is open. */
  current(): Link | undefined;
  /** Ends it for good. */
  close(): void;
}

/** Opens a link once. */
export function openLink(
  address: string,
  identity: LinkIdentity,
  options: { clock: Clock },
): Promise<Link> {
  const socket = new WebSocket(`ws://${address}${LINK_PATH}`, {
    handshakeTimeout: CONNECT_TIMEOUT_MS,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });
  return createLink(socket, identity, options);
}

/** Keeps a link to a broker; runs `serve` for each connection. */
export function keepLink(
  address: string,
  identity: LinkIdentity,
  options: { clock: Clock; serve: (link: Link) => Promise<void> },
): KeptLink {
  let link: Link | undefined;
  let stopped = false;
  async function run(): Promise<void> {
    let delayMs = RECONNECT_MIN_MS;
    while (!stopped) {
      try {
        link = await openLink(address, identity, options);
        if (stopped) link.close();
        delayMs = RECONNECT_MIN_MS;
        await options.serve(link);
      } catch (error) {
        const reason = (error as Error).message;
        useLog(LogPart.Link).debug(`No link to ${address}: ${reason}`);
      }
      link = undefined;
      if (stopped) return;
      // Jitter keeps a fleet from reconnecting in step.
      await sleep(options.clock, delayMs * (0.5 + Math.random()));
      delayMs = Math.min(delayMs * 2, RECONNECT_MAX_MS);
    }
  }
  void run();
  return {
    current: () => link,
    close() {
      stopped = true;
      link?.close();
    },
  };
}
