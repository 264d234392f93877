import { Packr } from "msgpackr";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { SharedFact, SharedFacts } from "./create_shared_facts.ts";
import { readFacts } from "./peer_messages.ts";
import { pullFromPeer } from "./pull_from_peer.ts";

/** Path at which a VM serves its facts to its peers. */
export const FACTS_PATH = "/facts";

const packr = new Packr({ useRecords: false });

/** Creates the handler of peers' pulls of all facts, as MessagePack. */
export function createFactsHandler(
  facts: Pick<SharedFacts, "list">,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  return (_incoming, response) => void response.end(packr.pack(facts.list()));
}

/**
 * Requests all facts of a peer. Rejects if the peer is unreachable, exceeds the
 * timeout or sends an invalid body.
 */
export function pullFacts(
  peer: { host: string; port: number },
): Promise<SharedFact[]> {
  return pullFromPeer(peer, { path: FACTS_PATH, read: readFacts });
}
