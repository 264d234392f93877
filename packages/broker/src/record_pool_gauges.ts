import { MetricName, type Metrics } from "@rosemarytiller/metrics";
import type { Pool } from "./create_pool.ts";

/**
 * Records the queue length of each class and the limit and in-flight calls of
 * each upstream as gauges.
 */
export function recordPoolGauges(
  metrics: Metrics,
  pools: Iterable<Pool>,
): void {
  for (const pool of pools) {
    const { pool: name, queue, upstreams } = pool.status();
    for (const [className, length] of Object.entries(queue)) {
      metrics.gauge(MetricName.QueueLength, length, {
        pool: name,
        class: className,
      });
    }
    for (const { name: upstream, limit, live } of upstreams) {
      const tags = { pool: name, upstream };
      metrics.gauge(MetricName.UpstreamLimit, limit, tags);
      metrics.gauge(MetricName.UpstreamLive, live, tags);
    }
  }
}
