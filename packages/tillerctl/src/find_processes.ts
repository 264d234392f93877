import type { PublishedVm } from "@rosemarytiller/link";
import { createHttpPlatform, listEntryVms } from "@rosemarytiller/platform";
import { parseSettings, type Settings } from "@rosemarytiller/settings";
import { type CommandContext, UsageError } from "./command.ts";
import { readText } from "./read_text.ts";

/** Processes of the fleet that were found. */
export interface FoundProcesses {
  /** Admin addresses, each `host:port`. */
  addresses: string[];
  /** Why some processes may be missing; empty if none is. */
  remark: string;
}

/**
 * Finds the processes to query: those given by `--admin`, or those in the VM list
 * of the platform that the settings file names. If no platform replica answers,
 * only the processes of the VM in the settings file are found.
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
    return { addresses: await readAddresses(settings), remark: "" };
  } catch (error) {
    const reason = (error as Error).message;
    return {
      addresses: listOwnAddresses(settings),
      remark: `The platform gave no VM list (${reason}); ` +
        `only the processes of ${settings.vm} are queried.`,
    };
  }
}

/** Reads the VM list with the highest revision among all replicas. */
async function readAddresses(settings: Settings): Promise<string[]> {
  const { replicas } = createHttpPlatform(settings.platform);
  const answers = await Promise.allSettled(
    replicas.map((replica) => replica.readVms(0, 0)),
  );
  let highestRevision = -1;
  let vms: PublishedVm[] = [];
  for (const answer of answers) {
    if (answer.status === "rejected") continue;
    if (answer.value.revision <= highestRevision) continue;
    highestRevision = answer.value.revision;
    vms = answer.value.vms ?? [];
  }
  if (highestRevision < 0) throw (answers[0] as PromiseRejectedResult).reason;
  return listEntryVms(vms).flatMap((vm) => [vm.entryAdmin, vm.broker]);
}

function listOwnAddresses({ entryAdmin, broker }: Settings): string[] {
  return [entryAdmin, broker].map(({ host, port }) => `${host}:${port}`);
}
