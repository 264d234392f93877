import type { LoadReport } from "@rosemarytiller/policy";
import { type Clock, repeat } from "@rosemarytiller/shared";
import { Agent, request } from "undici";
import type { AskedLoad, Leadership } from "./create_leadership.ts";
import type { Pool } from "./create_pool.ts";

/** Time between two load reports of an upstream. */
export const LOAD_POLL_MS = 250;
/** Time between two load reports while grants wait for one. */
export const LOAD_POLL_FAST_MS = 50;
/** Longest time for a load report to arrive. */
export const LOAD_TIMEOUT_MS = 1000;

/** What polling needs. */
export interface PollLoadOptions {
  clock: Clock;
  leadership: Leadership;
}

interface PolledUpstream {
  name: string;
  address: string;
  limit: number;
  /** Pools that it serves. */
  pools: Pool[];
}

/** Asks the upstreams of the led pools for their load until stopped. */
export function pollLoad(
  pools: () => Iterable<Pool>,
  options: PollLoadOptions,
): { stop(): void } {
  const { clock, leadership } = options;
  const agent = new Agent({ connections: 1, pipelining: 1 });
  const asked = new Set<string>();
  const askedMs = new Map<string, number>();

  async function poll(upstream: PolledUpstream): Promise<void> {
    const { address } = upstream;
    if (asked.has(address)) return;
    asked.add(address);
    askedMs.set(address, clock.now());
    try {
      const { statusCode, body } = await request(new URL("/load", address), {
        dispatcher: agent,
        signal: AbortSignal.timeout(LOAD_TIMEOUT_MS),
      });
      if (statusCode !== 200) await body.dump();
      else take(upstream, await body.json() as LoadReport);
    } catch {
      // A missing report changes nothing: the calls themselves tell more.
    } finally {
      asked.delete(address);
    }
  }

  function take(upstream: PolledUpstream, report: LoadReport): void {
    const { name, address, limit, pools: [first] } = upstream;
    const load: AskedLoad = {
      ...report,
      askedMs: askedMs.get(address)!,
      limit,
    };
    leadership.onLoad(first.name, name, load);
    // The numbers may be as old as the question: a crash may lie between.
    const ageMs = report.ageMs + clock.now() - load.askedMs;
    for (const pool of upstream.pools) pool.report(name, { ...report, ageMs });
  }

  function listUpstreams(): Iterable<PolledUpstream> {
    const found = new Map<string, PolledUpstream>();
    for (const pool of pools()) {
      for (const { name, address, limit } of pool.upstreams()) {
        if (!leadership.reportsLoad(pool.name, name)) continue;
        const known = found.get(address);
        if (known) known.pools.push(pool);
        else found.set(address, { name, address, limit, pools: [pool] });
      }
    }
    return found.values();
  }

  function isDue({ name, address, pools: [first] }: PolledUpstream): boolean {
    const sinceMs = clock.now() - (askedMs.get(address) ?? -Infinity);
    return sinceMs >= LOAD_POLL_MS || leadership.needsReport(first.name, name);
  }

  const cancel = repeat(clock, LOAD_POLL_FAST_MS, () => {
    for (const upstream of listUpstreams()) {
      if (isDue(upstream)) void poll(upstream);
    }
  });
  return {
    stop() {
      cancel();
      void agent.destroy();
    },
  };
}
