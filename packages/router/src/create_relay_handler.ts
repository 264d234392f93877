import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { CallerRequest, CallerResponse } from "./caller_exchange.ts";
import {
  type CallerHandler,
  createCallerHandler,
} from "./create_caller_handler.ts";
import { HARD_MAX_HEADER_BYTES } from "./create_caller_server.ts";
import { RELAY_PATH } from "./create_relays.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { Intake } from "./callers/index.ts";
import type { CallerLimits, WireProtocol } from "./ports.ts";
import {
  isRelayHeader,
  readRelayHeaders,
  writeRelayError,
} from "./relay_headers.ts";

/** Dependencies of the handler of relayed requests. */
export interface RelayHandlerOptions {
  clock: Clock;
  log: EventLog;
  protocol: WireProtocol;
  intake: Intake;
  /** Limits for callers' requests. */
  limits(): CallerLimits;
  /** Whether responses ask the other VM to close its connection. */
  isDraining(): boolean;
  /** Serves a request like a caller's, but does not pass it on. */
  serve(request: CallerRequest, response: CallerResponse): void;
}

/** Creates the handler of requests that other VMs pass on to this one. */
export function createRelayHandler(
  options: RelayHandlerOptions,
): CallerHandler {
  const { clock, log, protocol, intake, limits, isDraining, serve } = options;

  function serveRelayed(request: CallerRequest, response: CallerResponse) {
    const relay = readRelayHeaders(request.rawHeaders);
    if (!relay) return response.sendError(createNotRelayedError());
    const rawHeaders: string[] = [];
    for (let at = 0; at < request.rawHeaders.length; at += 2) {
      const [name, value] = request.rawHeaders.slice(at, at + 2);
      if (!isRelayHeader(name!.toLowerCase())) rawHeaders.push(name!, value!);
    }
    const metadata = protocol.readRequest(rawHeaders);
    log.info(LogEvent.RelayTaken, { id: metadata.id, from: relay.from });
    serve({
      ...request,
      pathAndQuery: request.pathAndQuery.slice(RELAY_PATH.length),
      rawHeaders,
      relay,
      metadata: {
        ...metadata,
        deadlineMs: relay.deadlineMs,
        lastEventId: relay.lastEventId,
      },
    }, response);
  }

  return createCallerHandler({
    clock,
    protocol,
    limits: () => ({ ...limits(), maxHeaderBytes: HARD_MAX_HEADER_BYTES }),
    isDraining,
    intake,
    errorHeaders: writeRelayError,
    refuseAtHead: ({ rawHeaders }) =>
      readRelayHeaders(rawHeaders) ? undefined : createNotRelayedError(),
    serve: serveRelayed,
  });
}

function createNotRelayedError(): TillerError {
  return new TillerError(
    ErrorKind.InvalidRequest,
    "the request does not say which VM passed it on",
  );
}
