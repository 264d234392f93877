import { listLeases, parsePool, resolveLease } from "@rosemarytiller/document";
import {
  createBackerLedger,
  createListHistory,
  LEASE_MS,
  LINGER_MS,
  outlast,
} from "@rosemarytiller/lease";
import {
  type BeatMessage,
  type Link,
  type LivePermit,
  type MessageHandlers,
  MessageKind,
  type PublishedVm,
  type ReleaseMessage,
} from "@rosemarytiller/link";
import {
  FleetChangeKind,
  type FleetView,
  rankLeaders,
  selectMembers,
} from "@rosemarytiller/platform";
import { type Clock, EventKind, repeat } from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";

/** Time after which a silent broker that has no traffic counts as gone. */
export const IDLE_SILENCE_MS = 5000;
/** Longest time for a new link to bring its first beat. */
export const FIRST_BEAT_MS = 500;
/** How long a higher-ranked broker must be well before it is preferred. */
export const PREFER_AFTER_MS = 3000;
/** Time between two looks at leases and links. */
export const BACKING_CHECK_MS = 50;

/** Which brokers an entry backs and asks. */
export interface Backing {
  handlers: MessageHandlers<Link>;
  open(link: Link): void;
  close(link: Link): void;
  /** Link to the broker that a pool's permits are to be asked of. */
  leaderLink(pool: string): Link | undefined;
  /** Whether a link's broker still answers. */
  isAlive(link: Link): boolean;
  /** Whether a grant that came by a link may start a call. */
  mayUse(pool: string, link: Link): boolean;
  /** Time for a message, larger than any before. */
  stamp(): number;
  /** Whether this entry can back a leader by now. */
  isReady(): boolean;
  stop(): void;
}

/** What the backing of an entry needs. */
export interface BackingOptions {
  vm: string;
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** Opens and keeps the link to a VM's broker. */
  linkTo(vm: PublishedVm): Link | undefined;
  livePermits(): Iterable<LivePermit>;
  /** Tells that asks for pools may have to go to another broker. */
  onMoved(): void;
}

interface Peer {
  link: Link;
  /** VM and process start of the broker. */
  leader: string;
  openedMs: number;
  heardMs: number;
  /** Stamp of its newest beat; 0 before the first. */
  stamp: number;
  idle: boolean;
  stopping: boolean;
  wants: ReadonlySet<string>;
  leads: ReadonlySet<string>;
  /** Terms that were told on this link. */
  told: Map<string, number>;
}

/** Creates the backing of an entry that has just started. */
export function createBacking(options: BackingOptions): Backing {
  const { vm, view, clock, timeline } = options;
  const ledger = createBackerLedger({ clock });
  const history = createListHistory<readonly PublishedVm[]>({
    clock,
    keepMs: 0,
  });
  const startedMs = clock.now();
  const peers = new Map<string, Peer>();
  const ranks = new Map<string, PublishedVm[]>();
  const betterSinceMs = new Map<string, number>();
  const readyMs = ledger.freeAtMs("");

  function leaseOf(pool: string): string {
    return resolveLease(view.documentOf(parsePool(pool).service), pool);
  }

  function rankOf(lease: string): PublishedVm[] {
    let rank = ranks.get(lease);
    if (!rank) {
      const { dataCentre } = parsePool(lease);
      rank = rankLeaders(lease, { dataCentre, vms: view.vms() });
      ranks.set(lease, rank);
    }
    return rank;
  }

  function isMember(lease: string): boolean {
    const { dataCentre } = parsePool(lease);
    return selectMembers(view.vms(), dataCentre).includes(vm);
  }

  function isPeerAlive(peer: Peer | undefined): peer is Peer {
    if (!peer || peer.stopping || peer.stamp === 0) return false;
    const silenceMs = peer.idle ? IDLE_SILENCE_MS : outlast(LEASE_MS);
    return clock.now() - peer.heardMs < silenceMs;
  }

  function backedPeer(lease: string): Peer | undefined {
    const leader = ledger.leaderOf(lease);
    for (const peer of peers.values()) {
      if (peer.leader === leader) return peer;
    }
    return undefined;
  }

  /** Live brokers of a lease's rank, those that lead it first. */
  function aliveFor(lease: string): Peer[] {
    const alive: Peer[] = [];
    for (const { name } of rankOf(lease)) {
      const peer = peers.get(name);
      if (isPeerAlive(peer)) alive.push(peer);
    }
    const leading = alive.filter((peer) => peer.leads.has(lease));
    return [...leading, ...alive.filter((peer) => !peer.leads.has(lease))];
  }

  /** Opens links down the rank as far as the first broker that is well. */
  function linkDown(lease: string): void {
    for (const published of rankOf(lease)) {
      const link = options.linkTo(published);
      const peer = peers.get(published.name);
      if (link && isPeerAlive(peer)) return;
      const opening = link && peer && !peer.stopping && peer.stamp === 0 &&
        clock.now() - peer.openedMs < FIRST_BEAT_MS;
      if (opening) return;
    }
  }

  function consider(lease: string): void {
    if (isPeerAlive(backedPeer(lease)) || !isMember(lease)) return;
    for (const peer of aliveFor(lease)) {
      if (!peer.wants.has(lease)) continue;
      if (ledger.back(lease, peer.leader) === undefined) return;
      const { vm: leader } = peer.link;
      timeline.record(EventKind.LeaseGranted, "", { lease, leader });
      sendBack(peer);
      options.onMoved();
      return;
    }
  }

  function sendBack(peer: Peer): void {
    const terms = ledger.termsOf(peer.leader);
    ledger.renew(peer.leader);
    const fresh = terms.filter(([lease, term]) =>
      peer.told.get(lease) !== term
    );
    const changed = fresh.length > 0 || terms.length !== peer.told.size;
    peer.told = new Map(terms);
    const prefers = terms.map(([lease]) => lease).filter(prefersOther);
    peer.link.send({
      kind: MessageKind.Back,
      echo: peer.stamp,
      stamp: ledger.stamp(),
      listRevision: view.listRevision(),
      listAgeMs: Math.floor(history.ageMs()),
      vouches: clock.now() - startedMs >= outlast(LINGER_MS),
      ...changed ? { terms, live: liveOf(fresh) } : {},
      ...prefers.length > 0 ? { prefers } : {},
    });
  }

  function liveOf(
    terms: readonly [lease: string, term: number][],
  ): Record<string, LivePermit[]> {
    const live: Record<string, LivePermit[]> = {};
    for (const [lease] of terms) live[lease] = [];
    for (const permit of options.livePermits()) {
      live[leaseOf(permit.pool)]?.push(permit);
    }
    return live;
  }

  /** Whether a broker of a higher rank has been well for long enough. */
  function prefersOther(lease: string): boolean {
    const first = rankOf(lease).find(({ name }) =>
      isPeerAlive(peers.get(name))
    );
    if (!first || peers.get(first.name)!.leader === ledger.leaderOf(lease)) {
      betterSinceMs.delete(lease);
      return false;
    }
    const sinceMs = betterSinceMs.get(lease) ?? clock.now();
    betterSinceMs.set(lease, sinceMs);
    return clock.now() - sinceMs >= PREFER_AFTER_MS;
  }

  function onBeat(beat: BeatMessage, link: Link): void {
    const peer = peers.get(link.vm);
    if (peer?.link !== link) return;
    peer.stamp = beat.stamp;
    peer.heardMs = clock.now();
    peer.idle = beat.idle;
    if (beat.wants) peer.wants = new Set(beat.wants);
    if (beat.leads) peer.leads = new Set(beat.leads);
    for (const lease of peer.wants) consider(lease);
    sendBack(peer);
  }

  function onRelease(release: ReleaseMessage, link: Link): void {
    const peer = peers.get(link.vm);
    if (peer?.link !== link) return;
    if (release.stopping) peer.stopping = true;
    const gone = new Set(release.leases);
    for (const lease of gone) ledger.release(lease, peer.leader);
    peer.wants = without(peer.wants, gone);
    peer.leads = without(peer.leads, gone);
    options.onMoved();
  }

  function listWanted(): Set<string> {
    const leases = new Set<string>();
    for (const peer of peers.values()) {
      for (const lease of peer.wants) leases.add(lease);
    }
    return leases;
  }

  function check(): void {
    for (const lease of listWanted()) {
      if (!isMember(lease)) continue;
      linkDown(lease);
      consider(lease);
    }
  }

  function linkAll(): void {
    for (const { document } of view.documents().values()) {
      for (const lease of listLeases(document)) {
        if (isMember(lease)) linkDown(lease);
      }
    }
  }

  void view.changes.observe(({ kind }) => {
    if (kind === FleetChangeKind.VmList) {
      ranks.clear();
      history.observe(view.vms());
    }
    linkAll();
    options.onMoved();
  });
  const cancelCheck = repeat(clock, BACKING_CHECK_MS, check);
  const cancelLinks = repeat(clock, FIRST_BEAT_MS, linkAll);

  return {
    handlers: {
      [MessageKind.Beat]: onBeat,
      [MessageKind.Release]: onRelease,
    },
    open(link) {
      peers.set(link.vm, {
        link,
        leader: `${link.vm}#${link.incarnation}`,
        openedMs: clock.now(),
        heardMs: -Infinity,
        stamp: 0,
        idle: false,
        stopping: false,
        wants: new Set(),
        leads: new Set(),
        told: new Map(),
      });
    },
    close(link) {
      if (peers.get(link.vm)?.link === link) peers.delete(link.vm);
      check();
    },
    leaderLink(pool) {
      const lease = leaseOf(pool);
      linkDown(lease);
      const backed = backedPeer(lease);
      if (isPeerAlive(backed)) return backed.link;
      return aliveFor(lease)[0]?.link;
    },
    isAlive: (link) => {
      const peer = peers.get(link.vm);
      return peer?.link === link && isPeerAlive(peer);
    },
    mayUse(pool, link) {
      const lease = leaseOf(pool);
      const leader = `${link.vm}#${link.incarnation}`;
      if (!ledger.mayUse(lease, leader)) return false;
      if (ledger.leaderOf(lease) !== leader) {
        // Whoever is backed next must hear of this call.
        for (const peer of peers.values()) peer.told.delete(lease);
      }
      return true;
    },
    stamp: ledger.stamp,
    isReady: () => clock.now() >= readyMs,
    stop() {
      cancelCheck();
      cancelLinks();
    },
  };
}

function without(
  from: ReadonlySet<string>,
  gone: ReadonlySet<string>,
): ReadonlySet<string> {
  return new Set([...from].filter((one) => !gone.has(one)));
}
