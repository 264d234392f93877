import {
  type DigestMessage,
  type Link,
  type MessageHandlers,
  MessageKind,
} from "@rosemarytiller/link";
import { type Clock, repeat, Role } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";

/** Time between two digests to links chosen in turn. */
export const ANTI_ENTROPY_MS = 1000;
/** Links that get a digest each time. */
export const ANTI_ENTROPY_LINKS = 2;
/** Time after which a document is asked of another link. */
export const FETCH_RETRY_MS = 500;
/** Shortest time between two answers to digests of one link. */
export const REPLY_INTERVAL_MS = 500;

/** Brings the view of this process and those of its links up to date. */
export interface FleetExchange {
  handlers: MessageHandlers<Link>;
  /** Greets a new link. */
  open(link: Link): void;
  /** Forgets a link. */
  close(link: Link): void;
  /** Names the VMs whose digests a starting broker should hear first. */
  expectPeers(vms: readonly string[]): void;
  stop(): void;
}

/** What an exchange needs. */
export interface FleetExchangeOptions {
  clock: Clock;
  /** Role of this process; only brokers hand changes on. */
  role: Role;
}

/** Creates the exchange of a process. */
export function createFleetExchange(
  view: FleetView,
  options: FleetExchangeOptions,
): FleetExchange {
  const { clock, role } = options;
  const links = new Set<Link>();
  const digests = new Map<Link, DigestMessage>();
  const askedAtMs = new Map<string, number>();
  const repliedAtMs = new Map<Link, number>();
  let expected: readonly string[] | undefined;
  let turn = 0;

  /** An entry must not start on what a broker has not yet compared. */
  function mayTell(link: Link): boolean {
    return link.role === Role.Broker || view.isReady();
  }

  function tell(link: Link): void {
    if (mayTell(link)) link.send(view.digest());
  }

  function tellAll(): void {
    for (const link of links) tell(link);
  }

  /** Whether something may be asked for, or an answer is still awaited. */
  function takeTurn(item: string): boolean {
    const nowMs = clock.now();
    const askedMs = askedAtMs.get(item);
    if (askedMs !== undefined && nowMs - askedMs < FETCH_RETRY_MS) return false;
    for (const [old, atMs] of askedAtMs) {
      if (nowMs - atMs >= FETCH_RETRY_MS) askedAtMs.delete(old);
    }
    askedAtMs.set(item, nowMs);
    return true;
  }

  /** Asks for what a digest has and no other link was asked for just now. */
  function fetchMissing(digest: DigestMessage, link: Link): void {
    const { keys, list } = view.missing(digest);
    const wanted = keys.filter((key) =>
      takeTurn(`${key} ${digest.documents[key].join(" ")}`)
    );
    const wantsList = list && takeTurn(`list ${digest.listRevision}`);
    if (wanted.length === 0 && !wantsList) return;
    link.send({ kind: MessageKind.Fetch, keys: wanted, list: wantsList });
  }

  function replyIfAhead(digest: DigestMessage, link: Link): void {
    if (!view.isAhead(digest)) return;
    const nowMs = clock.now();
    const repliedMs = repliedAtMs.get(link) ?? -Infinity;
    if (nowMs - repliedMs < REPLY_INTERVAL_MS) return;
    repliedAtMs.set(link, nowMs);
    tell(link);
  }

  function hasAllOf(digest: DigestMessage): boolean {
    const { keys, list } = view.missing(digest);
    return keys.length === 0 && !list;
  }

  /** A process may serve once it has what its peers have. */
  function settleIfCompared(): void {
    if (view.isReady() || !view.hasData()) return;
    const heard = new Set<string>();
    for (const [link, digest] of digests) {
      if (!hasAllOf(digest)) continue;
      if (digest.settled) return view.settle();
      heard.add(link.vm);
    }
    if (expected?.every((vm) => heard.has(vm))) view.settle();
  }

  const handlers: MessageHandlers<Link> = {
    [MessageKind.Digest](digest, link) {
      digests.set(link, digest);
      view.notePlatform(digest.platformAgeMs);
      if (digest.listRevision === view.listRevision()) view.confirmVms();
      fetchMissing(digest, link);
      replyIfAhead(digest, link);
      settleIfCompared();
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
      settleIfCompared();
    },
    [MessageKind.VmList](message) {
      view.offerVms(message);
      settleIfCompared();
    },
  };

  function tellInTurn(): void {
    const all = [...links];
    for (let count = 0; count < ANTI_ENTROPY_LINKS; count++) {
      if (count >= all.length) return;
      tell(all[turn++ % all.length]);
    }
  }

  let cancel = () => {};
  if (role === Role.Broker) {
    void view.changes.observe(tellAll);
    cancel = repeat(clock, ANTI_ENTROPY_MS, tellInTurn);
  }
  return {
    handlers,
    open(link) {
      links.add(link);
      tell(link);
    },
    close(link) {
      links.delete(link);
      digests.delete(link);
      repliedAtMs.delete(link);
    },
    expectPeers(vms) {
      expected = vms;
      settleIfCompared();
    },
    stop: () => cancel(),
  };
}
