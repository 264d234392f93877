import { CallEnd, type PeerNetwork } from "@rosemarytiller/peers";
import {
  type CancelTimer,
  type Clock,
  ErrorKind,
  repeat,
  type TillerError,
  toTillerError,
} from "@rosemarytiller/shared";
import type {
  AttemptHooks,
  AttemptStarter,
  StartedAttempt,
} from "./create_attempt_starter.ts";
import type { ConfigurationIndex } from "./create_configuration_index.ts";
import type { PlannedStop } from "./create_planned_stop.ts";
import type { Reach } from "./create_reach.ts";
import type { Registry } from "./create_registry.ts";
import type { Relays } from "./create_relays.ts";
import type { Retries } from "./create_retries.ts";
import type { Placement, Scheduler } from "./create_scheduler.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import { AttemptResult, LogEvent, RetryDenial, SendKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import {
  createStoppingError,
  createUnreachableError,
} from "./request_errors.ts";
import type { BackupCopy, RequestState } from "./request_state.ts";
import type { AttemptEnd } from "./run_attempt.ts";
import { runHedgedCall } from "./run_hedged_call.ts";
import { SILENCE_CHECK_MS } from "./silence_limits.ts";
import { watchStall } from "./watch_stall.ts";

/** A call that has ended. */
export interface EndedCall {
  ended: AttemptEnd;
  /** Whether another VM made the call, with its retries. */
  isRelayed: boolean;
}

/** Runs the calls of requests, at upstreams or through other VMs. */
export interface CallRunner {
  /**
   * Runs a call here or, if the links are lost, at another VM. Before a request
   * is refused as no upstream can be reached, another VM is asked in any case.
   * `connectFailures` is the number of the request's calls that were not sent.
   * Throws a `TillerError` if the request is refused.
   */
  runNext(state: RequestState, connectFailures: number): Promise<EndedCall>;
  /**
   * Resumes a started stream at the upstream with the backup copy; `undefined`
   * if there is none that can be used.
   */
  resumeFromBackup(state: RequestState): Promise<AttemptEnd | undefined>;
}

/** Dependencies of the call runner. */
export interface CallRunnerOptions {
  clock: Clock;
  log: EventLog;
  registry: Registry;
  scheduler: Scheduler;
  network: PeerNetwork;
  attempts: AttemptStarter;
  retries: Retries;
  reach: Reach;
  relays: Relays;
  upstreamLimits: Pick<UpstreamLimits, "canAdmit" | "isShared">;
  plannedStop: Pick<PlannedStop, "canEnd" | "onCallEnded">;
  /** Current configuration; undefined until one has been received. */
  configuration(): ConfigurationIndex | undefined;
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

/** Creates the call runner. */
export function createCallRunner(options: CallRunnerOptions): CallRunner {
  const { clock, log, registry, scheduler, network, attempts } = options;
  const { retries, reach, relays, upstreamLimits, configuration } = options;
  const { plannedStop } = options;

  /** Whether no upstream got the request and it would outlast the stop. */
  function isTooLate(state: RequestState): boolean {
    const { sendHistory, stream, route, expiresMs } = state;
    if (sendHistory.possibleRuns() > 0 || stream.isStarted) return false;
    return !plannedStop.canEnd(route.name, expiresMs);
  }

  /** Waits for the end of a call, whose duration counts for its route. */
  async function measure(
    { route }: RequestState,
    call: Promise<AttemptEnd>,
  ): Promise<AttemptEnd> {
    const startedMs = clock.now();
    const ended = await call;
    if (ended.result === AttemptResult.Complete) {
      plannedStop.onCallEnded(route.name, clock.now() - startedMs);
    }
    return ended;
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
      bodyBytes: state.request.body.length,
      // A started stream has no first event to deliver on time.
      arrivedMs: state.stream.isStarted ? clock.now() : state.request.arrivedMs,
      expiresMs: state.expiresMs,
      avoid: state.tried,
      softwareVersion: state.stream.softwareVersion,
    }, signal);
  }

  /** Watches an attempt at an upstream until cancelled. */
  function watchPlaced(
    state: RequestState,
    call: { running: StartedAttempt; placement: Placement; onSilent(): void },
  ): CancelTimer {
    const watched = { state, ...call };
    const cancels = [
      watchStall(watched, { clock, log, registry, network }),
      watchLostCall(call),
    ];
    return () => {
      for (const cancel of cancels) cancel();
    };
  }

  /**
   * Frees the place of a call that probably did not arrive, as the other VMs
   * would leave it empty until the deadline. The call itself goes on. Calls of
   * upstreams that must not get too many are counted until they end: late bytes
   * arrive if the links return.
   */
  function watchLostCall(
    { running, placement }: { running: StartedAttempt; placement: Placement },
  ): CancelTimer {
    const { upstream } = placement;
    const sentMs = running.lastReceivedMs();
    return repeat(clock, SILENCE_CHECK_MS, () => {
      if (upstreamLimits.isShared(upstream)) return;
      if (!reach.isCallLost(upstream, sentMs)) return;
      placement.release(CallEnd.Other);
    });
  }

  /**
   * Runs one call from the placement's upstream on until it ends, with a
   * standby while that upstream is silent.
   */
  function runCall(
    state: RequestState,
    placement: Placement,
    backupFrom?: BackupCopy,
  ): Promise<AttemptEnd> {
    return runHedgedCall({
      start: (hooks) => attempts.start(state, placement, { backupFrom, hooks }),
      startStandby: (hooks, signal) => startStandby(state, { hooks, signal }),
      watch: (running, onSilent) =>
        running.placement
          ? watchPlaced(state, {
            running,
            placement: running.placement,
            onSilent,
          })
          : () => {},
      // The caller of a started stream gets the events of one upstream only.
      isExclusive: () => state.stream.isStarted,
      after: (delayMs, callback) => clock.after(delayMs, callback),
    });
  }

  /**
   * Sends a silent call elsewhere as well, a stream that has a backup copy only
   * to the upstream with the copy; see `HedgedCall.startStandby`.
   */
  async function startStandby(
    state: RequestState,
    options: { hooks: AttemptHooks; signal: AbortSignal },
  ): Promise<StartedAttempt | undefined> {
    const { hooks, signal } = options;
    const hasCopy = state.stream.isStarted && state.backup !== undefined;
    if (!hasCopy && needsRelay(state)) {
      return startRelayedStandby(state, hooks);
    }
    if (!hasCopy && !retries.hasLeft(state, SendKind.Run)) return undefined;
    const resumed = hasCopy ? placeAtBackup(state) : undefined;
    if (hasCopy && !resumed) return undefined;
    const placement = resumed?.placement ??
      await place(state, AbortSignal.any([state.signal, signal]));
    if (!resumed && (signal.aborted || !retries.claim(state, SendKind.Run))) {
      placement.release(CallEnd.Other);
      return undefined;
    }
    log.info(LogEvent.Hedged, {
      id: state.id,
      at: placement.upstream.entry.id,
      version: placement.upstream.entry.softwareVersion,
      call: placement.call,
      warmUp: placement.warmUp,
      copy: resumed?.copy.name,
      lastEventId: state.stream.lastEventId,
    });
    return attempts.start(state, placement, {
      backupFrom: resumed?.copy,
      needsNewConnection: state.stream.isStarted,
      hooks,
    });
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

  /** Whether yet another VM may serve a request that one has refused. */
  function canRelayAgain({ service }: RequestState, kind: ErrorKind): boolean {
    if (RELAY_AGAIN_KINDS.has(kind)) return true;
    // The other VM may have lost its links too.
    return kind === ErrorKind.Overloaded && reach.mayBeMostlyLost(service.name);
  }

  function startRelayedStandby(
    state: RequestState,
    hooks: AttemptHooks,
  ): StartedAttempt | undefined {
    if (!retries.claim(state, SendKind.Relay)) return undefined;
    return relays.start(state, hooks);
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
      if (isTooLate(state)) throw createStoppingError();
      const attempt = relays.start(state, { claimResponse: () => true });
      if (!attempt && refusal) throw refusal;
      if (!attempt) return undefined;
      const ended = await measure(state, attempt.ended);
      if (ended.result === AttemptResult.Unsent) continue;
      if (ended.result !== AttemptResult.NotRun) return ended;
      refusal = attempt.refusal();
      if (refusal && !canRelayAgain(state, refusal.kind)) throw refusal;
    }
  }

  /** Places the request at an upstream and runs the call there. */
  async function runPlaced(state: RequestState): Promise<AttemptEnd> {
    if (isTooLate(state)) throw createStoppingError();
    const placement = await place(state);
    if (isTooLate(state)) {
      placement.release(CallEnd.Other);
      throw createStoppingError();
    }
    log.info(LogEvent.Placed, {
      id: state.id,
      upstream: placement.upstream.entry.id,
      version: placement.upstream.entry.softwareVersion,
      resumes: state.request.metadata.resumedId,
      lastEventId: state.stream.lastEventId,
      call: placement.call,
      urgency: state.urgency,
      heldMs: Math.round(placement.queuedMs),
      entryRemoved: placement.upstream.removeAtMs !== undefined || undefined,
      newTokens: placement.newTokens || undefined,
      fetchFrom: placement.fetchFrom?.entry.id,
      calls: placement.upstream.model.callCount(),
      predictedMs: Math.round(placement.predictedMs),
      warmUp: placement.warmUp,
      revision: configuration()?.configuration.version,
    });
    return await measure(state, runCall(state, placement));
  }

  /** See `CallRunner.runNext`. */
  async function runNext(
    state: RequestState,
    connectFailures: number,
  ): Promise<EndedCall> {
    const isOutOfReach = connectFailures >= MAX_CONNECT_FAILURES;
    if (isOutOfReach || needsRelay(state, connectFailures)) {
      const ended = await runRelayed(state);
      if (ended) return { ended, isRelayed: true };
    }
    if (isOutOfReach) throw createUnreachableError();
    try {
      return { ended: await runPlaced(state), isRelayed: false };
    } catch (error) {
      // It was ended while it was queued.
      if (state.signal.aborted) throw error;
      const { kind } = toTillerError(error);
      const { name } = state.service;
      // Upstreams may look overloaded as those that this VM still reaches are.
      const mayBeLost =
        kind === ErrorKind.NoUpstream && reach.mayBeLost(name) ||
        kind === ErrorKind.Overloaded && reach.mayBeMostlyLost(name);
      const ended = mayBeLost || needsRelay(state)
        ? await runRelayed(state)
        : undefined;
      if (!ended) throw error;
      return { ended, isRelayed: true };
    }
  }

  /**
   * Takes one retry and places the call at the upstream with the backup copy,
   * which can be used once; `undefined` if it can't be used.
   */
  function placeAtBackup(
    state: RequestState,
  ): { placement: Placement; copy: BackupCopy } | undefined {
    const copy = state.backup;
    if (!copy) return undefined;
    const { upstream } = copy;
    // A restarted upstream is another one and has lost the copy.
    const isEligible = registry.eligible(state.service.name).includes(upstream);
    if (!isEligible || !upstreamLimits.canAdmit(upstream)) {
      retries.deny(state, RetryDenial.BackupUnavailable);
      return undefined;
    }
    if (!retries.claim(state, SendKind.Continue)) return undefined;
    state.backup = undefined;
    const placement = scheduler.placeAt(upstream, {
      service: state.service,
      urgency: state.urgency,
      rank: state.rank,
      prompt: undefined,
      maxPauseMs: state.route.maxPauseMs,
      targetMs: state.route.targetMs,
      arrivedMs: clock.now(),
      expiresMs: state.expiresMs,
      bodyBytes: state.request.body.length,
      avoid: state.tried,
      softwareVersion: state.stream.softwareVersion,
    });
    return { placement, copy };
  }

  /** See `CallRunner.resumeFromBackup`. */
  async function resumeFromBackup(
    state: RequestState,
  ): Promise<AttemptEnd | undefined> {
    if (!state.stream.isStarted) return undefined;
    const resumed = placeAtBackup(state);
    if (!resumed) return undefined;
    const { placement, copy } = resumed;
    log.info(LogEvent.Resumed, {
      id: state.id,
      at: placement.upstream.entry.id,
      version: placement.upstream.entry.softwareVersion,
      call: placement.call,
      warmUp: placement.warmUp,
      copy: copy.name,
      lastEventId: state.stream.lastEventId,
    });
    return await runCall(state, placement, copy);
  }

  return { runNext, resumeFromBackup };
}
