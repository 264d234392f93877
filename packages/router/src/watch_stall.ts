import { LoadEventKind, type PeerNetwork } from "@rosemarytiller/peers";
import { type CancelTimer, type Clock, repeat } from "@rosemarytiller/shared";
import type { Registry } from "./create_registry.ts";
import type { Placement } from "./create_scheduler.ts";
import { LogEvent, SendKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { RequestState } from "./request_state.ts";
import type { AttemptRun } from "./run_attempt.ts";
import {
  IDLE_TIMEOUT_FACTOR,
  LOCAL_SILENCE_FACTOR,
  MIN_IDLE_TIMEOUT_MS,
  MIN_OUTAGE_SILENCE_MS,
  MIN_STREAM_SILENCE_MS,
  SILENCE_CHECK_MS,
} from "./silence_limits.ts";

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

/**
 * Checks a call for an idle timeout until cancelled. If its upstream sends
 * nothing to any VM, or nothing to this VM for `LOCAL_SILENCE_FACTOR` timeouts,
 * new calls prefer other upstreams and the other VMs are notified; only after
 * `MIN_OUTAGE_SILENCE_MS` it gets no new calls for a while. `onSilent` is called
 * if the call can be retried or resumed; for a started stream only if its
 * upstream sends nothing for other calls either. The call itself goes on.
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
    const delayMs = nowMs - checkedAtMs - SILENCE_CHECK_MS;
    checkedAtMs = nowMs;
    if (silentSinceMs !== running.lastReceivedMs()) {
      silentSinceMs = running.lastReceivedMs();
      suspendedMs = 0;
      isLogged = false;
    }
    suspendedMs += Math.max(0, delayMs);
    return nowMs - silentSinceMs - suspendedMs;
  }

  return repeat(clock, SILENCE_CHECK_MS, () => {
    const nowMs = clock.now();
    const isStarted = state.stream.isStarted;
    const limitMs = running.hasEvents() ? idleTimeoutMs : firstEventTimeoutMs;
    const silentMs = measureSilence(nowMs);
    if (silentMs < limitMs) return;
    const readMs = nowMs - suspendedMs;
    // An upstream that still responds to other calls is slow, not stalled.
    const localSilentMs = readMs - upstream.lastReceivedMs;
    const isStalled = readMs - upstream.fleetLastReceivedMs >= limitMs ||
      localSilentMs >= limitMs * LOCAL_SILENCE_FACTOR;
    const isOut = Math.min(silentMs, localSilentMs) >= MIN_OUTAGE_SILENCE_MS;
    if (isStalled && isOut) registry.onStalled(upstream);
    if (isStalled && upstream.silentUntilMs <= nowMs) {
      registry.onSilent(upstream);
      network.publishLoadEvent({
        kind: LoadEventKind.Stalled,
        upstream: upstream.entry.id,
      });
    }
    const canRetry = state.sendHistory.denialOf(SendKind.Run) === undefined;
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
