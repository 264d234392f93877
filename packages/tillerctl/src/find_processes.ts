import type { PublishedVm } from "@rosemarytiller/link";
import { createHttpPlatform, listLiveEntryVms } from "@rosemarytiller/platform";
import { parseSettings, type Settings } from "@rosemarytiller/settings";
import { type CommandContext, UsageError } from "./command.ts";
import { readText } from "./read_text.ts";

/** Processes of the fleet that were found. */
export interface FoundProcesses {
  /** Admin addresses, each `host:port`. */
  addresses: string[];
  /** Why some processes may be missing; empty if none is missing. */
  remark: string;
}

/**
 * Finds the processes to query: those given by `--admin`, or those in the VM
 * list of the platform that the settings file names. If no platform replica
 * answers, only the processes of the VM in the settings file are found.
 */
export async function findProcesses(
  { flags }: CommandContext,
): Promise<FoundProcesses> {
  const named = (flags.admin ?? [])
    .flatMap((text) => text.split(","))
    .filter((address) => address !== "");
  if (named.length > 0) return { addresses: named, remark: "" };
  const file = flags.settings?.[0];
  if (!file) {
    throw new UsageError(
      "Name processes with --admin, or a settings file with --settings.",
    );
  }
  const settings = parseSettings(await readText(file), file);
  try {
    return { addresses: await readVmListAddresses(settings), remark: "" };
  } catch (error) {
    const reason = (error as Error).message;
    return {
      addresses: listOwnAddresses(settings),
      remark: `The platform gave no VM list (${reason}); ` +
        `only the processes of ${settings.vm} are queried.`,
    };
  }
}

/**
 * Reads the VM list with the highest revision among the replicas that answer;
 * rejects with the first replica's error if none does.
 */
async function readVmListAddresses(settings: Settings): Promise<string[]> {
  const { replicas } = createHttpPlatform(settings.platform);
  const results = await Promise.allSettled(
    replicas.map((replica) => replica.readVms(0, 0)),
  );
  let highestRevision = -1;
  let vms: PublishedVm[] = [];
  for (const result of results) {
    if (result.status === "rejected") continue;
    if (result.value.revision <= highestRevision) continue;
    highestRevision = result.value.revision;
    vms = result.value.vms ?? [];
  }
  if (highestRevision < 0) throw (results[0] as PromiseRejectedResult).reason;
  return listLiveEntryVms(vms).flatMap((vm) => [vm.entryAdmin, vm.broker]);
}

function listOwnAddresses({ entryAdmin, broker }: Settings): string[] {
  return [entryAdmin, broker].map(({ host, port }) => `${host}:${port}`);
}
