import type { Execution } from "./soak_attempt.ts";

/** A request of a caller for a service. */
export interface ServiceRequest {
  service: string;
  startedMs: number;
  /** Its arrivals at upstreams. */
  executions: readonly Execution[];
}

/** Bound on arrivals at upstreams beyond the first of each request. */
export interface RetryBound {
  /** Retries allowed for each request. */
  ratio: number;
  /** Further retries allowed in a window. */
  slack: number;
  windowMs: number;
}

/** Returns a line for each service whose retries exceeded the bound. */
export function checkRetryBound(
  requests: readonly ServiceRequest[],
  bound: RetryBound,
): string[] {
  const { ratio, slack, windowMs } = bound;
  const lines: string[] = [];
  for (const service of new Set(requests.map(({ service }) => service))) {
    const own = requests.filter((request) => request.service === service);
    const starts = own.map(({ startedMs }) => startedMs);
    const retries = own.flatMap(({ executions }) => executions.slice(1))
      .map(({ arrivedMs }) => arrivedMs);
    const countIn = (times: number[], endMs: number) =>
      times.filter((ms) => ms > endMs - windowMs && ms <= endMs).length;
    for (const endMs of retries) {
      const seen = countIn(retries, endMs);
      // The window itself, half a window before and the one before count.
      const sent = Math.max(
        ...[0, 0.5, 1].map((share) =>
          countIn(starts, endMs - share * windowMs)
        ),
      );
      if (seen <= ratio * sent + slack) continue;
      lines.push(`${service}: ${seen} retries for ${sent} requests`);
      break;
    }
  }
  return lines;
}
