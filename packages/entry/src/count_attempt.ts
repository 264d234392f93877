import { MetricName, type Metrics } from "@rosemarytiller/metrics";
import type { AttemptResult } from "./attempt.ts";
import type { Call } from "./call.ts";

/**
 * Reports the metrics of a finished attempt: outcome, tokens, time to the first
 * token, and whether that met the class's `firstTokenMs` target.
 */
export function countAttempt(
  metrics: Metrics,
  call: Call,
  options: { result: AttemptResult; startedMs: number },
): void {
  const { result, startedMs } = options;
  const { outcome, firstTokenMs, tokens, error } = result;
  const tags = { class: call.requestClass.name };
  metrics.count(MetricName.AttemptsEnded, 1, { ...tags, outcome });
  const tokensName = error
    ? MetricName.TokensWasted
    : MetricName.TokensDelivered;
  if (tokens > 0) metrics.count(tokensName, tokens, tags);
  if (error || firstTokenMs < 0) return;
  // The caller waits from the arrival of the request, which may have queued or
  // been retried before this attempt started.
  const waitedMs = startedMs - call.arrivedMs + firstTokenMs;
  metrics.timing(MetricName.FirstTokenMs, waitedMs, tags);
  const met = waitedMs <= call.requestClass.firstTokenMs;
  metrics.count(MetricName.FirstTokenTarget, 1, { ...tags, met: String(met) });
}
