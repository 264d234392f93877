import {
  CallEnd,
  type PeerNetwork,
  type SharedFacts,
} from "@rosemarytiller/peers";
import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import { type Intake, NO_MEMORY_REASON } from "./callers/index.ts";
import { chooseBackupUpstream } from "./choose_backup_upstream.ts";
import type { BrittleServices } from "./create_brittle_services.ts";
import type { CallLimits } from "./create_call_limits.ts";
import type { ConnectionPool } from "./create_connection_pool.ts";
import type { Containment } from "./create_containment.ts";
import type { CrashDetector } from "./create_crash_detector.ts";
import type { Reach } from "./create_reach.ts";
import { type Registry, runOf, type Upstream } from "./create_registry.ts";
import type { Retries } from "./create_retries.ts";
import type { RouterMetrics } from "./create_router_metrics.ts";
import type { Placement } from "./create_scheduler.ts";
import type { StreamOrigins } from "./create_stream_origins.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";
import { AttemptResult, FactKind, LogEvent, SendKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { ResponseMetadata, WireProtocol } from "./ports.ts";
import { reportRepeatedSend } from "./report_repeated_send.ts";
import { FULL_RETRY_AFTER_MS } from "./request_errors.ts";
import { isRetryable } from "./create_send_history.ts";
import type { BackupCopy, RequestState } from "./request_state.ts";
import {
  type AttemptEnd,
  type AttemptOptions,
  type AttemptRun,
  isUnsent,
  runAttempt,
} from "./run_attempt.ts";

/** Dependencies of the attempt starter. */
export interface AttemptStarterOptions {
  clock: Clock;
  log: EventLog;
  metrics: RouterMetrics;
  protocol: WireProtocol;
  registry: Registry;
  pool: ConnectionPool;
  network: Pick<PeerNetwork, "knownVmCount">;
  facts: Pick<SharedFacts, "add">;
  origins: Pick<StreamOrigins, "publish">;
  crashDetector: CrashDetector;
  reach: Pick<Reach, "onSent" | "onReceived" | "onConnectFailed">;
  containment: Pick<
    Containment,
    "check" | "crashesOf" | "isAllowed" | "onAnswer" | "onProgress"
  >;
  callLimits: Pick<CallLimits, "onNamed">;
  brittleServices: Pick<BrittleServices, "onNamed">;
  upstreamLimits: Pick<UpstreamLimits, "isShared">;
  /** Name of this VM. */
  vm: string;
  retries: Pick<Retries, "onFirstSend">;
  intake: Pick<Intake, "responses" | "report">;
}

/** An attempt whose outcome is recorded when it ends. */
export interface StartedAttempt extends AttemptRun {
  /** Undefined if another VM makes the attempt. */
  placement: Placement | undefined;
}

/** Connects an attempt with the other attempts of its call. */
export type AttemptHooks =
  & Pick<AttemptOptions, "claimResponse">
  & Partial<Pick<AttemptOptions, "onSent" | "onAccepted">>;

/** What distinguishes an attempt from the first one of a request. */
export interface StartOptions {
  /** Backup copy from which the upstream continues the run. */
  backupFrom?: BackupCopy | undefined;
  /**
   * Whether an idle connection must not be used: a new one shows that the
   * upstream can be reached.
   */
  needsNewConnection?: boolean;
  hooks: AttemptHooks;
}

/** Starts attempts at upstreams and records their outcomes. */
export interface AttemptStarter {
  /**
   * Starts an attempt at the placement's upstream. Throws a `TillerError` if the
   * request is quarantined or no connection is left; the placement is released
   * and the backup copy kept whenever it throws.
   */
  start(
    state: RequestState,
    placement: Placement,
    options: StartOptions,
  ): StartedAttempt;
}

/**
 * Time beyond a request's deadline for which its origin is kept, in ms: the
 * caller's time includes its connections.
 */
const ORIGIN_MARGIN_MS = 2000;
/** Time for which VMs share that an upstream is leaving, in milliseconds. */
const LEAVING_MS = 600_000;
/** Status of a call that reached another upstream than the one meant. */
const MISDIRECTED_STATUS = 421;
/** Results of calls that their upstream failed or refused. */
const FAILED_RESULTS: ReadonlySet<AttemptResult> = new Set([
  AttemptResult.Broken,
  AttemptResult.Stalled,
  AttemptResult.NotRun,
  AttemptResult.UnstatedRefusal,
]);
/** Characters of an invalid header value that are logged. */
const MAX_LOGGED_CHARACTERS = 64;

/**
 * Time after which events of a stream show that its prompt crashes no upstream
 * that begins to run it, in milliseconds; also the interval of such reports.
 */
const PROGRESS_MS = 300;

/** Creates the starter of a VM that has sent nothing yet. */
export function createAttemptStarter(
  options: AttemptStarterOptions,
): AttemptStarter {
  const { clock, log, metrics, protocol, registry, pool } = options;
  const { network, origins, crashDetector, reach, containment, vm } = options;
  const { facts, callLimits, brittleServices, upstreamLimits } = options;
  const { retries, intake: { responses, report } } = options;

  function addressOf({ entry }: Upstream): string {
    return `${entry.host}:${entry.port}`;
  }

  /**
   * Identifier of a crash. All VMs have the same one if the entry says when the
   * upstream started; otherwise each call counts as a crash of its own.
   */
  function crashOf({ upstream, call }: Placement): string {
    const { id, startedMs } = upstream.entry;
    return startedMs === undefined ? `${vm}/${call}` : `${id}@${startedMs}`;
  }

  /** Crashes of the request that are known or likely by now. */
  function crashesSoFar(state: RequestState): string[] {
    const { brokenCalls } = state;
    return [...new Set([...brokenCalls, ...containment.crashesOf(state)])];
  }

  /** Acquires a connection; throws a `TillerError` if none is left. */
  function acquireConnection(
    state: RequestState,
    placement: Placement,
    isNew: boolean,
  ) {
    // This VM's share of 90 % of the connections that the upstream accepts, at
    // least 4.
    const maxOpen = Math.max(
      4,
      Math.floor(state.service.maxConnections * 0.9 / network.knownVmCount()),
    );
    const connection = pool.acquire(placement.upstream.entry, maxOpen, {
      isNew,
    });
    if (connection) return connection;
    throw new TillerError(
      ErrorKind.Overloaded,
      "this VM has no free connection to upstreams",
      {
        retryAfterMs: FULL_RETRY_AFTER_MS,
      },
    );
  }

  /** Chooses where a run's backup copy is kept; undefined if it gets none. */
  function chooseBackup(
    state: RequestState,
    { upstream }: Placement,
  ): BackupCopy | undefined {
    if (isRetryable(state.route)) return undefined;
    const backup = chooseBackupUpstream(upstream, {
      engine: state.service.engine,
      prompt: state.request.metadata.prompt,
      others: registry.eligible(state.service.name)
        .filter((other) => !upstreamLimits.isShared(other)),
      nowMs: clock.now(),
    });
    return backup && {
      upstream: backup,
      name: `${addressOf(backup)}/${state.id}`,
    };
  }

  /** Keeps a copy that was not used, as the request was not sent. */
  function keepCopy(state: RequestState, copy: BackupCopy | undefined): void {
    state.backup ??= copy;
  }

  /** Publishes which version began a stream that its caller can resume. */
  function publishOrigin(state: RequestState, softwareVersion: string): void {
    const isResume = state.request.metadata.lastEventId !== undefined;
    if (!state.route.isResumable || isResume) return;
    origins.publish({
      id: state.id,
      softwareVersion,
      keepMs: Math.ceil(state.expiresMs - clock.now()) + ORIGIN_MARGIN_MS,
    });
  }

  /** Gives an upstream no more calls and notifies the other VMs. */
  function reportLeaving({ entry }: Upstream): void {
    const run = runOf(entry);
    registry.onLeaving(entry.id, { run, from: vm });
    facts.add([FactKind.Leaving, entry.id, run], LEAVING_MS);
  }

  /** Notes what a response says about the upstream's further calls. */
  function recordHead(upstream: Upstream, metadata: ResponseMetadata): void {
    const { isLeaving, retryAfterMs, invalidRetryAfter } = metadata;
    const { callsPerSecond, maxDeclined, isSealed, isDeclined } = metadata;
    // Without a value, only the upstream's own response shows that it has none.
    const isOwn = isSealed || isDeclined === true;
    if (isOwn || callsPerSecond !== undefined) {
      callLimits.onNamed(upstream, callsPerSecond);
    }
    if (isOwn || maxDeclined !== undefined) {
      brittleServices.onNamed(upstream, maxDeclined);
    }
    if (isLeaving) reportLeaving(upstream);
    if (retryAfterMs) registry.onPauseRequested(upstream, retryAfterMs);
    if (invalidRetryAfter !== undefined) {
      log.warn(LogEvent.RetryAfterIgnored, {
        upstream: upstream.entry.id,
        value: invalidRetryAfter.slice(0, MAX_LOGGED_CHARACTERS),
      });
    }
  }

  /** Reports an attempt's outcome to scheduler, registry and crash detector. */
  function recordEnd(
    state: RequestState,
    placement: Placement,
    { result, status, warmUpMs, earlier }: AttemptEnd & { earlier: string[] },
  ): void {
    const { upstream } = placement;
    const isFailed = FAILED_RESULTS.has(result) || status >= 500;
    const isDeclined = result === AttemptResult.NotRun &&
      status !== MISDIRECTED_STATUS;
    placement.release(
      isDeclined
        ? CallEnd.Declined
        : isFailed
        ? CallEnd.Failed
        : result === AttemptResult.Complete
        ? CallEnd.Completed
        : CallEnd.Other,
    );
    if (result === AttemptResult.Unsent) {
      registry.onConnectFailed(upstream, "no connection");
      reach.onConnectFailed(upstream);
      crashDetector.onUnreachable(upstream);
      state.tried.add(upstream.entry.id);
    }
    if (result === AttemptResult.Broken) {
      const crash = crashOf(placement);
      state.brokenCalls.push(crash);
      crashDetector.onCallBroken(upstream, { request: state, crash, earlier });
    }
    if (result === AttemptResult.Complete && status < 400) {
      containment.onAnswer(state);
    }
    if (warmUpMs) {
      upstream.warmUpUntilMs = Math.max(
        upstream.warmUpUntilMs,
        clock.now() + warmUpMs,
      );
    }
  }

  function logEnd(
    state: RequestState,
    placement: Placement,
    ended: AttemptEnd & { startedMs: number; isResume: boolean },
  ): void {
    const { result, status, reason, firstMs, startedMs, isResume } = ended;
    const isComplete = result === AttemptResult.Complete;
    log[isComplete ? "info" : "warn"](LogEvent.AttemptEnded, {
      id: state.id,
      upstream: placement.upstream.entry.id,
      call: placement.call,
      result,
      status,
      reason: reason || undefined,
      ms: Math.round(clock.now() - startedMs),
      firstMs: firstMs === undefined
        ? undefined
        : Math.round(firstMs - startedMs),
      predictedMs: Math.round(placement.predictedMs),
      events: state.stream.isStream ? state.stream.eventCount : undefined,
      resume: isResume || undefined,
    });
    metrics.onAttempt(state.service.name, result);
    if (firstMs !== undefined) {
      metrics.onFirstEvent(state.urgency, firstMs - startedMs);
    }
  }

  const starter: AttemptStarter = {
    start(state, placement, options) {
      const { backupFrom, needsNewConnection = false, hooks } = options;
      const { upstream } = placement;
      const { entry } = upstream;
      if (!state.trial?.maySend()) containment.check(state);
      const connection = acquireConnection(
        state,
        placement,
        needsNewConnection,
      );
      const backup = backupFrom ? undefined : chooseBackup(state, placement);
      const headers = [
        ...state.request.metadata.forwardedHeaders,
        ...protocol.callHeaders({
          deadlineMs: Math.max(1, Math.floor(state.expiresMs - clock.now())),
          upstreamId: entry.id,
          account: state.account?.name,
          urgency: state.urgency,
          lastEventId: state.stream.lastEventId,
          backupTo: backup && addressOf(backup.upstream),
          backupFrom: backupFrom?.name,
          fetchFrom: placement.fetchFrom && addressOf(placement.fetchFrom),
        }),
      ];
      const startedMs = clock.now();
      /** Time of the first event or of the last report of progress. */
      let progressMs: number | undefined;
      let earlier: string[] = [];
      const isResume = state.stream.isStarted;
      const send = state.sendHistory.begin(
        backupFrom ? SendKind.Continue : SendKind.Run,
      );
      const running = runAttempt({
        clock,
        protocol,
        connection,
        requestId: state.id,
        method: state.request.method,
        path: state.request.pathAndQuery,
        headers,
        body: state.request.body,
        softwareVersion: entry.softwareVersion,
        stream: state.stream,
        response: state.response,
        onReceived() {
          registry.onReceived(upstream, connection.openedMs);
          reach.onReceived(upstream);
        },
        onHead: (metadata) => recordHead(upstream, metadata),
        claimResponse: hooks.claimResponse,
        onAccepted: hooks.onAccepted,
        budget: responses,
        onNoMemory: () => report(NO_MEMORY_REASON),
        onStreamStarted: () => publishOrigin(state, entry.softwareVersion),
        onEvent() {
          placement.onEvent();
          const nowMs = clock.now();
          progressMs ??= nowMs;
          if (nowMs - progressMs < PROGRESS_MS) return;
          progressMs = nowMs;
          containment.onProgress(state);
        },
        maySend() {
          // The deadline's timer may be late in a process that stood still.
          const isInTime = clock.now() < state.expiresMs;
          return isInTime && registry.isInUse(upstream) && send.isAllowed() &&
            (state.trial?.maySend() || containment.isAllowed(state)) &&
            placement.confirmSend();
        },
        onSent() {
          earlier = crashesSoFar(state);
          reportRepeatedSend(state, {
            to: entry.id,
            copy: backupFrom?.name,
            report: { log, metrics },
          });
          if (state.sendHistory.count() === 0) {
            retries.onFirstSend(state.service.name);
          }
          send.onSent();
          state.trial?.onSent();
          if (!backupFrom) state.backup = backup;
          hooks.onSent?.();
          state.tried.add(entry.id);
          reach.onSent(upstream);
        },
      });
      const onAbort = () => running.abort(AttemptResult.Aborted);
      state.signal.addEventListener("abort", onAbort, { once: true });
      if (state.signal.aborted) onAbort();

      async function finish(): Promise<AttemptEnd> {
        const ended = await running.ended;
        send.onEnd(ended.result);
        state.trial?.onSendEnded(ended.result);
        if (isUnsent(ended)) keepCopy(state, backupFrom);
        state.signal.removeEventListener("abort", onAbort);
        if (ended.isReusable) {
          if (ended.idleLimitMs !== undefined) {
            connection.idleLimitMs = ended.idleLimitMs;
          }
          pool.release(entry, connection);
        } else {
          pool.discard(entry, connection);
        }
        recordEnd(state, placement, { ...ended, earlier });
        logEnd(state, placement, { ...ended, startedMs, isResume });
        // One more crash may show that the request must not be sent again.
        const isSuspect = ended.result === AttemptResult.Broken &&
          containment.crashesOf(state).length > 0;
        if (isSuspect) await crashDetector.waitForDecision(upstream);
        return ended;
      }

      return { ...running, ended: finish(), placement };
    },
  };

  return {
    start(state, placement, startOptions) {
      try {
        return starter.start(state, placement, startOptions);
      } catch (error) {
        placement.release(CallEnd.Other);
        keepCopy(state, startOptions.backupFrom);
        throw error;
      }
    },
  };
}
