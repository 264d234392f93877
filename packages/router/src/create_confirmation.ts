/**
 * Confirms that this VM knows all that the platform had published when the call
 * was made. Resolves with whether it does; never rejects.
 */
export type Confirm = () => Promise<boolean>;

/**
 * Creates a confirmation by reads of the platform: `read` resolves with whether
 * the platform's response was applied. A read is made for all calls that are
 * waiting when it begins, and one at a time.
 */
export function createConfirmation(read: () => Promise<boolean>): Confirm {
  let running: Promise<boolean> | undefined;
  let next: Promise<boolean> | undefined;

  function start(): Promise<boolean> {
    const started = read().catch(() => false).finally(() => {
      if (running === started) running = undefined;
    });
    running = started;
    return started;
  }

  return () => {
    if (!running) return start();
    // The platform may have sent the response to that read before this call.
    return next ??= running.then(() => {
      next = undefined;
      return running ?? start();
    });
  };
}
