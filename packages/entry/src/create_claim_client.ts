import {
  type Claim,
  claimKey,
  type ClaimTransport,
  listClaimHolders,
} from "@rosemarytiller/claims";
import {
  type ClaimMessage,
  type ClaimOutcomeMessage,
  type ClaimVoteMessage,
  handleMessage,
  type LinkIdentity,
  MessageKind,
} from "@rosemarytiller/link";
import { type FleetView, listLiveEntryVms } from "@rosemarytiller/platform";
import {
  type Clock,
  EventKind,
  Role,
  TillerError,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import { createHash } from "node:crypto";
import type { Call } from "./call.ts";
import { createOnDemandLinks } from "./create_on_demand_links.ts";

/** Claims the idempotency keys of calls at the VMs that hold claims. */
export interface ClaimClient {
  /**
   * Claims the call's key; `undefined` when the call needs no claim. Throws
   * `TillerError` when another request has used the key, or when the holders'
   * votes do not decide the claim.
   */
  claim(call: Call): Promise<Claim | undefined>;
  close(): void;
}

/** Dependencies of a claim client. */
export interface ClaimClientOptions {
  identity: LinkIdentity;
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** How long holders keep a claim, in milliseconds. */
  horizonMs: number;
  /** Broker addresses by VM name; they override those of the VM list. */
  linkAddresses: Record<string, string>;
}

/** Creates a claim client; it opens links to holders on demand. */
export function createClaimClient(options: ClaimClientOptions): ClaimClient {
  const { view, clock, timeline, linkAddresses, horizonMs } = options;
  const voteListeners = new Map<
    string,
    (vm: string, vote: ClaimVoteMessage) => void
  >();
  const links = createOnDemandLinks({
    identity: { ...options.identity, role: Role.Claimer },
    clock,
    onMessage(message, vm) {
      handleMessage(
        {
          [MessageKind.ClaimVote]: (vote) =>
            voteListeners.get(vote.id)?.(vm, vote),
        },
        message,
        undefined,
      );
    },
  });

  const transport: ClaimTransport = {
    send(vm: string, message: ClaimMessage | ClaimOutcomeMessage) {
      const published = view.vms().find((one) => one.name === vm);
      const address = linkAddresses[vm] ?? published?.broker;
      if (address) links.send(vm, { address, message });
    },
    listen(id, onVote) {
      voteListeners.set(id, onVote);
      return () => void voteListeners.delete(id);
    },
  };

  async function claim(call: Call): Promise<Claim | undefined> {
    const { idempotencyKey, requestClass, requestId } = call;
    if (requestClass.idempotent || idempotencyKey === undefined) {
      return undefined;
    }
    const { service } = call.document;
    const key = digest([call.client, service, call.target, idempotencyKey]);
    const fingerprint = digest([call.method, call.path, call.body]);
    const vms = listLiveEntryVms(view.vms()).map((vm) => vm.name);
    const holders = listClaimHolders(key, vms);
    const startedMs = clock.now();
    function record(result: string): void {
      const tookMs = Math.round(clock.now() - startedMs);
      timeline.record(EventKind.ClaimDecided, requestId, { result, tookMs });
    }
    try {
      const granted = await claimKey({ key, fingerprint, holders }, {
        clock,
        transport,
        horizonMs,
      });
      record("granted");
      return granted;
    } catch (error) {
      record(error instanceof TillerError ? error.kind : "failed");
      throw error;
    }
  }

  return { claim, close: links.close };
}

/**
 * SHA-256 over several parts. Each has a length prefix, so that moving the
 * border between two parts changes the hash.
 */
function digest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    hash.update(`${part.length}:`).update(part).update("\n");
  }
  return hash.digest("base64url");
}
