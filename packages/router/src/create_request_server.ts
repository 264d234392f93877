import type { PeerNetwork, SharedFacts } from "@rosemarytiller/peers";
import { type RetryBounds, urgencyOf } from "@rosemarytiller/policy";
import {
  type Clock,
  ErrorKind,
  TillerError,
  toTillerError,
} from "@rosemarytiller/shared";
import type {
  CallerHead,
  CallerRequest,
  CallerResponse,
} from "./caller_exchange.ts";
import type { Intake } from "./callers/index.ts";
import { classifyRequest, findRouteOf } from "./classify_request.ts";
import type { AccountAdmission } from "./create_account_admission.ts";
import { createAttemptStarter } from "./create_attempt_starter.ts";
import type { BrittleServices } from "./create_brittle_services.ts";
import type { CallLimits } from "./create_call_limits.ts";
import { createCallRunner, type EndedCall } from "./create_call_runner.ts";
import type { Confirm } from "./create_confirmation.ts";
import type { ConfigurationGate } from "./create_configuration_gate.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { ConnectionPool } from "./create_connection_pool.ts";
import type { Containment } from "./create_containment.ts";
import { createCrashDetector } from "./create_crash_detector.ts";
import type { Reach } from "./create_reach.ts";
import type { Registry } from "./create_registry.ts";
import type { Relays } from "./create_relays.ts";
import type { RouteHistory } from "./create_route_history.ts";
import type { RouterMetrics } from "./create_router_metrics.ts";
import type { PlannedStop } from "./create_planned_stop.ts";
import { createRetries } from "./create_retries.ts";
import { createSendHistory } from "./create_send_history.ts";
import type { Scheduler } from "./create_scheduler.ts";
import type { StreamOrigins } from "./create_stream_origins.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import { AttemptResult, LogEvent, RouteKind, SendKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import { fingerprintsOf } from "./fingerprints_of.ts";
import type { WireProtocol } from "./ports.ts";
import {
  createDeadlineError,
  createNotExecutedError,
  createPauseError,
  createStoppingError,
  withRunState,
} from "./request_errors.ts";
import type { RequestState } from "./request_state.ts";
import { type AttemptEnd, isUnsent } from "./run_attempt.ts";

/** Dependencies of the request server. */
export interface RequestServerOptions {
  clock: Clock;
  log: EventLog;
  metrics: RouterMetrics;
  protocol: WireProtocol;
  registry: Registry;
  scheduler: Scheduler;
  pool: ConnectionPool;
  network: PeerNetwork;
  origins: StreamOrigins;
  containment: Containment;
  accountAdmission: Pick<AccountAdmission, "admit">;
  reach: Reach;
  relays: Relays;
  callLimits: CallLimits;
  brittleServices: BrittleServices;
  upstreamLimits: UpstreamLimits;
  facts: Pick<SharedFacts, "add">;
  plannedStop: PlannedStop;
  intake: Pick<Intake, "responses" | "report">;
  retryBounds: RetryBounds;
  /** Name of this VM. */
  vm: string;
  /** Holds requests until a configuration has been received. */
  gate: Pick<ConfigurationGate, "wait">;
  /** Current configuration; undefined until one has been received. */
  configuration(): ConfigurationIndex | undefined;
  /** Whether the configuration was confirmed within the staleness limit. */
  isCurrent(): boolean;
  /** Confirms the configuration and the upstreams as of the call. */
  confirm: Confirm;
  routeHistory: Pick<RouteHistory, "servicesOf">;
}

/** Serves callers' requests, with retries and resumes at upstreams. */
export interface RequestServer {
  /**
   * Resolves when the request has its final response or its caller has
   * disconnected; never rejects.
   */
  serve(request: CallerRequest, response: CallerResponse): Promise<void>;
  /**
   * Refuses a request whatever its body is: this VM stops, or the configuration
   * has no such route or key. Undefined if its body is needed.
   */
  refuseAtHead(head: CallerHead): TillerError | undefined;
  /** Number of requests whose response has not been written completely. */
  openCount(): number;
  /**
   * Ends the requests in progress: refuses those that no upstream got, reports
   * the others' outcome as unknown and cuts off the streams that have started.
   */
  endAll(): void;
}

/** Retry-after for a resume of an unknown stream, in ms. */
const UNKNOWN_ORIGIN_RETRY_AFTER_MS = 400;

/**
 * Oldest stream that a caller resumes, in timeouts of its route: the caller may
 * have tried several times, and the timeout may have been lowered since.
 */
const STREAM_AGE_FACTOR = 2;
/** Time added for connections and for upstreams' late removal, in ms. */
const STREAM_AGE_MARGIN_MS = 5000;

/** Creates the request server; retries are limited per service. */
export function createRequestServer(
  options: RequestServerOptions,
): RequestServer {
  const { clock, log, metrics, protocol, registry, scheduler, pool, network } =
    options;
  const { origins, containment, reach, relays, callLimits, facts } = options;
  const { brittleServices, upstreamLimits, retryBounds, vm } = options;
  const { configuration, gate, isCurrent, confirm } = options;
  const { routeHistory, plannedStop, accountAdmission, intake } = options;
  const crashDetector = createCrashDetector({
    clock,
    log,
    containment,
    registry,
    pool,
    reach,
    isBrittle: brittleServices.isBrittle,
  });
  const retries = createRetries({ clock, log, network, bounds: retryBounds });
  const attempts = createAttemptStarter({
    clock,
    log,
    metrics,
    protocol,
    registry,
    pool,
    network,
    origins,
    crashDetector,
    reach,
    containment,
    callLimits,
    brittleServices,
    upstreamLimits,
    facts,
    vm,
    retries,
    intake,
  });
  const calls = createCallRunner({
    clock,
    log,
    registry,
    scheduler,
    network,
    attempts,
    retries,
    reach,
    relays,
    upstreamLimits,
    plannedStop,
    configuration,
  });
  /** Ends each of the requests whose response is not written completely. */
  const open = new Set<() => void>();

  function createState(
    request: CallerRequest,
    response: CallerResponse,
  ): RequestState {
    if (!plannedStop.acceptsRequests()) throw createStoppingError();
    const { route, account, service, rank } = classifyRequest(request, {
      index: configuration(),
      isCurrent,
    });
    const { metadata, relay } = request;
    const fingerprints = fingerprintsOf(request, account);
    const id = metadata.id ?? "";
    // The last part is the request's own.
    const parts = metadata.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
    const timeoutMs = Math.min(
      metadata.deadlineMs ?? Infinity,
      route.timeoutMs,
    );
    const controller = new AbortController();
    return {
      id,
      route,
      service,
      account,
      rank,
      urgency: urgencyOf(account?.tier ?? route.tier, rank),
      request,
      response,
      expiresMs: request.arrivedMs + timeoutMs,
      fingerprints,
      parts,
      signal: controller.signal,
      abort: () => controller.abort(),
      tried: new Set(),
      relayedTo: new Set(),
      sendHistory: createSendHistory({
        route,
        earlierSends: relay?.sends ?? 0,
        signal: controller.signal,
      }),
      brokenCalls: [],
      trial: undefined,
      stream: {
        isStream: route.kind === RouteKind.Stream,
        lastEventId: metadata.lastEventId,
        isStarted: false,
        softwareVersion: relay?.softwareVersion,
        eventCount: 0,
      },
      backup: undefined,
    };
  }

  /** Why a request is refused whatever its body is. */
  function findRefusalOf(head: CallerHead): TillerError | undefined {
    if (!plannedStop.acceptsRequests()) return createStoppingError();
    const index = configuration();
    // Without a configuration, a request waits for the first one.
    if (!index) return undefined;
    try {
      classifyRequest(head, { index, isCurrent });
      return undefined;
    } catch (error) {
      return toTillerError(error);
    }
  }

  /**
   * Sets the software version of a stream that another VM began. Throws a
   * `TillerError` if no VM knows it: the stream can't be resumed.
   */
  async function resolveRelayedVersion({ id, stream }: RequestState) {
    if (!stream.isStarted) return;
    stream.softwareVersion ??= await origins.find(id);
    if (stream.softwareVersion !== undefined) return;
    throw new TillerError(
      ErrorKind.OutcomeUnknown,
      "no VM knows which software version began the stream",
    );
  }

  /**
   * Sets the software version at which a caller resumes a stream. Throws a
   * `TillerError` if that can't be known for certain.
   */
  async function resolveOrigin(state: RequestState): Promise<void> {
    const { request, stream } = state;
    const { lastEventId, resumedId } = request.metadata;
    if (!stream.isStream || lastEventId === undefined) return;
    if (stream.softwareVersion !== undefined) return;
    if (resumedId) stream.softwareVersion = await origins.find(resumedId);
    if (stream.softwareVersion !== undefined) return;
    const onlyVersion = findOnlyVersion(state);
    // The stream may have begun at upstreams that this VM does not know yet.
    const isConfirmed = onlyVersion !== undefined && await confirm();
    if (isConfirmed && findOnlyVersion(state) === onlyVersion) {
      stream.softwareVersion = onlyVersion;
      return;
    }
    throw new TillerError(
      ErrorKind.NotReady,
      onlyVersion === undefined
        ? "no VM knows which software version began the stream"
        : "the platform does not confirm which software version began the stream",
      { retryAfterMs: UNKNOWN_ORIGIN_RETRY_AFTER_MS },
    );
  }

  /**
   * The version that all upstreams of the route have had for as long as the
   * caller's stream can be old, as far as this VM knows; undefined if it is
   * not the only one, if the VM has not observed them for so long, or if there
   * is a newer configuration, whose routes may differ.
   */
  function findOnlyVersion({ request, route }: RequestState) {
    const index = configuration();
    if (!index || findRouteOf(request, index) !== route) return undefined;
    const windowMs = STREAM_AGE_FACTOR * route.timeoutMs + STREAM_AGE_MARGIN_MS;
    const services = routeHistory.servicesOf(route, windowMs);
    return services && registry.versions.onlyVersionOf(services, windowMs);
  }

  /** Runs calls until the request has its final response. */
  async function runCalls(state: RequestState): Promise<void> {
    await resolveOrigin(state);
    await resolveRelayedVersion(state);
    let connectFailures = 0;
    let call: EndedCall | undefined = await calls.runNext(state, 0);
    for (;;) {
      const { ended, isRelayed } = call;
      if (state.signal.aborted) return;
      const isComplete = ended.result === AttemptResult.Complete;
      const isAnswer = isComplete &&
        (isRelayed || state.stream.isStarted || ended.status < 500);
      if (isAnswer) return deliver(state, ended);
      if (ended.result === AttemptResult.Unsent) connectFailures++;
      const isExpired = clock.now() >= state.expiresMs;
      call = isExpired
        ? undefined
        : await runFurtherCall(state, connectFailures);
      if (call) continue;
      if (isComplete) return deliver(state, ended);
      throw isExpired
        ? createDeadlineError(state)
        : createFinalError(state, ended);
    }
  }

  /** Resumes or repeats a failed call; `undefined` if neither is allowed. */
  async function runFurtherCall(
    state: RequestState,
    connectFailures: number,
  ): Promise<EndedCall | undefined> {
    const resumed = await calls.resumeFromBackup(state);
    if (resumed) return { ended: resumed, isRelayed: false };
    if (!retries.claim(state, SendKind.Run)) return undefined;
    if (state.stream.isStarted) {
      log.info(LogEvent.Resumed, {
        id: state.id,
        version: state.stream.softwareVersion,
        lastEventId: state.stream.lastEventId,
      });
    }
    await resolveRelayedVersion(state);
    return await calls.runNext(state, connectFailures);
  }

  /** Error of a request whose last call has failed. */
  function createFinalError(
    state: RequestState,
    { result, reason }: AttemptEnd,
  ): TillerError {
    const mayHaveRun = state.sendHistory.possibleRuns() > 0;
    if (
      mayHaveRun || (result !== AttemptResult.NotRun && !isUnsent({ result }))
    ) {
      return new TillerError(ErrorKind.OutcomeUnknown, reason);
    }
    return createPauseErrorOf(state) ?? createNotExecutedError();
  }

  /** Error while all upstreams of the request's service pause. */
  function createPauseErrorOf({ service }: RequestState) {
    const returnMs = registry.earliestReturnMs(service.name);
    if (returnMs === undefined || returnMs <= clock.now()) return undefined;
    return createPauseError(returnMs - clock.now());
  }

  function deliver(
    state: RequestState,
    ended: Pick<AttemptEnd, "status" | "headers" | "body">,
  ): void {
    const { response, stream } = state;
    if (stream.isStarted) response.end();
    else response.send(ended.status, ended.headers, ended.body);
    recordResponse(state, ended.status);
  }

  function recordResponse(state: RequestState, status: number): void {
    const ms = clock.now() - state.request.arrivedMs;
    metrics.onResponse(state.route.kind, status, ms);
    log.info(LogEvent.Answered, {
      id: state.id,
      route: state.route.name,
      status,
      ms: Math.round(ms),
      sends: state.sendHistory.count(),
      events: state.stream.isStream ? state.stream.eventCount : undefined,
    });
  }

  /** Sends an error, or destroys the connection of a started stream. */
  function fail(
    state: RequestState | undefined,
    cause: TillerError,
    exchange: { response: CallerResponse; id: string },
  ): void {
    const { response, id } = exchange;
    if (response.isClosed()) return;
    const error = state ? withRunState(state, cause) : cause;
    const isStarted = state?.stream.isStarted ?? false;
    log.warn(isStarted ? LogEvent.Cut : LogEvent.Refused, {
      id,
      route: state?.route.name,
      kind: error.kind,
      run: error.run,
      detail: error.message,
      retryAfterMs: error.retryAfterMs && Math.round(error.retryAfterMs),
      sends: state?.sendHistory.count(),
      urgency: state?.urgency,
      ms: state && Math.round(clock.now() - state.request.arrivedMs),
    });
    metrics.onRefusal(error.kind);
    if (isStarted) response.destroy();
    else response.sendError(error);
  }

  /** Ends a request as this VM stops. */
  function endUnfinished(
    state: RequestState | undefined,
    exchange: { request: CallerRequest; response: CallerResponse; id: string },
  ): void {
    const { request, response } = exchange;
    if (response.isClosed()) return;
    const mayHaveRun = state !== undefined &&
      state.sendHistory.possibleRuns() > 0;
    // The VM that relayed it may have it served by yet another one.
    if (mayHaveRun && request.relay) response.destroy();
    else fail(state, createStoppingError(mayHaveRun), exchange);
    state?.abort();
  }

  return {
    async serve(request, response) {
      const id = request.metadata.id ?? "";
      let state: RequestState | undefined;
      const end = () => endUnfinished(state, { request, response, id });
      open.add(end);
      let cancelDeadline = () => {};
      try {
        await gate.wait(request.metadata);
        if (response.isClosed()) return;
        state = createState(request, response);
        const current = state;
        response.onDisconnect(() => {
          const sends = current.sendHistory.count();
          log.info(LogEvent.CallerLeft, { id, sends });
          current.abort();
        });
        cancelDeadline = clock.after(current.expiresMs - clock.now(), () => {
          if (response.isClosed()) return;
          fail(current, createDeadlineError(current), { response, id });
          current.abort();
        });
        accountAdmission.admit(current);
        current.trial = await containment.admit(current);
        await runCalls(current);
      } catch (error) {
        if (!state?.signal.aborted) {
          fail(state, toTillerError(error), { response, id });
        }
      } finally {
        cancelDeadline();
        state?.trial?.end();
        // A stop waits until the caller has got the response.
        response.onClosed(() => open.delete(end));
      }
    },
    refuseAtHead(head) {
      const refusal = findRefusalOf(head);
      if (!refusal) return undefined;
      const { kind, message: detail } = refusal;
      log.warn(LogEvent.Refused, { id: head.metadata.id ?? "", kind, detail });
      metrics.onRefusal(kind);
      return refusal;
    },
    openCount: () => open.size,
    endAll() {
      for (const end of [...open]) end();
    },
  };
}
