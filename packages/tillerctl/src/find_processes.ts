import type { PublishedVm } from "@rosemarytiller/link";
import { createHttpPlatform, listEntryVms } from "@rosemarytiller/platform";
import { parseSettings, type Settings } from "@rosemarytiller/settings";
import { type CommandCall, UsageError } from "./command.ts";
import { readText } from "./read_text.ts";

/** Admin addresses of the fleet, each `host:port`. */
export interface FoundProcesses {
  addresses: string[];
  /** Why some processes may be missing; empty if none is. */
  remark: string;
}

/**
 * Finds the processes to ask: those named by `--admin`, or those of the VM
 * list of the platform that a settings file names.
 */
export async function findProcesses(
  { flags }: CommandCall,
): Promise<FoundProcesses> {
  const named = (flags.admin ?? [])
    .flatMap((text) => text.split(","))
    .filter((address) => address !== "");
  if (named.length > 0) return { addresses: named, remark: "" };
  const file = flags.settings?.[0];
  if (!file) {
    throw new UsageError("Name processes by --admin or a file by --settings.");
  }
  const settings = parseSettings(await readText(file), file);
  try {
    return { addresses: await readAddresses(settings), remark: "" };
  } catch (error) {
    const reason = (error as Error).message;
    return {
      addresses: ownAddresses(settings),
      remark: `The platform gave no VM list (${reason}); ` +
        `only the processes of ${settings.vm} are asked.`,
    };
  }
}

/** Takes the newest list that a replica shows. */
async function readAddresses(settings: Settings): Promise<string[]> {
  const { replicas } = createHttpPlatform(settings.platform);
  const answers = await Promise.allSettled(
    replicas.map((replica) => replica.readVms(0, 0)),
  );
  let newest = -1;
  let vms: PublishedVm[] = [];
  for (const answer of answers) {
    if (answer.status === "rejected") continue;
    if (answer.value.revision <= newest) continue;
    newest = answer.value.revision;
    vms = answer.value.vms ?? [];
  }
  if (newest < 0) throw (answers[0] as PromiseRejectedResult).reason;
  return listEntryVms(vms).flatMap((vm) => [vm.entryAdmin, vm.broker]);
}

function ownAddresses({ entryAdmin, broker }: Settings): string[] {
  return [entryAdmin, broker].map(({ host, port }) => `${host}:${port}`);
}
