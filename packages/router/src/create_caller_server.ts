import type { Clock } from "@rosemarytiller/shared";
import { createServer, type Server } from "node:http";
import { Server as NetServer } from "node:net";
import {
  type CallerHandlerOptions,
  createCallerHandler,
} from "./create_caller_handler.ts";
import type { Intake } from "./callers/index.ts";
import type { CallerLimits, WireProtocol } from "./ports.ts";

/** HTTP server that callers connect to. */
export interface CallerServer {
  listen(address: { host: string; port: number }): Promise<void>;
  /** Applies the limits of a new configuration. */
  setLimits(limits: CallerLimits): void;
  /** Limits in effect. */
  limits(): CallerLimits;
  /** Sends `Connection: close` with all further responses. */
  startDraining(): void;
  /** Accepts no more connections; open ones stay until `close`. */
  stopListening(): void;
  /** Closes all connections, including those with requests in progress. */
  close(): void;
}

/** Dependencies of the caller server. */
export interface CallerServerOptions {
  clock: Clock;
  protocol: WireProtocol;
  intake: Intake;
  /** As in the handler's options. */
  serve: CallerHandlerOptions["serve"];
  refuseAtHead?: CallerHandlerOptions["refuseAtHead"];
}

/** Limits until a configuration has been received. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Hard limit on the headers, in bytes; the configured limit may be lower. */
export const HARD_MAX_HEADER_BYTES = 65_536;
/** Time that an idle connection stays open beyond the limit, in ms. */
const IDLE_MARGIN_MS = 1000;

/** Creates the server; it accepts connections once `listen` is called. */
export function createCallerServer(
  options: CallerServerOptions,
): CallerServer {
  const { clock, protocol, intake, serve, refuseAtHead } = options;
  let limits = INITIAL_LIMITS;
  let isDraining = false;
  const server: Server = createServer(
    { maxHeaderSize: HARD_MAX_HEADER_BYTES, noDelay: true, requestTimeout: 0 },
    createCallerHandler({
      clock,
      protocol,
      serve,
      intake,
      ...(refuseAtHead && { refuseAtHead }),
      limits: () => limits,
      isDraining: () => isDraining,
    }),
  );
  intake.connections.track(server);
  applyLimits();

  function applyLimits(): void {
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    server.headersTimeout = limits.headerTimeoutMs + server.keepAliveTimeout;
  }

  return {
    listen({ host, port }) {
      return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, () => resolve());
      });
    },
    setLimits(newLimits) {
      limits = newLimits;
      applyLimits();
    },
    limits: () => limits,
    startDraining() {
      isDraining = true;
    },
    stopListening: () => stopListening(server),
    close() {
      server.closeAllConnections();
    },
  };
}

/** Accepts no more connections; open ones stay. */
export function stopListening(server: Server): void {
  // The HTTP server's own `close` also closes connections whose response has
  // ended but is not yet written.
  NetServer.prototype.close.call(server);
}
