import type { ServerResponse } from "node:http";

/** Tracks the requests of an entry that are in progress. */
export interface OpenRequests {
  /**
   * Counts a request until its work is done and its response is closed: sent in
   * full, or cut off by a lost connection.
   */
  track(response: ServerResponse, work: () => Promise<void>): Promise<void>;
  count(): number;
  /**
   * Makes callers reconnect: from now on each response whose headers are not
   * sent yet gets `connection: close`.
   */
  drain(): void;
  /** Resolves once no request is open. */
  whenIdle(): Promise<void>;
}

/** Creates a tracker without open requests. */
export function createOpenRequests(): OpenRequests {
  const open = new Set<ServerResponse>();
  const idleWaiters: (() => void)[] = [];
  let draining = false;

  function closeAfterResponse(response: ServerResponse): void {
    if (!response.headersSent) response.setHeader("connection", "close");
  }

  return {
    async track(response, work) {
      open.add(response);
      if (draining) closeAfterResponse(response);
      const closed = new Promise((resolve) => response.once("close", resolve));
      await Promise.all([work(), closed]);
      open.delete(response);
      if (open.size > 0) return;
      for (const resolve of idleWaiters.splice(0)) resolve();
    },
    count: () => open.size,
    drain() {
      draining = true;
      for (const response of open) closeAfterResponse(response);
    },
    whenIdle() {
      if (open.size === 0) return Promise.resolve();
      return new Promise((resolve) => idleWaiters.push(resolve));
    },
  };
}
