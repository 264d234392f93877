import type { ClaimHolder } from "@rosemarytiller/claims";
import {
  handleMessage,
  type LinkIdentity,
  MessageKind,
  openLink,
} from "@rosemarytiller/link";
import { type FleetView, listLiveEntryVms } from "@rosemarytiller/platform";
import {
  type Clock,
  LogPart,
  repeat,
  Role,
  useLog,
} from "@rosemarytiller/shared";

/** Time between two rounds of requests for records, in milliseconds. */
export const CLAIM_SYNC_INTERVAL_MS = 1000;
/** Timeout for the records of one VM, in milliseconds. */
export const CLAIM_SYNC_TIMEOUT_MS = 5000;
/** Most VMs from which records are fetched at once. */
export const MAX_CONCURRENT_CLAIM_SYNCS = 16;

/** Identity, fleet view and clock of the broker that syncs. */
export interface SyncClaimsOptions {
  identity: LinkIdentity;
  view: FleetView;
  clock: Clock;
  /** Addresses by VM name that replace those of the VM list. */
  linkAddresses: Record<string, string>;
}

/**
 * Fetches the claim records that a holder lacks after its start or a change of
 * its VM list, until stopped. A VM that fails is retried in the next round.
 */
export function syncClaims(
  holder: ClaimHolder,
  options: SyncClaimsOptions,
): { stop(): void } {
  const { view, clock, linkAddresses } = options;
  const identity = { ...options.identity, role: Role.Claimer };
  /** VMs whose records are being fetched. */
  const inProgress = new Set<string>();

  async function fetchFrom(vm: string, address: string): Promise<void> {
    const wanted = holder.pendingSync();
    if (!wanted) return;
    const link = await openLink(address, identity, { clock });
    const cancel = clock.after(CLAIM_SYNC_TIMEOUT_MS, () => link.close());
    link.send(wanted.sync);
    await link.messages.observe((message) => {
      handleMessage(
        {
          [MessageKind.ClaimRecords](records) {
            holder.addRecords(records, vm);
            if (records.last) link.close();
          },
        },
        message,
        undefined,
      );
    });
    cancel();
  }

  async function syncWith(vm: string, address: string): Promise<void> {
    inProgress.add(vm);
    try {
      await fetchFrom(vm, address);
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Claims).debug(
        `Could not fetch claim records from ${vm}: ${reason}`,
      );
    }
    inProgress.delete(vm);
  }

  const cancel = repeat(clock, CLAIM_SYNC_INTERVAL_MS, () => {
    const missing = new Set(holder.pendingSync()?.vms);
    for (const { name, broker } of listLiveEntryVms(view.vms())) {
      if (!missing.has(name) || inProgress.has(name)) continue;
      if (inProgress.size >= MAX_CONCURRENT_CLAIM_SYNCS) return;
      void syncWith(name, linkAddresses[name] ?? broker);
    }
  });
  return { stop: cancel };
}
