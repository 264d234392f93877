import type { Member, PeerNetwork } from "@rosemarytiller/peers";
import type { Clock, TillerError } from "@rosemarytiller/shared";
import type { AttemptHooks, StartedAttempt } from "./create_attempt_starter.ts";
import { type Intake, NO_MEMORY_REASON } from "./callers/index.ts";
import { createConnectionPool } from "./create_connection_pool.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { AttemptResult, LogEvent, SendKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { RouterMetrics } from "./create_router_metrics.ts";
import type { WireProtocol } from "./ports.ts";
import {
  isRelayHeader,
  readRelayRefusal,
  writeRelayHeaders,
} from "./relay_headers.ts";
import { reportRepeatedSend } from "./report_repeated_send.ts";
import type { RequestState } from "./request_state.ts";
import { type AttemptEnd, runAttempt } from "./run_attempt.ts";

/** Path prefix at which VMs take relayed requests from each other. */
export const RELAY_PATH = "/relay";

/** An attempt that another VM makes for this one. */
export interface RelayedAttempt extends StartedAttempt {
  /** Error with which the other VM refused the request without running it. */
  refusal(): TillerError | undefined;
}

/** Passes requests to VMs that reach the upstreams which this one does not. */
export interface Relays {
  /**
   * Passes a request to another VM, which serves it like a caller's. Returns
   * undefined if no VM that reaches the service is left.
   */
  start(state: RequestState, hooks: AttemptHooks): RelayedAttempt | undefined;
  /** Number of requests that other VMs are serving for this one. */
  openCount(): number;
  /** Closes idle connections that can no longer be reused. */
  sweep(): void;
  close(): void;
}

/** Dependencies of the relays. */
export interface RelaysOptions {
  clock: Clock;
  log: EventLog;
  metrics: Pick<RouterMetrics, "onRepeatedSend">;
  protocol: WireProtocol;
  network: Pick<PeerNetwork, "reachableMembers">;
  /** Name and data centre of this VM. */
  vm: string;
  dataCentre: string;
  /** Port at which the other VMs take relayed requests. */
  port: number;
  intake: Pick<Intake, "responses" | "report" | "onFlood">;
}

/** Connections to one VM. */
const MAX_CONNECTIONS = 200;
/** Cost of a VM that is stopping, in connections; above that of any other. */
const STOPPING_COST = 4 * MAX_CONNECTIONS;
/** Time for which a VM gets no relays after a failed connection, in ms. */
const FAILED_MS = 1000;

/** VMs that a request is passed on to, one after the other. */
const MAX_RELAYS = 3;

/** Creates the relays; they connect when the first request is passed on. */
export function createRelays(options: RelaysOptions): Relays {
  const { clock, log, metrics, protocol, network } = options;
  const { vm, dataCentre, port, intake } = options;
  const { responses, report, onFlood } = intake;
  const pool = createConnectionPool({ clock, onPaced: onFlood });
  const failedUntilMs = new Map<string, number>();
  const openByHost = new Map<string, number>();

  function canServe({ host, heartbeat }: Member, state: RequestState): boolean {
    // VMs of older versions do not report their lost services.
    if (!heartbeat.lostServices) return false;
    if (heartbeat.lostServices.includes(state.service.name)) return false;
    if (state.relayedTo.has(host)) return false;
    return (failedUntilMs.get(host) ?? 0) <= clock.now();
  }

  /**
   * The least used VM, in another data centre only if this one has none; one
   * that is stopping only if no other is left.
   */
  function choose(state: RequestState): Member | undefined {
    let best: Member | undefined;
    let bestCost = Infinity;
    for (const member of network.reachableMembers()) {
      if (!canServe(member, state)) continue;
      const isRemote = member.dataCentre !== dataCentre;
      const open = openByHost.get(member.host) ?? 0;
      const cost = (member.heartbeat.isStopping ? STOPPING_COST : 0) +
        (isRemote ? MAX_CONNECTIONS : 0) + open + Math.random();
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = member;
    }
    return best;
  }

  function count(host: string, difference: number): void {
    const open = (openByHost.get(host) ?? 0) + difference;
    if (open > 0) openByHost.set(host, open);
    else openByHost.delete(host);
  }

  /** The caller's headers, with what the other VM needs to know. */
  function headersOf(state: RequestState) {
    const { request, route, stream, expiresMs, sendHistory } = state;
    return [
      ...endToEndHeaders(
        request.rawHeaders,
        (name) => name === "expect" || isRelayHeader(name),
      ),
      ...writeRelayHeaders({
        from: vm,
        deadlineMs: expiresMs - clock.now(),
        // The other VM may send it once, as this VM counts one send.
        sends: Math.max(sendHistory.count(), route.maxAttempts - 1),
        lastEventId: stream.lastEventId,
        softwareVersion: stream.softwareVersion,
      }),
    ];
  }

  /**
   * Reads the other VM's responses. What an upstream says about itself is for
   * that VM.
   */
  function createRelayProtocol(
    requestId: string,
    onRefusal: (refusal: TillerError | undefined) => void,
  ): WireProtocol {
    return {
      ...protocol,
      readResponse(status, headers) {
        const refusal = readRelayRefusal(headers);
        onRefusal(refusal);
        const { id, isSealed, isRefusalStatus } = protocol.readResponse(
          status,
          headers,
        );
        return {
          // A VM's own errors do not name the request.
          id: refusal ? requestId : id ?? requestId,
          isSealed,
          isNotRun: refusal !== undefined,
          isRefusalStatus,
          isLeaving: false,
          warmUpMs: undefined,
        };
      },
    };
  }

  function start(
    state: RequestState,
    hooks: AttemptHooks,
  ): RelayedAttempt | undefined {
    const member = choose(state);
    if (!member || state.relayedTo.size >= MAX_RELAYS) return undefined;
    const { host } = member;
    const address = { host, port };
    state.relayedTo.add(host);
    const connection = pool.acquire(address, MAX_CONNECTIONS);
    if (!connection) return start(state, hooks);
    const { request, stream } = state;
    const startedMs = clock.now();
    let refusal: TillerError | undefined;
    log.info(LogEvent.Relayed, {
      id: state.id,
      to: host,
      service: state.service.name,
      sends: state.sendHistory.count(),
      lastEventId: stream.lastEventId,
    });
    const send = state.sendHistory.begin(SendKind.Relay);
    const running = runAttempt({
      clock,
      protocol: createRelayProtocol(state.id, (read) => refusal = read),
      connection,
      requestId: state.id,
      method: request.method,
      path: RELAY_PATH + request.pathAndQuery,
      headers: headersOf(state),
      body: request.body,
      softwareVersion: stream.softwareVersion,
      stream,
      response: state.response,
      onReceived() {},
      onHead() {},
      claimResponse: hooks.claimResponse,
      onAccepted: hooks.onAccepted,
      budget: responses,
      onNoMemory: () => report(NO_MEMORY_REASON),
      onStreamStarted() {},
      onEvent() {},
      maySend: () => clock.now() < state.expiresMs && send.isAllowed(),
      onSent() {
        const report = { log, metrics };
        reportRepeatedSend(state, { to: host, copy: undefined, report });
        send.onSent();
        hooks.onSent?.();
      },
    });
    count(host, 1);
    const onAbort = () => running.abort(AttemptResult.Aborted);
    state.signal.addEventListener("abort", onAbort, { once: true });
    if (state.signal.aborted) onAbort();

    async function finish(): Promise<AttemptEnd> {
      const ended = await running.ended;
      const { result, status, reason, isReusable, idleLimitMs } = ended;
      send.onEnd(result);
      count(host, -1);
      state.signal.removeEventListener("abort", onAbort);
      if (idleLimitMs !== undefined) connection!.idleLimitMs = idleLimitMs;
      if (isReusable) pool.release(address, connection!);
      else pool.discard(address, connection!);
      if (result === AttemptResult.Unsent) {
        failedUntilMs.set(host, clock.now() + FAILED_MS);
      }
      log.info(LogEvent.RelayEnded, {
        id: state.id,
        to: host,
        result,
        status,
        reason: reason || undefined,
        refusal: refusal?.kind,
        ms: Math.round(clock.now() - startedMs),
      });
      return ended;
    }

    return {
      ...running,
      ended: finish(),
      placement: undefined,
      refusal: () => refusal,
    };
  }

  return {
    start,
    openCount() {
      let open = 0;
      for (const calls of openByHost.values()) open += calls;
      return open;
    },
    sweep: () => pool.sweep(),
    close: () => pool.close(),
  };
}
