import type { ProcessStatus } from "@rosemarytiller/admin";
import { request } from "undici";

/** Longest time for a process to tell its status. */
export const STATUS_TIMEOUT_MS = 3000;

/** Status of the processes that answered, and those that did not. */
export interface FleetStatus {
  processes: ProcessStatus[];
  unreachable: { address: string; reason: string }[];
}

/** Reads `/status` from admin addresses, each `host:port`. */
export async function readStatus(
  addresses: readonly string[],
): Promise<FleetStatus> {
  const status: FleetStatus = { processes: [], unreachable: [] };
  await Promise.all(addresses.map(async (address) => {
    try {
      status.processes.push(await readOne(address));
    } catch (error) {
      const reason = (error as Error).message;
      status.unreachable.push({ address, reason });
    }
  }));
  const order = new Intl.Collator("en", { numeric: true });
  status.processes.sort((left, right) =>
    order.compare(left.process, right.process)
  );
  return status;
}

async function readOne(address: string): Promise<ProcessStatus> {
  const { statusCode, body } = await request(`http://${address}/status`, {
    signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
  });
  if (statusCode === 200) return await body.json() as ProcessStatus;
  await body.dump();
  throw new Error(`the process answered ${statusCode}`);
}
