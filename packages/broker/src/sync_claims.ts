import type { ClaimHolder } from "@rosemarytiller/claims";
import {
  handleMessage,
  type LinkIdentity,
  MessageKind,
  openLink,
} from "@rosemarytiller/link";
import { type FleetView, listEntryVms } from "@rosemarytiller/platform";
import {
  type Clock,
  LogPart,
  repeat,
  Role,
  useLog,
} from "@rosemarytiller/shared";

/** Time between two rounds of asking for records. */
export const CLAIM_SYNC_MS = 1000;
/** Longest time for the records of one VM to arrive. */
export const CLAIM_SYNC_TIMEOUT_MS = 5000;
/** Most VMs asked at once. */
export const MAX_CLAIM_SYNCS = 16;

/** What the sync of a broker needs. */
export interface SyncClaimsOptions {
  identity: LinkIdentity;
  view: FleetView;
  clock: Clock;
  /** Addresses by VM name that replace those of the VM list. */
  linkAddresses: Record<string, string>;
}

/** Fetches the claims that a started or changed holder must know. */
export function syncClaims(
  holder: ClaimHolder,
  options: SyncClaimsOptions,
): { stop(): void } {
  const { view, clock, linkAddresses } = options;
  const identity = { ...options.identity, role: Role.Claimer };
  const asking = new Set<string>();

  async function fetchFrom(vm: string, address: string): Promise<void> {
    const wanted = holder.wanted();
    if (!wanted) return;
    const link = await openLink(address, identity, { clock });
    const cancel = clock.after(CLAIM_SYNC_TIMEOUT_MS, () => link.close());
    link.send(wanted.sync);
    await link.messages.observe((message) => {
      handleMessage(
        {
          [MessageKind.ClaimRecords](records) {
            holder.take(records, vm);
            if (records.last) link.close();
          },
        },
        message,
        undefined,
      );
    });
    cancel();
  }

  async function ask(vm: string, address: string): Promise<void> {
    asking.add(vm);
    try {
      await fetchFrom(vm, address);
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Claims).debug(`No records of ${vm}: ${reason}`);
    }
    asking.delete(vm);
  }

  const cancel = repeat(clock, CLAIM_SYNC_MS, () => {
    const missing = new Set(holder.wanted()?.vms);
    for (const { name, broker } of listEntryVms(view.vms())) {
      if (!missing.has(name) || asking.has(name)) continue;
      if (asking.size >= MAX_CLAIM_SYNCS) return;
      void ask(name, linkAddresses[name] ?? broker);
    }
  });
  return { stop: cancel };
}
