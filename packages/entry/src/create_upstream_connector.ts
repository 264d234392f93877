import { type Clock, failOnReset, holdEarlyEnd } from "@rosemarytiller/shared";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Timeout for establishing a connection to an upstream, in milliseconds. */
const UPSTREAM_CONNECT_TIMEOUT_MS = 1000;

/**
 * Creates the function that connects to upstreams. Only an orderly end of its
 * connections completes a response without a length.
 */
export function createUpstreamConnector(
  clock: Clock,
): buildConnector.connector {
  const connect = buildConnector({ timeout: UPSTREAM_CONNECT_TIMEOUT_MS });
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        failOnReset(socket as Socket);
        holdEarlyEnd(socket as Socket, clock);
      }
      callback(...result);
    });
}
