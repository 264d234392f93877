import { request } from "undici";
import type { TimelineEvent } from "./create_timeline.ts";

/** Default time limit for reading the events of one process. */
export const COLLECT_TIMEOUT_MS = 3000;

/** Events of several processes, and the addresses that could not be read. */
export interface CollectedTimelines {
  events: TimelineEvent[];
  unreachable: { address: string; reason: string }[];
}

/**
 * Reads `/timeline` from admin addresses, each `host:port`. Processes that fail
 * or exceed `timeoutMs` are listed in `unreachable`.
 */
export async function collectTimelines(
  addresses: readonly string[],
  options: { timeoutMs?: number } = {},
): Promise<CollectedTimelines> {
  const { timeoutMs = COLLECT_TIMEOUT_MS } = options;
  const collected: CollectedTimelines = { events: [], unreachable: [] };
  await Promise.all(addresses.map(async (address) => {
    try {
      collected.events.push(...await readEvents(address, timeoutMs));
    } catch (error) {
      const reason = (error as Error).message;
      collected.unreachable.push({ address, reason });
    }
  }));
  return collected;
}

async function readEvents(
  address: string,
  timeoutMs: number,
): Promise<TimelineEvent[]> {
  const { statusCode, body } = await request(`http://${address}/timeline`, {
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (statusCode === 200) {
    return (await body.json() as { events: TimelineEvent[] }).events;
  }
  await body.dump();
  throw new Error(`the process responded with HTTP status ${statusCode}`);
}
