import { LogPart, warn } from "@rosemarytiller/shared";
import { StatsD } from "hot-shots";

/** Names of all metrics; docs/METRICS.md describes each. */
export enum MetricName {
  RequestsReceived = "requests.received",
  RequestsAnswered = "requests.answered",
  RequestsRefused = "requests.refused",
  FirstTokenMs = "requests.first_token_ms",
  FirstTokenTarget = "requests.first_token_target",
  TotalMs = "requests.total_ms",
  AttemptsEnded = "attempts.ended",
  EventsDropped = "attempts.events_dropped",
  TokensDelivered = "tokens.delivered",
  TokensWasted = "tokens.wasted",
  PermitsGranted = "permits.granted",
  PermitsRefused = "permits.refused",
  QueueLength = "queue.length",
  UpstreamLimit = "upstream.limit",
  UpstreamLive = "upstream.live",
  DocumentRevision = "document.revision",
}

/** Tags of a measurement: values by name. */
export type MetricTags = Record<string, string>;

/** Sink for measurements. */
export interface Metrics {
  count(name: MetricName, value: number, tags?: MetricTags): void;
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  timing(name: MetricName, valueMs: number, tags?: MetricTags): void;
  close(): void;
}

/**
 * Creates a client that sends measurements to a StatsD server; without an
 * address it discards them. Send errors are logged as warnings.
 */
export function createMetrics(
  address: { host: string; port: number } | undefined,
): Metrics {
  if (!address) {
    return { count() {}, gauge() {}, timing() {}, close() {} };
  }
  const client = new StatsD({
    ...address,
    prefix: "rosemarytiller.",
    errorHandler: (error) => warn(LogPart.Admin, `statsd: ${error.message}`),
  });
  return {
    count: (name, value, tags) => client.increment(name, value, tags),
    gauge: (name, value, tags) => client.gauge(name, value, tags),
    timing: (name, valueMs, tags) => client.timing(name, valueMs, tags),
    close: () => client.close(),
  };
}
