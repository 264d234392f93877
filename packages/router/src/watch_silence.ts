import { LoadEventKind, type PeerNetwork } from "@rosemarytiller/peers";
import { type CancelTimer, type Clock, repeat } from "@rosemarytiller/shared";
import type { Placement } from "./create_placer.ts";
import type { Registry } from "./create_registry.ts";
import { AttemptResult } from "./enums.ts";
import { isRepeatable, type RequestState } from "./request_state.ts";
import type { AttemptRun } from "./run_attempt.ts";

/** A call in progress. */
export interface WatchedCall {
  state: RequestState;
  placement: Placement;
  running: AttemptRun;
}

/** What watching needs. */
export interface SilenceWatchOptions {
  clock: Clock;
  registry: Registry;
  network: Pick<PeerNetwork, "tell">;
}

/** Interval of looks at a call's silence, in milliseconds. */
const SILENCE_LOOK_MS = 100;
/** Shortest silence that marks a call as lost, in milliseconds. */
const MIN_SILENCE_MS = 600;
/** Silence that marks a call as lost, in longest pauses on time. */
const SILENCE_PAUSES = 3;
/** Longer silence that counts though other VMs hear the upstream. */
const SILENCE_HERE_FACTOR = 2.5;

/**
 * Watches a call for silence: an upstream that says nothing at all gets no
 * new calls, and a call that can be mended goes on elsewhere.
 */
export function watchSilence(
  call: WatchedCall,
  options: SilenceWatchOptions,
): CancelTimer {
  const { state, placement, running } = call;
  const { clock, registry, network } = options;
  const { route } = state;
  const canRepeat = isRepeatable(route) && state.sends < route.maxAttempts;
  const { upstream } = placement;
  const pauseMs = Math.max(
    MIN_SILENCE_MS,
    state.stream.isStream
      ? SILENCE_PAUSES * route.maxPauseMs
      : SILENCE_PAUSES * route.targetMs,
  );
  const firstMs = Math.max(pauseMs, placement.predictedMs + pauseMs);
  return repeat(clock, SILENCE_LOOK_MS, () => {
    const nowMs = clock.now();
    const hasBegun = state.stream.isBegun;
    const limitMs = hasBegun ? pauseMs : firstMs;
    if (nowMs - running.heardMs() < limitMs) return;
    // An upstream that answers others is slow, not gone.
    const isQuiet = nowMs - upstream.seenMs >= limitMs ||
      nowMs - upstream.heardMs >= limitMs * SILENCE_HERE_FACTOR;
    if (isQuiet && upstream.downUntilMs <= nowMs) {
      registry.onSilent(upstream);
      network.tell({
        kind: LoadEventKind.Silent,
        upstream: upstream.entry.id,
      });
    }
    const canMend = canRepeat || (hasBegun && state.copy !== undefined);
    if (!canMend || (hasBegun && !isQuiet)) return;
    running.abort(AttemptResult.Silent);
  });
}
