import { type Clock, LogPart, sleep, useLog } from "@rosemarytiller/shared";
import { WebSocket } from "ws";
import {
  createLink,
  type Link,
  type LinkIdentity,
  MAX_MESSAGE_BYTES,
} from "./create_link.ts";
import { LINK_PATH } from "./serve_links.ts";

/** Maximum time to connect and complete the web socket handshake. */
export const CONNECT_TIMEOUT_MS = 1000;
/**
 * First reconnection delay, before jitter (a factor of 0.5 to 1.5). The delay
 * doubles after each attempt and is reset when a link opens.
 */
export const RECONNECT_MIN_DELAY_MS = 50;
/** Upper bound of the reconnection delay, before jitter. */
export const RECONNECT_MAX_DELAY_MS = 1000;

/** A link that reconnects whenever it closes. */
export interface ReconnectingLink {
  /** The current link, or undefined while disconnected. */
  current(): Link | undefined;
  /** Closes the link and stops reconnecting. */
  close(): void;
}

/** Opens a link that does not reconnect; rejects if it cannot be opened. */
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

/**
 * Opens a link to a broker and reconnects with exponential backoff. Calls
 * `serve` for each link and opens a new one when its promise settles. It must
 * not settle before the link closes, as the previous link isn't closed here.
 */
export function createReconnectingLink(
  address: string,
  identity: LinkIdentity,
  options: { clock: Clock; serve: (link: Link) => Promise<void> },
): ReconnectingLink {
  let link: Link | undefined;
  let stopped = false;
  async function run(): Promise<void> {
    let delayMs = RECONNECT_MIN_DELAY_MS;
    while (!stopped) {
      try {
        link = await openLink(address, identity, options);
        if (stopped) link.close();
        delayMs = RECONNECT_MIN_DELAY_MS;
        await options.serve(link);
      } catch (error) {
        const reason = (error as Error).message;
        useLog(LogPart.Link).debug(`Link to ${address} failed: ${reason}`);
      }
      link = undefined;
      if (stopped) return;
      // Jitter prevents the processes of a fleet from reconnecting all at once.
      await sleep(options.clock, delayMs * (0.5 + Math.random()));
      delayMs = Math.min(delayMs * 2, RECONNECT_MAX_DELAY_MS);
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
