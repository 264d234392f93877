import { LoadEventKind, type PeerNetwork } from "@rosemarytiller/peers";
import { type CancelTimer, type Clock, repeat } from "@rosemarytiller/shared";
import type { Registry } from "./create_registry.ts";
import type { Placement } from "./create_scheduler.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import { isRetryable, type RequestState } from "./request_state.ts";
import type { AttemptRun } from "./run_attempt.ts";

/** A call in progress. */
export interface WatchedCall {
  state: RequestState;
  placement: Placement;
  running: Pick<AttemptRun, "lastReceivedMs" | "hasEvents">;
  /**
   * Called when a silence reaches the idle timeout, and again after each further
   * one, if the call can go on elsewhere.
   */
  onSilent(): void;
}

/** Dependencies of the stall check. */
export interface StallWatchOptions {
  clock: Clock;
  log: EventLog;
  registry: Registry;
  network: Pick<PeerNetwork, "publishLoadEvent">;
}

/** Interval of the stall check, in milliseconds. */
const STALL_CHECK_MS = 100;
/** Shortest idle timeout of a call, in milliseconds. */
const MIN_IDLE_TIMEOUT_MS = 600;
/** Idle timeout, as a multiple of the longest pause or the latency target. */
const IDLE_TIMEOUT_FACTOR = 3;
/**
 * Shortest silence of a started stream before it continues elsewhere, in ms.
 * Healthy upstreams pause for about a second, and a backup copy serves once.
 */
const MIN_STREAM_SILENCE_MS = 1200;
/**
 * Idle timeouts without data at this VM after which an upstream counts as
 * stalled even if other VMs receive data from it.
 */
const LOCAL_STALL_FACTOR = 2.5;

/**
 * Checks a call for an idle timeout until cancelled. If its upstream sends
 * nothing to any VM, or nothing to this VM for `LOCAL_STALL_FACTOR` timeouts,
 * it gets no new calls for a while and the other VMs are notified. `onSilent` is
 * called if the call can be retried or resumed; for a started stream only if its
 * upstream has stalled. The call itself goes on.
 */
export function watchStall(
  call: WatchedCall,
  options: StallWatchOptions,
): CancelTimer {
  const { state, placement, running, onSilent } = call;
  const { clock, log, registry, network } = options;
  const { route } = state;
  const { upstream } = placement;
  const idleTimeoutMs = Math.max(
    MIN_IDLE_TIMEOUT_MS,
    state.stream.isStream
      ? IDLE_TIMEOUT_FACTOR * route.maxPauseMs
      : IDLE_TIMEOUT_FACTOR * route.targetMs,
  );
  const firstEventTimeoutMs = Math.max(
    idleTimeoutMs,
    placement.predictedMs + idleTimeoutMs,
  );
  let checkedAtMs = clock.now();
  let silentSinceMs = running.lastReceivedMs();
  /** Time of the silence in which this process did not run, in ms. */
  let suspendedMs = 0;
  let isLogged = false;
  let reportedAtMs = -Infinity;

  /** Measures the silence, without the time in which data was not read. */
  function measureSilence(nowMs: number): number {
    const delayMs = nowMs - checkedAtMs - STALL_CHECK_MS;
    checkedAtMs = nowMs;
    if (silentSinceMs !== running.lastReceivedMs()) {
      silentSinceMs = running.lastReceivedMs();
      suspendedMs = 0;
      isLogged = false;
    }
    suspendedMs += Math.max(0, delayMs);
    return nowMs - silentSinceMs - suspendedMs;
  }

  return repeat(clock, STALL_CHECK_MS, () => {
    const nowMs = clock.now();
    const isStarted = state.stream.isStarted;
    const limitMs = running.hasEvents() ? idleTimeoutMs : firstEventTimeoutMs;
    const silentMs = measureSilence(nowMs);
    if (silentMs < limitMs) return;
    const readMs = nowMs - suspendedMs;
    // An upstream that still responds to other calls is slow, not stalled.
    const isStalled = readMs - upstream.fleetLastReceivedMs >= limitMs ||
      readMs - upstream.lastReceivedMs >= limitMs * LOCAL_STALL_FACTOR;
    if (isStalled && upstream.downUntilMs <= nowMs) {
      registry.onStalled(upstream);
      network.publishLoadEvent({
        kind: LoadEventKind.Stalled,
        upstream: upstream.entry.id,
      });
    }
    const canRetry = isRetryable(route) && state.sends < route.maxAttempts;
    const canRecover = canRetry || (isStarted && state.backup !== undefined);
    if (!isLogged) {
      isLogged = true;
      log.warn(LogEvent.CallSilent, {
        id: state.id,
        upstream: upstream.entry.id,
        call: placement.call,
        quietMs: Math.round(silentMs),
        fleetQuietMs: Math.round(readMs - upstream.fleetLastReceivedMs),
        suspendedMs: Math.round(suspendedMs),
        limitMs: Math.round(limitMs),
        started: isStarted,
        canRetry,
        backup: state.backup?.name,
      });
    }
    if (!canRecover || (isStarted && !isStalled)) return;
    if (isStarted && silentMs < MIN_STREAM_SILENCE_MS) return;
    if (nowMs - reportedAtMs < limitMs) return;
    reportedAtMs = nowMs;
    onSilent();
  });
}
