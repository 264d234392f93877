import type { ServerResponse } from "node:http";

/** The requests of an entry that are not yet over. */
export interface OpenRequests {
  /**
   * Counts a request until its work is done and its answer has gone out, or
   * its caller has.
   */
  track(response: ServerResponse, work: () => Promise<void>): Promise<void>;
  count(): number;
  /** From now on each answer asks its caller to connect anew. */
  drain(): void;
  /** Resolves once no request is open. */
  idle(): Promise<void>;
}

/** Creates the list of an entry's open requests. */
export function createOpenRequests(): OpenRequests {
  const open = new Set<ServerResponse>();
  const waiting: (() => void)[] = [];
  let draining = false;

  function askToReconnect(response: ServerResponse): void {
    if (!response.headersSent) response.setHeader("connection", "close");
  }

  return {
    async track(response, work) {
      open.add(response);
      if (draining) askToReconnect(response);
      const closed = new Promise((resolve) => response.once("close", resolve));
      await Promise.all([work(), closed]);
      open.delete(response);
      if (open.size > 0) return;
      for (const resolve of waiting.splice(0)) resolve();
    },
    count: () => open.size,
    drain() {
      draining = true;
      for (const response of open) askToReconnect(response);
    },
    idle() {
      if (open.size === 0) return Promise.resolve();
      return new Promise((resolve) => waiting.push(resolve));
    },
  };
}
