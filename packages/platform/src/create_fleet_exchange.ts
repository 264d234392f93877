import {
  type DigestMessage,
  type Link,
  type MessageHandlers,
  MessageKind,
} from "@rosemarytiller/link";
import { type Clock, repeat, Role } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";

/** Interval at which a broker sends its digest to some of its links. */
export const ANTI_ENTROPY_INTERVAL_MS = 1000;
/** Links that get a digest in each interval, chosen in turn. */
export const ANTI_ENTROPY_FANOUT = 2;
/** Time after which a missing item may be fetched again, from any link. */
export const FETCH_RETRY_MS = 500;
/** Minimum time between two digests in reply to those of one link. */
export const DIGEST_REPLY_INTERVAL_MS = 500;

/**
 * Synchronizes the fleet view of this process with those of its peers by
 * anti-entropy: processes exchange digests and fetch what they lack.
 */
export interface FleetExchange {
  /** Handlers of the exchange's messages, to be called for every link. */
  handlers: MessageHandlers<Link>;
  /** Adds a new link and sends it a digest. */
  addLink(link: Link): void;
  /** Removes a link that has closed. */
  removeLink(link: Link): void;
  /**
   * Sets the VMs whose digests a starting broker compares with its own data. It
   * is ready once it has all items in the digests of these VMs (at once if
   * there are none), or all in that of one ready peer, or after
   * `PEER_SYNC_TIMEOUT_MS`.
   */
  expectPeers(vms: readonly string[]): void;
  /** Stops the regular digests. */
  stop(): void;
}

/** Options of `createFleetExchange`. */
export interface FleetExchangeOptions {
  clock: Clock;
  /** Role of this process; only brokers send changes on to their links. */
  role: Role;
}

/** Creates an exchange without links; a broker also starts regular digests. */
export function createFleetExchange(
  view: FleetView,
  options: FleetExchangeOptions,
): FleetExchange {
  const { clock, role } = options;
  const links = new Set<Link>();
  const digests = new Map<Link, DigestMessage>();
  const fetchedAtMs = new Map<string, number>();
  const repliedAtMs = new Map<Link, number>();
  let expectedVms: readonly string[] | undefined;
  let nextLink = 0;

  /**
   * Entries get no digest until this process is ready, so that none starts on
   * data that was not compared with peers.
   */
  function canSendDigest(link: Link): boolean {
    return link.role === Role.Broker || view.isReady();
  }

  function sendDigest(link: Link): void {
    if (canSendDigest(link)) link.send(view.digest());
  }

  function broadcastDigest(): void {
    for (const link of links) sendDigest(link);
  }

  /**
   * Records a fetch of an item and returns true, or returns false if one was
   * sent less than `FETCH_RETRY_MS` ago.
   */
  function tryStartFetch(item: string): boolean {
    const nowMs = clock.now();
    const lastFetchMs = fetchedAtMs.get(item);
    if (lastFetchMs !== undefined && nowMs - lastFetchMs < FETCH_RETRY_MS) {
      return false;
    }
    for (const [oldItem, atMs] of fetchedAtMs) {
      if (nowMs - atMs >= FETCH_RETRY_MS) fetchedAtMs.delete(oldItem);
    }
    fetchedAtMs.set(item, nowMs);
    return true;
  }

  /**
   * Fetches the items that are newer in a digest, except those fetched less
   * than `FETCH_RETRY_MS` ago on any link.
   */
  function fetchMissing(digest: DigestMessage, link: Link): void {
    const { keys, list } = view.findMissing(digest);
    const wanted = keys.filter((key) =>
      tryStartFetch(`${key} ${digest.documents[key].join(" ")}`)
    );
    const needsList = list && tryStartFetch(`list ${digest.listRevision}`);
    if (wanted.length === 0 && !needsList) return;
    link.send({ kind: MessageKind.Fetch, keys: wanted, list: needsList });
  }

  function replyIfAhead(digest: DigestMessage, link: Link): void {
    if (!view.isAhead(digest)) return;
    const nowMs = clock.now();
    const lastReplyMs = repliedAtMs.get(link) ?? -Infinity;
    if (nowMs - lastReplyMs < DIGEST_REPLY_INTERVAL_MS) return;
    repliedAtMs.set(link, nowMs);
    sendDigest(link);
  }

  function isUpToDateWith(digest: DigestMessage): boolean {
    const { keys, list } = view.findMissing(digest);
    return keys.length === 0 && !list;
  }

  /**
   * Marks the view as synced if it has all that one ready peer has, or all that
   * each of the expected VMs has sent.
   */
  function markSyncedIfComplete(): void {
    if (view.isReady() || !view.hasData()) return;
    const comparedVms = new Set<string>();
    for (const [link, digest] of digests) {
      if (!isUpToDateWith(digest)) continue;
      if (digest.settled) return view.markSynced();
      comparedVms.add(link.vm);
    }
    if (expectedVms?.every((vm) => comparedVms.has(vm))) view.markSynced();
  }

  const handlers: MessageHandlers<Link> = {
    [MessageKind.Digest](digest, link) {
      digests.set(link, digest);
      view.recordPlatformContact(digest.platformAgeMs);
      if (digest.listRevision === view.listRevision()) view.confirmVms();
      fetchMissing(digest, link);
      replyIfAhead(digest, link);
      markSyncedIfComplete();
    },
    [MessageKind.Fetch](fetch, link) {
      const documents = [];
      for (const key of fetch.keys) {
        const found = view.documents().get(key);
        if (!found) continue;
        const { revision, text } = found;
        documents.push({ key, revision, text });
      }
      if (documents.length > 0) {
        link.send({ kind: MessageKind.Documents, documents });
      }
      if (!fetch.list) return;
      const vms = [...view.vms()];
      const revision = view.listRevision();
      link.send({ kind: MessageKind.VmList, revision, vms });
    },
    [MessageKind.Documents](message, link) {
      for (const published of message.documents) {
        view.offerDocument(published, link.vm);
      }
      markSyncedIfComplete();
    },
    [MessageKind.VmList](message) {
      view.offerVms(message);
      markSyncedIfComplete();
    },
  };

  function sendDigestsInTurn(): void {
    const all = [...links];
    for (let count = 0; count < ANTI_ENTROPY_FANOUT; count++) {
      if (count >= all.length) return;
      sendDigest(all[nextLink++ % all.length]);
    }
  }

  let cancel = () => {};
  if (role === Role.Broker) {
    void view.changes.observe(broadcastDigest);
    cancel = repeat(clock, ANTI_ENTROPY_INTERVAL_MS, sendDigestsInTurn);
  }
  return {
    handlers,
    addLink(link) {
      links.add(link);
      sendDigest(link);
    },
    removeLink(link) {
      links.delete(link);
      digests.delete(link);
      repliedAtMs.delete(link);
    },
    expectPeers(vms) {
      expectedVms = vms;
      markSyncedIfComplete();
    },
    stop: () => cancel(),
  };
}
