import { CallEnd, type PeerNetwork } from "@rosemarytiller/peers";
import {
  createRetryAllowance,
  FingerprintState,
  type Quarantine,
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
import { createHash } from "node:crypto";
import type { CallerAnswer, CallerRequest } from "./caller_answer.ts";
import { chooseCopyHolder } from "./choose_copy_holder.ts";
import { classifyRequest } from "./classify_request.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { ConnectionPool } from "./create_connection_pool.ts";
import { createCrashWatch } from "./create_crash_watch.ts";
import type { Placement, Placer } from "./create_placer.ts";
import type { Registry, Upstream } from "./create_registry.ts";
import type { RouterMetrics } from "./create_router_metrics.ts";
import { AttemptResult, LogEvent, RouteKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { WireProtocol } from "./ports.ts";
import {
  FULL_RETRY_MS,
  refusedByUpstream,
  timeUp,
  unreachable,
  withRunState,
} from "./request_errors.ts";
import { isRepeatable, type RequestState } from "./request_state.ts";
import { runAttempt } from "./run_attempt.ts";
import { watchSilence } from "./watch_silence.ts";

/** What serving requests needs. */
export interface RequestServerOptions {
  clock: Clock;
  log: EventLog;
  metrics: RouterMetrics;
  protocol: WireProtocol;
  registry: Registry;
  placer: Placer;
  pool: ConnectionPool;
  network: PeerNetwork;
  quarantine: Quarantine;
  retryBounds: RetryBounds;
  vm: string;
  configuration(): ConfigurationIndex | undefined;
  /** Whether the configuration was confirmed lately. */
  isCurrent(): boolean;
}

/** Serves callers' requests. */
export interface RequestServer {
  /** Serves one request to its final answer; never rejects. */
  serve(request: CallerRequest, answer: CallerAnswer): Promise<void>;
  openCount(): number;
  /** Refuses all further requests: there is no time left to end them. */
  startRefusing(): void;
}

/** Connections that could not be made before a request is refused. */
const MAX_UNSENT = 4;
/** Time to come back, to another VM, when this one is stopping, in ms. */
const STOPPING_RETRY_MS = 50;

/** Creates the server of requests. */
export function createRequestServer(
  options: RequestServerOptions,
): RequestServer {
  const { clock, log, metrics, protocol, registry, placer, pool, network } =
    options;
  const { quarantine, retryBounds, vm, configuration, isCurrent } = options;
  const crashes = createCrashWatch({ clock, log, quarantine, network });
  const allowances = new Map<string, RetryAllowance>();
  let open = 0;
  let isRefusing = false;

  function allowanceOf(service: string): RetryAllowance {
    let allowance = allowances.get(service);
    if (!allowance) {
      allowances.set(service, allowance = createRetryAllowance(retryBounds));
    }
    return allowance;
  }

  function begin(request: CallerRequest, answer: CallerAnswer): RequestState {
    if (isRefusing) {
      throw new TillerError(ErrorKind.Stopping, "this VM is stopping", {
        retryAfterMs: STOPPING_RETRY_MS,
      });
    }
    const { route, account, service, rank } = classifyRequest(request, {
      index: configuration(),
      isCurrent,
    });
    const { facts } = request;
    const fingerprint = createHash("sha1").update(request.target)
      .update(`\n${account?.name}\n`).update(request.body).digest("base64");
    if (quarantine.stateOf(fingerprint) === FingerprintState.Quarantined) {
      throw new TillerError(
        ErrorKind.Quarantined,
        "the request crashed the upstreams that ran it",
      );
    }
    const waitMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs);
    const controller = new AbortController();
    return {
      id: facts.id ?? "",
      route,
      service,
      account,
      rank,
      urgency: urgencyOf(account?.tier ?? route.tier, rank),
      request,
      answer,
      giveUpMs: request.arrivedMs + waitMs,
      fingerprint,
      signal: controller.signal,
      abort: () => controller.abort(),
      tried: new Set(),
      sends: 0,
      possibleRuns: 0,
      stream: {
        isStream: route.kind === RouteKind.Stream,
        lastEventId: facts.lastEventId,
        isBegun: false,
        eventCount: 0,
      },
      copy: undefined,
    };
  }

  function place(state: RequestState): Promise<Placement> {
    return placer.place({
      service: state.service,
      urgency: state.urgency,
      rank: state.rank,
      prompt: state.request.facts.prompt,
      maxPauseMs: state.stream.isStream ? state.route.maxPauseMs : Infinity,
      targetMs: state.route.targetMs,
      arrivedMs: state.request.arrivedMs,
      giveUpMs: state.giveUpMs,
      avoid: state.tried,
    }, state.signal);
  }

  function addressOf({ entry }: Upstream): string {
    return `${entry.host}:${entry.port}`;
  }

  async function attempt(
    state: RequestState,
    placement: Placement,
    copyFrom?: string,
  ) {
    const { upstream } = placement;
    const { entry } = upstream;
    const { facts } = state.request;
    const maxOpen = Math.max(
      4,
      Math.floor(state.service.maxConnections * 0.9 / network.knownCount()),
    );
    const connection = pool.take(entry, maxOpen);
    if (!connection) {
      placement.release(CallEnd.Other);
      throw new TillerError(ErrorKind.Overloaded, "no connection is left", {
        retryAfterMs: FULL_RETRY_MS,
      });
    }
    const holder = copyFrom || isRepeatable(state.route)
      ? undefined
      : chooseCopyHolder(upstream, {
        engine: state.service.engine,
        prompt: facts.prompt,
        others: registry.eligible(state.service.name),
        nowMs: clock.now(),
      });
    const headers = [
      ...facts.forwarded,
      ...protocol.callHeaders({
        deadlineMs: Math.max(1, Math.floor(state.giveUpMs - clock.now())),
        upstreamId: entry.id,
        account: state.account?.name,
        urgency: state.urgency,
        lastEventId: state.stream.lastEventId,
        copyTo: holder && addressOf(holder),
        copyFrom,
      }),
    ];
    const startedMs = clock.now();
    const isResume = state.stream.isBegun;
    const running = runAttempt({
      clock,
      protocol,
      connection,
      requestId: state.id,
      method: state.request.method,
      path: state.request.target,
      headers,
      body: state.request.body,
      stream: state.stream,
      answer: state.answer,
      onHeard: () => registry.onHeard(upstream),
      onEvent: () => placement.onFirstEvent(),
      onSent() {
        if (state.sends === 0) {
          allowanceOf(state.service.name).onFirstSend(clock.now());
        }
        state.sends++;
        state.possibleRuns++;
        state.tried.add(entry.id);
      },
    });
    const onAbort = () => running.abort(AttemptResult.Aborted);
    state.signal.addEventListener("abort", onAbort, { once: true });
    if (state.signal.aborted) onAbort();
    if (holder) {
      state.copy = { holder, call: `${addressOf(holder)}/${state.id}` };
    }
    const cancelWatch = watchSilence(
      { state, placement, running },
      { clock, registry, network },
    );
    const ended = await running.ended;
    cancelWatch();
    state.signal.removeEventListener("abort", onAbort);
    if (ended.isReusable) {
      if (ended.idleLimitMs !== undefined) {
        connection.idleLimitMs = ended.idleLimitMs;
      }
      pool.giveBack(entry, connection);
    } else {
      pool.discard(entry, connection);
    }
    settle(state, placement, ended.result, ended.status);
    if (ended.coldMs) {
      upstream.coldUntilMs = Math.max(
        upstream.coldUntilMs,
        clock.now() + ended.coldMs,
      );
    }
    const isOrdinary = ended.result === AttemptResult.Whole;
    log[isOrdinary ? "info" : "warn"](LogEvent.AttemptEnded, {
      id: state.id,
      upstream: entry.id,
      call: placement.call,
      result: ended.result,
      status: ended.status,
      reason: ended.reason || undefined,
      ms: Math.round(clock.now() - startedMs),
      firstMs: ended.firstMs === undefined
        ? undefined
        : Math.round(ended.firstMs - startedMs),
      predictedMs: Math.round(placement.predictedMs),
      events: state.stream.isStream ? state.stream.eventCount : undefined,
      resume: isResume || undefined,
    });
    metrics.onAttempt(state.service.name, ended.result);
    if (ended.firstMs !== undefined) {
      metrics.onFirstEvent(state.urgency, ended.firstMs - startedMs);
    }
    return ended;
  }

  /** Notes an attempt's end with all who keep count. */
  function settle(
    state: RequestState,
    placement: Placement,
    result: AttemptResult,
    status: number,
  ): void {
    const { upstream } = placement;
    const isFailed = result === AttemptResult.Broken ||
      result === AttemptResult.Silent || result === AttemptResult.NotRun ||
      status >= 500;
    const isOver = result === AttemptResult.Whole || isFailed;
    placement.release(
      isFailed ? CallEnd.Failed : isOver ? CallEnd.Whole : CallEnd.Other,
    );
    if (result === AttemptResult.Unsent) {
      registry.onBroken(upstream, "no connection");
      crashes.onUnreachable(upstream);
      state.tried.add(upstream.entry.id);
    }
    if (result === AttemptResult.Broken) {
      crashes.onBroken(upstream, {
        fingerprint: state.fingerprint,
        crash: `${vm}/${placement.call}`,
      });
    }
    if (result === AttemptResult.NotRun) state.possibleRuns--;
  }

  /** Runs attempts until the request has its final answer. */
  async function run(state: RequestState): Promise<void> {
    let unsent = 0;
    for (;;) {
      const placement = await place(state);
      log.info(LogEvent.Placed, {
        id: state.id,
        upstream: placement.upstream.entry.id,
        call: placement.call,
        urgency: state.urgency,
        heldMs: Math.round(placement.heldMs),
        newTokens: placement.newTokens || undefined,
        calls: placement.upstream.model.callCount(),
        predictedMs: Math.round(placement.predictedMs),
        revision: configuration()?.configuration.version,
      });
      const ended = await attempt(state, placement);
      if (ended.result === AttemptResult.Whole) {
        if (isRetriedAfterError(state, ended.status)) continue;
        deliver(state, ended);
        return;
      }
      if (ended.result === AttemptResult.Aborted) return;
      if (ended.result === AttemptResult.Unsent) {
        if (++unsent >= MAX_UNSENT) throw unreachable();
        continue;
      }
      if (ended.result === AttemptResult.NotRun) {
        if (mayRepeat(state)) continue;
        throw refusedByUpstream();
      }
      if (state.copy && state.stream.isBegun) {
        if (await resumeFromCopy(state)) return;
      }
      if (isRepeatable(state.route) && mayRepeat(state)) {
        log.info(LogEvent.Resumed, {
          id: state.id,
          from: placement.upstream.entry.id,
          lastEventId: state.stream.lastEventId,
        });
        continue;
      }
      throw new TillerError(ErrorKind.OutcomeUnknown, ended.reason);
    }
  }

  function mayRepeat(state: RequestState): boolean {
    return state.sends < state.route.maxAttempts && spendRepeat(state);
  }

  /** Takes one repeat out of this VM's allowance for the service. */
  function spendRepeat({ service }: RequestState): boolean {
    return allowanceOf(service.name).spend(clock.now(), network.knownCount());
  }

  /** An upstream's own failure is tried elsewhere where that is allowed. */
  function isRetriedAfterError(state: RequestState, status: number): boolean {
    if (status < 500 || state.stream.isBegun) return false;
    return isRepeatable(state.route) && mayRepeat(state);
  }

  /** Goes on at the upstream that holds a copy; returns whether it ended. */
  async function resumeFromCopy(state: RequestState): Promise<boolean> {
    const { holder, call } = state.copy!;
    state.copy = undefined;
    if (!registry.find(holder.entry.id)) return false;
    if (!spendRepeat(state)) return false;
    const placement = placer.placeAt(holder, {
      service: state.service,
      urgency: state.urgency,
      rank: state.rank,
      prompt: undefined,
      maxPauseMs: state.route.maxPauseMs,
      targetMs: state.route.targetMs,
      arrivedMs: clock.now(),
      giveUpMs: state.giveUpMs,
      avoid: state.tried,
    });
    log.info(LogEvent.Resumed, {
      id: state.id,
      at: holder.entry.id,
      copy: call,
      lastEventId: state.stream.lastEventId,
    });
    const ended = await attempt(state, placement, call);
    if (ended.result === AttemptResult.Aborted) return true;
    if (ended.result !== AttemptResult.Whole) return false;
    deliver(state, ended);
    return true;
  }

  function deliver(
    state: RequestState,
    ended: { status: number; headers: string[]; body: Buffer },
  ): void {
    const { answer, stream } = state;
    if (stream.isBegun) answer.end();
    else answer.whole(ended.status, ended.headers, ended.body);
    report(state, ended.status);
  }

  function report(state: RequestState, status: number): void {
    const ms = clock.now() - state.request.arrivedMs;
    metrics.onAnswer(state.route.kind, status, ms);
    log.info(LogEvent.Answered, {
      id: state.id,
      route: state.route.name,
      status,
      ms: Math.round(ms),
      sends: state.sends,
      events: state.stream.isStream ? state.stream.eventCount : undefined,
    });
  }

  /** Gives the final answer to a request that has failed. */
  function fail(
    state: RequestState | undefined,
    cause: TillerError,
    target: { answer: CallerAnswer; id: string },
  ): void {
    const { answer, id } = target;
    if (answer.isGone()) return;
    const error = state ? withRunState(state, cause) : cause;
    const isBegun = state?.stream.isBegun ?? false;
    log.warn(isBegun ? LogEvent.Cut : LogEvent.Refused, {
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
    if (isBegun) answer.cut();
    else answer.refuse(error);
  }

  return {
    async serve(request, answer) {
      const id = request.facts.id ?? "";
      let state: RequestState | undefined;
      open++;
      let cancelGiveUp = () => {};
      try {
        state = begin(request, answer);
        const current = state;
        answer.onGone(() => {
          log.info(LogEvent.CallerLeft, { id, sends: current.sends });
          current.abort();
        });
        cancelGiveUp = clock.after(current.giveUpMs - clock.now(), () => {
          if (answer.isGone()) return;
          fail(current, timeUp(current), { answer, id });
          current.abort();
        });
        await run(current);
      } catch (error) {
        if (!state?.signal.aborted) {
          fail(state, toTillerError(error), { answer, id });
        }
      } finally {
        cancelGiveUp();
        open--;
      }
    },
    openCount: () => open,
    startRefusing() {
      isRefusing = true;
    },
  };
}
