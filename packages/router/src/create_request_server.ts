import {
  CallEnd,
  type PeerNetwork,
  type SharedFacts,
} from "@rosemarytiller/peers";
import {
  createRetryAllowance,
  type RetryAllowance,
  type RetryBounds,
  urgencyOf,
} from "@rosemarytiller/policy";
import {
  type Clock,
  ErrorKind,
  TillerError,
  toTillerError,
} from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";
import type { CallerRequest, CallerResponse } from "./caller_exchange.ts";
import { classifyRequest } from "./classify_request.ts";
import {
  type AttemptHooks,
  createAttemptStarter,
  type StartedAttempt,
} from "./create_attempt_starter.ts";
import type { BrittleServices } from "./create_brittle_services.ts";
import type { CallLimits } from "./create_call_limits.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { ConnectionPool } from "./create_connection_pool.ts";
import type { Containment } from "./create_containment.ts";
import { createCrashDetector } from "./create_crash_detector.ts";
import type { Reach } from "./create_reach.ts";
import type { Registry } from "./create_registry.ts";
import type { Relays } from "./create_relays.ts";
import type { RouterMetrics } from "./create_router_metrics.ts";
import type { Placement, Scheduler } from "./create_scheduler.ts";
import type { StreamOrigins } from "./create_stream_origins.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import { AttemptResult, LogEvent, RetryDenial, RouteKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import { fingerprintsOf } from "./fingerprints_of.ts";
import type { WireProtocol } from "./ports.ts";
import {
  createDeadlineError,
  createNotExecutedError,
  createPauseError,
  createUnreachableError,
  withRunState,
} from "./request_errors.ts";
import { isRetryable, type RequestState } from "./request_state.ts";
import type { AttemptEnd } from "./run_attempt.ts";
import { runHedgedCall } from "./run_hedged_call.ts";
import { watchStall } from "./watch_stall.ts";

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
  reach: Reach;
  relays: Relays;
  callLimits: CallLimits;
  brittleServices: BrittleServices;
  upstreamLimits: UpstreamLimits;
  facts: Pick<SharedFacts, "add">;
  retryBounds: RetryBounds;
  /** Name of this VM. */
  vm: string;
  /** Current configuration; undefined until one has been received. */
  configuration(): ConfigurationIndex | undefined;
  /** Whether the configuration was confirmed within the staleness limit. */
  isCurrent(): boolean;
}

/** Serves callers' requests, with retries and resumes at upstreams. */
export interface RequestServer {
  /**
   * Resolves when the request has its final response or its caller has
   * disconnected; never rejects.
   */
  serve(request: CallerRequest, response: CallerResponse): Promise<void>;
  /** Number of requests whose response has not been written completely. */
  openCount(): number;
  /** Refuses all further requests, as they could not end before the stop. */
  startRefusing(): void;
}

/** Failed connection attempts after which a request is refused. */
const MAX_CONNECT_FAILURES = 4;
/** Failed connection attempts after which another VM is to serve a request. */
const MAX_OWN_CONNECT_FAILURES = 2;
/** Refusals of one VM that do not hold for the others. */
const RELAY_AGAIN_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.NoUpstream,
  ErrorKind.Stopping,
  ErrorKind.NotReady,
]);
/** Retry-after while this VM stops, in ms; the retry goes to another VM. */
const STOPPING_RETRY_AFTER_MS = 50;

/** Retry-after for a resume of an unknown stream, in ms. */
const UNKNOWN_ORIGIN_RETRY_AFTER_MS = 400;

/** Creates the request server; retries are limited per service. */
export function createRequestServer(
  options: RequestServerOptions,
): RequestServer {
  const { clock, log, metrics, protocol, registry, scheduler, pool, network } =
    options;
  const { origins, containment, reach, relays, callLimits, facts } = options;
  const { brittleServices, upstreamLimits, retryBounds, vm } = options;
  const { configuration, isCurrent } = options;
  const crashDetector = createCrashDetector({
    clock,
    log,
    containment,
    registry,
    pool,
    reach,
    isBrittle: brittleServices.isBrittle,
  });
  const allowances = new Map<string, RetryAllowance>();
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
    allowanceOf,
  });
  let openCount = 0;
  let isRefusing = false;

  function allowanceOf(service: string): RetryAllowance {
    let allowance = allowances.get(service);
    if (!allowance) {
      allowances.set(service, allowance = createRetryAllowance(retryBounds));
    }
    return allowance;
  }

  function createState(
    request: CallerRequest,
    response: CallerResponse,
  ): RequestState {
    if (isRefusing) {
      throw new TillerError(
        ErrorKind.Stopping,
        "this VM is stopping; send the request again",
        {
          retryAfterMs: STOPPING_RETRY_AFTER_MS,
        },
      );
    }
    const { route, account, service, rank } = classifyRequest(request, {
      index: configuration(),
      isCurrent,
    });
    const { metadata, relay } = request;
    const fingerprints = fingerprintsOf(request, account);
    const id = metadata.id ?? "";
    // The last part is the request's own.
    const parts = metadata.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
    containment.check({ id, fingerprints, parts });
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
      sends: relay?.sends ?? 0,
      possibleRuns: 0,
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

  function place(
    state: RequestState,
    signal: AbortSignal = state.signal,
  ): Promise<Placement> {
    return scheduler.place({
      service: state.service,
      urgency: state.urgency,
      rank: state.rank,
      prompt: state.request.metadata.prompt,
      maxPauseMs: state.stream.isStream ? state.route.maxPauseMs : Infinity,
      targetMs: state.route.targetMs,
      // A started stream has no first event to deliver on time.
      arrivedMs: state.stream.isStarted ? clock.now() : state.request.arrivedMs,
      expiresMs: state.expiresMs,
      avoid: state.tried,
      softwareVersion: state.stream.softwareVersion,
    }, signal);
  }

  /**
   * Runs one call from the placement's upstream on until it ends, with a
   * standby while that upstream is silent.
   */
  function runCall(
    state: RequestState,
    placement: Placement,
    backupFrom?: string,
  ): Promise<AttemptEnd> {
    return runHedgedCall({
      start: (hooks) => attempts.start(state, placement, { backupFrom, hooks }),
      startStandby: (hooks, signal) => startStandby(state, { hooks, signal }),
      watch: (running, onSilent) =>
        running.placement
          ? watchStall(
            { state, placement: running.placement, running, onSilent },
            { clock, log, registry, network },
          )
          : () => {},
    });
  }

  /**
   * Sends a silent call elsewhere as well. A backup copy that was not used is
   * kept for later; see `HedgedCall.startStandby`.
   */
  async function startStandby(
    state: RequestState,
    options: { hooks: AttemptHooks; signal: AbortSignal },
  ): Promise<StartedAttempt | undefined> {
    const { hooks, signal } = options;
    if (needsRelay(state)) return startRelayedStandby(state, hooks);
    const kept = state.stream.isStarted ? state.backup : undefined;
    const backup = kept && placeAtBackup(state);
    if (kept ? !backup : !hasRetryLeft(state)) return undefined;
    const placement = backup?.placement ??
      await place(state, AbortSignal.any([state.signal, signal]));
    if (signal.aborted || (!backup && !hasRetryLeft(state))) {
      placement.release(CallEnd.Other);
      return undefined;
    }
    log.info(LogEvent.Hedged, {
      id: state.id,
      at: placement.upstream.entry.id,
      version: placement.upstream.entry.softwareVersion,
      call: placement.call,
      copy: backup?.name,
      lastEventId: state.stream.lastEventId,
    });
    const started = attempts.start(state, placement, {
      backupFrom: backup?.name,
      hooks,
    });
    if (!backup) spendRetry(state);
    started.ended.then(({ result }) => {
      if (result === AttemptResult.Unsent) state.backup ??= kept;
    });
    return started;
  }

  /** Whether another VM should serve the request, as this one can't. */
  function needsRelay(state: RequestState, connectFailures = 0): boolean {
    if (state.request.relay) return false;
    if (reach.isLost(state.service.name)) return true;
    if (connectFailures < MAX_OWN_CONNECT_FAILURES) return false;
    return registry.inService(state.service.name).some((upstream) =>
      state.tried.has(upstream.entry.id) && reach.isLostUpstream(upstream)
    );
  }

  function startRelayedStandby(
    state: RequestState,
    hooks: AttemptHooks,
  ): StartedAttempt | undefined {
    if (!hasRetryLeft(state)) return undefined;
    const started = relays.start(state, hooks);
    if (started) spendRetry(state);
    return started;
  }

  /**
   * Has another VM serve the request; `undefined` if none can take it. Throws a
   * `TillerError` if one has refused it.
   */
  async function runRelayed(
    state: RequestState,
  ): Promise<AttemptEnd | undefined> {
    if (state.request.relay) return undefined;
    let refusal: TillerError | undefined;
    for (;;) {
      const attempt = relays.start(state, { claimResponse: () => true });
      if (!attempt && refusal) throw refusal;
      if (!attempt) return undefined;
      const ended = await attempt.ended;
      if (ended.result === AttemptResult.Unsent) continue;
      if (ended.result !== AttemptResult.NotRun) return ended;
      refusal = attempt.refusal();
      if (refusal && !RELAY_AGAIN_KINDS.has(refusal.kind)) throw refusal;
    }
  }

  /** Places the request at an upstream and runs the call there. */
  async function runPlaced(state: RequestState): Promise<AttemptEnd> {
    const placement = await place(state);
    log.info(LogEvent.Placed, {
      id: state.id,
      upstream: placement.upstream.entry.id,
      version: placement.upstream.entry.softwareVersion,
      resumes: state.request.metadata.resumedId,
      lastEventId: state.stream.lastEventId,
      call: placement.call,
      urgency: state.urgency,
      heldMs: Math.round(placement.queuedMs),
      newTokens: placement.newTokens || undefined,
      calls: placement.upstream.model.callCount(),
      predictedMs: Math.round(placement.predictedMs),
      revision: configuration()?.configuration.version,
    });
    return await runCall(state, placement);
  }

  /**
   * Runs a call here or, if the links are lost, at another VM. Before a request
   * is refused for want of an upstream, another VM is asked in any case.
   */
  async function runNextCall(
    state: RequestState,
    connectFailures: number,
  ): Promise<{ ended: AttemptEnd; isRelayed: boolean }> {
    const isOutOfReach = connectFailures >= MAX_CONNECT_FAILURES;
    if (isOutOfReach || needsRelay(state, connectFailures)) {
      const ended = await runRelayed(state);
      if (ended) return { ended, isRelayed: true };
    }
    if (isOutOfReach) throw createUnreachableError();
    try {
      return { ended: await runPlaced(state), isRelayed: false };
    } catch (error) {
      const hasNoUpstream = toTillerError(error).kind === ErrorKind.NoUpstream;
      const mayBeLost = hasNoUpstream && reach.mayBeLost(state.service.name);
      const ended = mayBeLost || needsRelay(state)
        ? await runRelayed(state)
        : undefined;
      if (!ended) throw error;
      return { ended, isRelayed: true };
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
   * `TillerError` if no VM knows which version began it.
   */
  async function resolveOrigin(state: RequestState): Promise<void> {
    const { request, stream, service } = state;
    const { lastEventId, resumedId } = request.metadata;
    if (!stream.isStream || lastEventId === undefined) return;
    if (stream.softwareVersion !== undefined) return;
    stream.softwareVersion = resumedId
      ? await origins.find(resumedId)
      : registry.onlyVersionOf(service.name);
    if (stream.softwareVersion !== undefined) return;
    throw new TillerError(
      ErrorKind.NotReady,
      "no VM knows which software version began the stream",
      { retryAfterMs: UNKNOWN_ORIGIN_RETRY_AFTER_MS },
    );
  }

  /** Runs attempts until the request has its final response. */
  async function runAttempts(state: RequestState): Promise<void> {
    await resolveOrigin(state);
    let connectFailures = 0;
    for (;;) {
      await resolveRelayedVersion(state);
      const { ended, isRelayed } = await runNextCall(state, connectFailures);
      if (ended.result === AttemptResult.Complete) {
        // The other VM has made the retries.
        if (!isRelayed && claimRetryAfterError(state, ended.status)) continue;
        deliver(state, ended);
        return;
      }
      if (ended.result === AttemptResult.Aborted) return;
      if (ended.result === AttemptResult.Unsent) {
        connectFailures++;
        continue;
      }
      if (ended.result === AttemptResult.NotRun) {
        if (claimRetry(state)) continue;
        throw createPauseErrorOf(state) ?? createNotExecutedError();
      }
      if (state.backup && state.stream.isStarted) {
        if (await resumeFromBackup(state)) return;
      }
      if (isRetryable(state.route) && claimRetry(state)) {
        log.info(LogEvent.Resumed, {
          id: state.id,
          version: state.stream.softwareVersion,
          lastEventId: state.stream.lastEventId,
        });
        continue;
      }
      throw new TillerError(ErrorKind.OutcomeUnknown, ended.reason);
    }
  }

  /** Error while all upstreams of the request's service pause. */
  function createPauseErrorOf({ service }: RequestState) {
    const returnMs = registry.earliestReturnMs(service.name);
    if (returnMs === undefined || returnMs <= clock.now()) return undefined;
    return createPauseError(returnMs - clock.now());
  }

  /**
   * Takes one retry if the route's attempts and the allowance permit it;
   * returns whether they did.
   */
  function claimRetry(state: RequestState): boolean {
    return hasRetryLeft(state) && spendRetry(state);
  }

  /** Whether a call can be sent again; logs why if it cannot. */
  function hasRetryLeft(state: RequestState): boolean {
    const { service, route, sends } = state;
    if (sends >= route.maxAttempts) {
      return denyRetry(state, RetryDenial.Attempts);
    }
    const allowance = allowanceOf(service.name);
    if (allowance.hasLeft(clock.now(), network.knownVmCount())) return true;
    return denyRetry(state, RetryDenial.Allowance);
  }

  /**
   * Takes one retry from this VM's allowance for the service; false if it is
   * used up.
   */
  function spendRetry(state: RequestState): boolean {
    const allowance = allowanceOf(state.service.name);
    if (allowance.spend(clock.now(), network.knownVmCount())) return true;
    return denyRetry(state, RetryDenial.Allowance);
  }

  /** Logs why a call is not sent again; returns false. */
  function denyRetry(state: RequestState, cause: RetryDenial): false {
    log.warn(LogEvent.RetryDenied, {
      id: state.id,
      cause,
      sends: state.sends,
      maxAttempts: state.route.maxAttempts,
    });
    return false;
  }

  /** Takes one retry after a 5xx response; false if it cannot be retried. */
  function claimRetryAfterError(state: RequestState, status: number): boolean {
    if (status < 500 || state.stream.isStarted) return false;
    return isRetryable(state.route) && claimRetry(state);
  }

  /**
   * Takes one retry and places the call at the upstream with the backup copy,
   * which can be used once; `undefined` if it can't be used.
   */
  function placeAtBackup(
    state: RequestState,
  ): { placement: Placement; name: string } | undefined {
    const { upstream, name } = state.backup!;
    state.backup = undefined;
    // A restarted upstream is another one and has lost the copy.
    const isEligible = registry.eligible(state.service.name).includes(upstream);
    if (!isEligible || !upstreamLimits.canAdmit(upstream)) {
      denyRetry(state, RetryDenial.BackupUnavailable);
      return undefined;
    }
    if (!spendRetry(state)) return undefined;
    const placement = scheduler.placeAt(upstream, {
      service: state.service,
      urgency: state.urgency,
      rank: state.rank,
      prompt: undefined,
      maxPauseMs: state.route.maxPauseMs,
      targetMs: state.route.targetMs,
      arrivedMs: clock.now(),
      expiresMs: state.expiresMs,
      avoid: state.tried,
      softwareVersion: state.stream.softwareVersion,
    });
    return { placement, name };
  }

  /**
   * Resumes a stream at the upstream with the backup copy. Returns whether the
   * request has ended.
   */
  async function resumeFromBackup(state: RequestState): Promise<boolean> {
    const backup = placeAtBackup(state);
    if (!backup) return false;
    const { placement, name } = backup;
    log.info(LogEvent.Resumed, {
      id: state.id,
      at: placement.upstream.entry.id,
      version: placement.upstream.entry.softwareVersion,
      copy: name,
      lastEventId: state.stream.lastEventId,
    });
    const ended = await runCall(state, placement, name);
    if (ended.result === AttemptResult.Aborted) return true;
    if (ended.result !== AttemptResult.Complete) return false;
    deliver(state, ended);
    return true;
  }

  function deliver(
    state: RequestState,
    ended: { status: number; headers: string[]; body: Buffer },
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
      sends: state.sends,
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
      sends: state?.sends,
      urgency: state?.urgency,
      ms: state && Math.round(clock.now() - state.request.arrivedMs),
    });
    metrics.onRefusal(error.kind);
    if (isStarted) response.destroy();
    else response.sendError(error);
  }

  return {
    async serve(request, response) {
      const id = request.metadata.id ?? "";
      let state: RequestState | undefined;
      openCount++;
      let cancelDeadline = () => {};
      try {
        state = createState(request, response);
        const current = state;
        response.onDisconnect(() => {
          log.info(LogEvent.CallerLeft, { id, sends: current.sends });
          current.abort();
        });
        cancelDeadline = clock.after(current.expiresMs - clock.now(), () => {
          if (response.isClosed()) return;
          fail(current, createDeadlineError(current), { response, id });
          current.abort();
        });
        await runAttempts(current);
      } catch (error) {
        if (!state?.signal.aborted) {
          fail(state, toTillerError(error), { response, id });
        }
      } finally {
        cancelDeadline();
        // A stop waits until the caller has got the response.
        response.onClosed(() => openCount--);
      }
    },
    openCount: () => openCount,
    startRefusing() {
      isRefusing = true;
    },
  };
}
