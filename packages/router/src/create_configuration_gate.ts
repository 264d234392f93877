import type { Clock } from "@rosemarytiller/shared";

/** Holds requests of a VM that has just started until it has a configuration. */
export interface ConfigurationGate {
  /** Lets all requests pass from now on. */
  open(): void;
  /**
   * Resolves when the gate is open, when the caller has waited for its time, or
   * at once if `MAX_HELD` requests are held.
   */
  wait(request: { deadlineMs: number | undefined }): Promise<void>;
}

/** Longest time for which a request is held, in milliseconds. */
const MAX_HOLD_MS = 1000;
/** Share of a request's deadline for which it is held at most. */
const MAX_HOLD_SHARE = 0.25;
/** Requests that are held at the same time. */
const MAX_HELD = 500;

/** Creates a closed gate. */
export function createConfigurationGate(clock: Clock): ConfigurationGate {
  let isOpen = false;
  const held = new Set<() => void>();
  return {
    open() {
      isOpen = true;
      for (const release of held) release();
    },
    wait({ deadlineMs = Infinity }) {
      if (isOpen || held.size >= MAX_HELD) return Promise.resolve();
      return new Promise((resolve) => {
        const release = () => {
          cancel();
          held.delete(release);
          resolve();
        };
        const holdMs = Math.min(MAX_HOLD_MS, deadlineMs * MAX_HOLD_SHARE);
        const cancel = clock.after(holdMs, release);
        held.add(release);
      });
    },
  };
}
