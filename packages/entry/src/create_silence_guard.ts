import type { Clock } from "@rosemarytiller/shared";

/** Aborts a call to an upstream that stays silent for too long. */
export interface SilenceGuard {
  /** Aborted on silence, or together with the call's own signal. */
  readonly signal: AbortSignal;
  /** Whether silence aborted it. */
  hasFired(): boolean;
  /** Starts to wait for the next bytes. */
  arm(limitMs: number): void;
  /** The upstream need not send anything now. */
  disarm(): void;
}

/** Creates the guard of one call. */
export function createSilenceGuard(
  signal: AbortSignal,
  options: { clock: Clock },
): SilenceGuard {
  const controller = new AbortController();
  let cancel = () => {};
  let fired = false;
  return {
    signal: AbortSignal.any([signal, controller.signal]),
    hasFired: () => fired,
    arm(limitMs) {
      cancel();
      cancel = options.clock.after(limitMs, () => {
        fired = true;
        controller.abort(new Error("the upstream stayed silent"));
      });
    },
    disarm() {
      cancel();
      cancel = () => {};
    },
  };
}
