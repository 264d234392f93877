import type { ProcessStatus } from "@rosemarytiller/admin";
import { request } from "undici";

/** Timeout of a status request to a process, in milliseconds. */
export const STATUS_TIMEOUT_MS = 3000;

/** Status of the processes that answered, and errors of the others. */
export interface FleetStatus {
  processes: ProcessStatus[];
  unreachable: { address: string; reason: string }[];
}

/**
 * Reads `/status` from admin addresses, each `host:port`. Processes that fail
 * to answer are listed as unreachable; the others are sorted by name.
 */
export async function readStatus(
  addresses: readonly string[],
): Promise<FleetStatus> {
  const status: FleetStatus = { processes: [], unreachable: [] };
  await Promise.all(addresses.map(async (address) => {
    try {
      status.processes.push(await readProcessStatus(address));
    } catch (error) {
      const reason = (error as Error).message;
      status.unreachable.push({ address, reason });
    }
  }));
  const collator = new Intl.Collator("en", { numeric: true });
  status.processes.sort((left, right) =>
    collator.compare(left.process, right.process)
  );
  return status;
}

async function readProcessStatus(address: string): Promise<ProcessStatus> {
  const { statusCode, body } = await request(`http://${address}/status`, {
    signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
  });
  if (statusCode === 200) return await body.json() as ProcessStatus;
  await body.dump();
  throw new Error(`the process responded with HTTP status ${statusCode}`);
}
