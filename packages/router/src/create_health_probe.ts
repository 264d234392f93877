import type { Clock } from "@rosemarytiller/shared";
import type { ConnectionPool } from "./create_connection_pool.ts";
import type { UpstreamEntry } from "./ports.ts";
import { readIdleLimit, sendAttempt } from "./send_attempt.ts";

/**
 * Sends an upstream a health request; resolves with whether any response
 * arrived in time, whatever it says.
 */
export type HealthProbe = (
  entry: UpstreamEntry,
  path: string,
) => Promise<boolean>;

/** Timeout for the response's headers, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 400;

/** Creates the probe, which uses the pool's connections. */
export function createHealthProbe(
  options: { clock: Clock; pool: ConnectionPool },
): HealthProbe {
  const { clock, pool } = options;
  return (entry, path) =>
    new Promise((resolve) => {
      const connection = pool.acquire(entry, Infinity);
      if (!connection) {
        resolve(false);
        return;
      }
      let cancel = () => {};
      const running = sendAttempt(
        { connection, method: "GET", path, headers: [], body: undefined },
        {
          onSent() {},
          onHead({ headers }) {
            resolve(true);
            connection.idleLimitMs = readIdleLimit(headers) ??
              connection.idleLimitMs;
            return true;
          },
          onData() {},
          onEnd({ isComplete }) {
            cancel();
            resolve(isComplete);
            if (isComplete) pool.release(entry, connection);
            else pool.discard(entry, connection);
          },
        },
      );
      cancel = clock.after(RESPONSE_TIMEOUT_MS, () => running.abort());
    });
}
