import { type CommandContext, ExitCode } from "./command.ts";
import { findProcesses } from "./find_processes.ts";
import { findRemarks, formatStatus } from "./format_status.ts";
import { readStatus } from "./read_status.ts";

/**
 * `tillerctl status`: shows processes, pools, limits and queues. Returns
 * `ExitCode.Failed` if a process did not answer or the platform gave no VM
 * list.
 */
export async function showStatus(context: CommandContext): Promise<ExitCode> {
  const { flags, print, warn } = context;
  const found = await findProcesses(context);
  const status = await readStatus(found.addresses);
  const remarks = findRemarks(status);
  if (found.remark) remarks.unshift(found.remark);
  if (flags.json) print(`${JSON.stringify({ ...status, remarks })}\n`);
  else if (status.processes.length > 0) print(formatStatus(status));
  if (!flags.json) { for (const remark of remarks) warn(`${remark}\n`); }
  const partial = status.unreachable.length > 0 || found.remark !== "";
  return partial ? ExitCode.Failed : ExitCode.Ok;
}
