import type { LoadReport } from "@rosemarytiller/policy";
import { type Clock, repeat } from "@rosemarytiller/shared";
import { Agent, request } from "undici";
import type { Pool } from "./create_pool.ts";

/** Time between two load reports of an upstream. */
export const LOAD_POLL_MS = 250;
/** Longest time for a load report to arrive. */
export const LOAD_TIMEOUT_MS = 1000;

/** Asks the upstreams of the led pools for their load until stopped. */
export function pollLoad(
  pools: () => Iterable<Pool>,
  options: { clock: Clock },
): { stop(): void } {
  const agent = new Agent({ connections: 1, pipelining: 1 });
  const asked = new Set<string>();
  async function poll(
    pool: Pool,
    upstream: { name: string; address: string },
  ): Promise<void> {
    if (asked.has(upstream.address)) return;
    asked.add(upstream.address);
    try {
      const { statusCode, body } = await request(
        new URL("/load", upstream.address),
        { dispatcher: agent, signal: AbortSignal.timeout(LOAD_TIMEOUT_MS) },
      );
      if (statusCode !== 200) await body.dump();
      else pool.report(upstream.name, await body.json() as LoadReport);
    } catch {
      // A missing report changes nothing: the calls themselves tell more.
    } finally {
      asked.delete(upstream.address);
    }
  }
  const cancel = repeat(options.clock, LOAD_POLL_MS, () => {
    for (const pool of pools()) {
      for (const upstream of pool.upstreams()) void poll(pool, upstream);
    }
  });
  return {
    stop() {
      cancel();
      void agent.destroy();
    },
  };
}
