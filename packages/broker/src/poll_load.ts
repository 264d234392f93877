import type { LoadReport } from "@rosemarytiller/policy";
import { type Clock, LogPart, repeat, useLog } from "@rosemarytiller/shared";
import { Agent, request } from "undici";
import type { Leadership, PolledLoad } from "./create_leadership.ts";
import type { Pool } from "./create_pool.ts";

/** Time between two load reports of an upstream, in milliseconds. */
export const LOAD_POLL_INTERVAL_MS = 250;
/**
 * Time between two load reports, in milliseconds, while a report would let this
 * broker grant more.
 */
export const FAST_LOAD_POLL_INTERVAL_MS = 50;
/** Timeout of a request for a load report, in milliseconds. */
export const LOAD_TIMEOUT_MS = 1000;

/** Clock of the polling and the leadership that receives the reports. */
export interface PollLoadOptions {
  clock: Clock;
  leadership: Leadership;
}

interface PolledUpstream {
  name: string;
  address: string;
  limit: number;
  /** Pools that share the upstream. */
  pools: Pool[];
}

/**
 * Polls `/load` of the pools' upstreams that report their load, until stopped.
 * An upstream of several pools is polled once for all of them.
 */
export function pollLoad(
  pools: () => Iterable<Pool>,
  options: PollLoadOptions,
): { stop(): void } {
  const { clock, leadership } = options;
  const agent = new Agent({ connections: 1, pipelining: 1 });
  /** Addresses with a poll in flight. */
  const inFlight = new Set<string>();
  /** Addresses whose last report could not be handled. */
  const unhandled = new Set<string>();
  /** Monotonic time of the last poll by address. */
  const polledMs = new Map<string, number>();

  async function poll(upstream: PolledUpstream): Promise<void> {
    const { address } = upstream;
    if (inFlight.has(address)) return;
    inFlight.add(address);
    polledMs.set(address, clock.now());
    const report = await fetchReport(address);
    inFlight.delete(address);
    if (!report) return;
    try {
      handleReport(upstream, report);
      unhandled.delete(address);
    } catch (error) {
      if (unhandled.has(address)) return;
      unhandled.add(address);
      useLog(LogPart.Broker).error(
        `Could not handle the load report of ${upstream.name}.`,
        error,
      );
    }
  }

  /** Fetches a report; undefined if the upstream sends none. */
  async function fetchReport(address: string): Promise<LoadReport | undefined> {
    try {
      const { statusCode, body } = await request(new URL("/load", address), {
        dispatcher: agent,
        signal: AbortSignal.timeout(LOAD_TIMEOUT_MS),
      });
      if (statusCode === 200) return await body.json() as LoadReport;
      await body.dump();
    } catch {
      // A failed poll is ignored: the outcomes of calls show failing upstreams.
    }
    return undefined;
  }

  function handleReport(upstream: PolledUpstream, report: LoadReport): void {
    const { name, address, limit, pools: [first] } = upstream;
    const load: PolledLoad = {
      ...report,
      requestedMs: polledMs.get(address)!,
      limit,
    };
    leadership.onLoadReport(first.name, name, load);
    // The age counts from the sending of the poll: the load may have been
    // measured right then, and the upstream may have crashed since.
    const ageMs = report.ageMs + clock.now() - load.requestedMs;
    for (const pool of upstream.pools) {
      pool.onLoadReport(name, { ...report, ageMs });
    }
  }

  function listUpstreams(): Iterable<PolledUpstream> {
    const byAddress = new Map<string, PolledUpstream>();
    for (const pool of pools()) {
      for (const { name, address, limit } of pool.upstreams()) {
        if (!leadership.reportsLoad(pool.name, name)) continue;
        const known = byAddress.get(address);
        if (known) known.pools.push(pool);
        else byAddress.set(address, { name, address, limit, pools: [pool] });
      }
    }
    return byAddress.values();
  }

  function isDue({ name, address, pools: [first] }: PolledUpstream): boolean {
    const sinceMs = clock.now() - (polledMs.get(address) ?? -Infinity);
    return sinceMs >= LOAD_POLL_INTERVAL_MS ||
      leadership.needsReport(first.name, name);
  }

  const cancel = repeat(clock, FAST_LOAD_POLL_INTERVAL_MS, () => {
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
