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
import { type FleetView, listEntryVms } from "@rosemarytiller/platform";
import {
  type Clock,
  EventKind,
  Role,
  TillerError,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import { createHash } from "node:crypto";
import type { Call } from "./call.ts";
import { createIdleLinks } from "./create_idle_links.ts";

/** Claims the idempotency keys of calls. */
export interface ClaimClient {
  /** Claims the call's key; `undefined` when the call needs no claim. */
  claim(call: Call): Promise<Claim | undefined>;
  close(): void;
}

/** What a claim client needs. */
export interface ClaimClientOptions {
  identity: LinkIdentity;
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** How long holders keep a claim, in milliseconds. */
  horizonMs: number;
  /** Addresses by VM name that replace those of the VM list. */
  linkAddresses: Record<string, string>;
}

/** Creates the claim client of an entry. */
export function createClaimClient(options: ClaimClientOptions): ClaimClient {
  const { view, clock, timeline, linkAddresses, horizonMs } = options;
  const listeners = new Map<
    string,
    (vm: string, vote: ClaimVoteMessage) => void
  >();
  const links = createIdleLinks({
    identity: { ...options.identity, role: Role.Claimer },
    clock,
    onMessage(message, vm) {
      handleMessage(
        {
          [MessageKind.ClaimVote]: (vote) => listeners.get(vote.id)?.(vm, vote),
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
      listeners.set(id, onVote);
      return () => void listeners.delete(id);
    },
  };

  async function claim(call: Call): Promise<Claim | undefined> {
    const { idempotencyKey, requestClass, request } = call;
    if (requestClass.idempotent || idempotencyKey === undefined) {
      return undefined;
    }
    const { service } = call.document;
    const key = digest([call.client, service, call.target, idempotencyKey]);
    const fingerprint = digest([call.method, call.path, call.body]);
    const vms = listEntryVms(view.vms()).map((vm) => vm.name);
    const holders = listClaimHolders(key, vms);
    const askedMs = clock.now();
    function record(result: string): void {
      const tookMs = Math.round(clock.now() - askedMs);
      timeline.record(EventKind.ClaimDecided, request, { result, tookMs });
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

/** SHA-256 over parts whose borders cannot be moved. */
function digest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    hash.update(`${part.length}:`).update(part).update("\n");
  }
  return hash.digest("base64url");
}
