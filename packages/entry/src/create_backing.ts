import { listLeases, parsePool, resolveLease } from "@rosemarytiller/document";
import {
  createBackerLedger,
  createListHistory,
  LEASE_MS,
  ORPHANED_CALL_MS,
  withClockDrift,
} from "@rosemarytiller/lease";
import {
  type HeartbeatMessage,
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
  rankLeaderCandidates,
  selectMembers,
} from "@rosemarytiller/platform";
import { type Clock, EventKind, repeat } from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";

/**
 * Heartbeat timeout of a broker without traffic; such a broker sends heartbeats
 * less often.
 */
export const IDLE_HEARTBEAT_TIMEOUT_MS = 5000;
/**
 * Maximum time for the first heartbeat on a new link; also the interval at
 * which links to the candidates of all leases are opened.
 */
export const FIRST_HEARTBEAT_TIMEOUT_MS = 500;
/** How long a higher-ranked broker must be reachable before it is preferred. */
export const PREFERENCE_DELAY_MS = 3000;
/** Interval at which wanted leases and the links for them are checked. */
export const BACKING_CHECK_MS = 50;

/**
 * Votes for leaders: for each lease, this entry backs at most one broker at a
 * time, and requests permits from that one while it is reachable. The share of
 * an upstream's limit that a leader may grant depends on how many entries back
 * it.
 */
export interface Backing {
  handlers: MessageHandlers<Link>;
  /** Adds a link that has opened. */
  open(link: Link): void;
  /** Removes a link that has closed. */
  close(link: Link): void;
  /**
   * Link to the broker from which to request a pool's permits: the one that is
   * backed for the pool's lease if it is reachable, else the best reachable
   * candidate; `undefined` if there is none. Opens links to candidates.
   */
  leaderLink(pool: string): Link | undefined;
  /**
   * Whether a link is its broker's current one, and the broker is not stopping
   * and sent its last heartbeat in time.
   */
  isReachable(link: Link): boolean;
  /**
   * Whether a grant that was received on a link may start a call. If so, and
   * this entry backs another leader or none, the next backing message to the
   * lease's leader lists all live permits of the lease.
   */
  acceptGrant(pool: string, link: Link): boolean;
  /** Monotonic time for a message in milliseconds, larger than any before. */
  stamp(): number;
  /** Whether this entry can back a leader yet. */
  isReady(): boolean;
  stop(): void;
}

/** Dependencies of an entry's backing. */
export interface BackingOptions {
  vm: string;
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /**
   * Returns the link to a VM's broker while it is open. From the first call on,
   * the link is opened again whenever it ends.
   */
  linkTo(vm: PublishedVm): Link | undefined;
  livePermits(): Iterable<LivePermit>;
  /** Called when pending permit requests may have to go to another broker. */
  onLeaderChange(): void;
}

/** State of a broker that this entry has a link to. */
interface BrokerState {
  link: Link;
  /**
   * Identifier of the broker's process, `vm#incarnation`. The incarnation is
   * larger at each start of the process.
   */
  brokerId: string;
  openedMs: number;
  /** Time of the last heartbeat. */
  lastHeartbeatMs: number;
  /**
   * Stamp of the broker's last heartbeat, which the next backing message echoes;
   * 0 before the first.
   */
  stamp: number;
  isIdle: boolean;
  isStopping: boolean;
  /** Leases that the broker wants to be backed for. */
  wantedLeases: ReadonlySet<string>;
  /**
   * Leases that the broker leads, that is, for which some entry backs it; as of
   * its last heartbeat that listed them.
   */
  ledLeases: ReadonlySet<string>;
  /** Terms by lease that were last sent on this link. */
  sentTerms: Map<string, number>;
}

/**
 * Creates the backing of an entry process that has just started. It backs no
 * leader until the leases that an earlier process may have backed have expired.
 */
export function createBacking(options: BackingOptions): Backing {
  const { vm, view, clock, timeline } = options;
  const ledger = createBackerLedger({ clock });
  const history = createListHistory<readonly PublishedVm[]>({
    clock,
    keepMs: 0,
  });
  const startedMs = clock.now();
  const brokers = new Map<string, BrokerState>();
  const candidatesByLease = new Map<string, PublishedVm[]>();
  const preferredSinceMs = new Map<string, number>();
  // No lease has an empty name, so the ledger has no backing for it and returns
  // the time at which the leases that an earlier process of this VM may have
  // backed have expired.
  const readyMs = ledger.freeAtMs("");

  function leaseOf(pool: string): string {
    return resolveLease(view.documentOf(parsePool(pool).service), pool);
  }

  /** VMs whose brokers may lead a lease, by rank. */
  function candidatesFor(lease: string): PublishedVm[] {
    let candidates = candidatesByLease.get(lease);
    if (!candidates) {
      const { dataCentre } = parsePool(lease);
      candidates = rankLeaderCandidates(lease, { dataCentre, vms: view.vms() });
      candidatesByLease.set(lease, candidates);
    }
    return candidates;
  }

  /** Whether this VM is a member that may back a leader of the lease. */
  function isMember(lease: string): boolean {
    const { dataCentre } = parsePool(lease);
    return selectMembers(view.vms(), dataCentre).includes(vm);
  }

  function isReachable(broker: BrokerState | undefined): broker is BrokerState {
    if (!broker || broker.isStopping || broker.stamp === 0) return false;
    const timeoutMs = broker.isIdle
      ? IDLE_HEARTBEAT_TIMEOUT_MS
      : withClockDrift(LEASE_MS);
    return clock.now() - broker.lastHeartbeatMs < timeoutMs;
  }

  function backedBroker(lease: string): BrokerState | undefined {
    const leader = ledger.leaderOf(lease);
    for (const broker of brokers.values()) {
      if (broker.brokerId === leader) return broker;
    }
    return undefined;
  }

  /** Reachable candidates for a lease by rank, those that lead it first. */
  function reachableFor(lease: string): BrokerState[] {
    const reachable: BrokerState[] = [];
    for (const { name } of candidatesFor(lease)) {
      const broker = brokers.get(name);
      if (isReachable(broker)) reachable.push(broker);
    }
    const leading = reachable.filter((broker) => broker.ledLeases.has(lease));
    return [
      ...leading,
      ...reachable.filter((broker) => !broker.ledLeases.has(lease)),
    ];
  }

  /**
   * Opens links to the candidates for a lease by rank, up to the first that is
   * reachable or still has time to send its first heartbeat.
   */
  function connectCandidates(lease: string): void {
    for (const published of candidatesFor(lease)) {
      const link = options.linkTo(published);
      const broker = brokers.get(published.name);
      if (link && isReachable(broker)) return;
      const isOpening = link && broker && !broker.isStopping &&
        broker.stamp === 0 &&
        clock.now() - broker.openedMs < FIRST_HEARTBEAT_TIMEOUT_MS;
      if (isOpening) return;
    }
  }

  /**
   * Backs the first reachable broker that wants a lease, unless the one that is
   * backed now is reachable. Does nothing if this VM is not a member, or while
   * the ledger does not allow another leader yet.
   */
  function backIfNeeded(lease: string): void {
    if (isReachable(backedBroker(lease)) || !isMember(lease)) return;
    for (const broker of reachableFor(lease)) {
      if (!broker.wantedLeases.has(lease)) continue;
      if (ledger.back(lease, broker.brokerId) === undefined) return;
      const { vm: leader } = broker.link;
      timeline.record(EventKind.LeaseGranted, "", { lease, leader });
      sendBacking(broker);
      options.onLeaderChange();
      return;
    }
  }

  function sendBacking(broker: BrokerState): void {
    const terms = ledger.termsOf(broker.brokerId);
    ledger.renew(broker.brokerId);
    const newTerms = terms.filter(([lease, term]) =>
      broker.sentTerms.get(lease) !== term
    );
    const hasChanged = newTerms.length > 0 ||
      terms.length !== broker.sentTerms.size;
    broker.sentTerms = new Map(terms);
    const prefers = terms.map(([lease]) => lease).filter(updatePreference);
    // The entry vouches that no call of an earlier process of this VM is still
    // in progress: upstreams have ended such calls after `ORPHANED_CALL_MS`.
    broker.link.send({
      kind: MessageKind.Backing,
      echo: broker.stamp,
      stamp: ledger.stamp(),
      listRevision: view.listRevision(),
      listAgeMs: Math.floor(history.ageMs()),
      vouches: clock.now() - startedMs >= withClockDrift(ORPHANED_CALL_MS),
      ...hasChanged ? { terms, live: livePermitsOf(newTerms) } : {},
      ...prefers.length > 0 ? { prefers } : {},
    });
  }

  function livePermitsOf(
    terms: readonly [lease: string, term: number][],
  ): Record<string, LivePermit[]> {
    const live: Record<string, LivePermit[]> = {};
    for (const [lease] of terms) live[lease] = [];
    for (const permit of options.livePermits()) {
      live[leaseOf(permit.pool)]?.push(permit);
    }
    return live;
  }

  /**
   * Notes since when a higher-ranked broker has been reachable; returns whether
   * that is long enough to prefer it.
   */
  function updatePreference(lease: string): boolean {
    const first = candidatesFor(lease).find(({ name }) =>
      isReachable(brokers.get(name))
    );
    if (
      !first || brokers.get(first.name)!.brokerId === ledger.leaderOf(lease)
    ) {
      preferredSinceMs.delete(lease);
      return false;
    }
    const sinceMs = preferredSinceMs.get(lease) ?? clock.now();
    preferredSinceMs.set(lease, sinceMs);
    return clock.now() - sinceMs >= PREFERENCE_DELAY_MS;
  }

  function onHeartbeat(heartbeat: HeartbeatMessage, link: Link): void {
    const broker = brokers.get(link.vm);
    if (broker?.link !== link) return;
    broker.stamp = heartbeat.stamp;
    broker.lastHeartbeatMs = clock.now();
    broker.isIdle = heartbeat.idle;
    if (heartbeat.wants) broker.wantedLeases = new Set(heartbeat.wants);
    if (heartbeat.leads) broker.ledLeases = new Set(heartbeat.leads);
    for (const lease of broker.wantedLeases) backIfNeeded(lease);
    sendBacking(broker);
  }

  function onRelease(release: ReleaseMessage, link: Link): void {
    const broker = brokers.get(link.vm);
    if (broker?.link !== link) return;
    if (release.stopping) broker.isStopping = true;
    const released = new Set(release.leases);
    for (const lease of released) ledger.release(lease, broker.brokerId);
    broker.wantedLeases = without(broker.wantedLeases, released);
    broker.ledLeases = without(broker.ledLeases, released);
    options.onLeaderChange();
  }

  function listWantedLeases(): Set<string> {
    const leases = new Set<string>();
    for (const broker of brokers.values()) {
      for (const lease of broker.wantedLeases) leases.add(lease);
    }
    return leases;
  }

  function checkWantedLeases(): void {
    for (const lease of listWantedLeases()) {
      if (!isMember(lease)) continue;
      connectCandidates(lease);
      backIfNeeded(lease);
    }
  }

  /** Opens links for all leases of which this VM may back a leader. */
  function connectAll(): void {
    for (const { document } of view.documents().values()) {
      for (const lease of listLeases(document)) {
        if (isMember(lease)) connectCandidates(lease);
      }
    }
  }

  void view.changes.observe(({ kind }) => {
    if (kind === FleetChangeKind.VmList) {
      candidatesByLease.clear();
      history.observe(view.vms());
    }
    connectAll();
    options.onLeaderChange();
  });
  const cancelCheck = repeat(clock, BACKING_CHECK_MS, checkWantedLeases);
  const cancelConnect = repeat(clock, FIRST_HEARTBEAT_TIMEOUT_MS, connectAll);

  return {
    handlers: {
      [MessageKind.Heartbeat]: onHeartbeat,
      [MessageKind.Release]: onRelease,
    },
    open(link) {
      brokers.set(link.vm, {
        link,
        brokerId: `${link.vm}#${link.incarnation}`,
        openedMs: clock.now(),
        lastHeartbeatMs: -Infinity,
        stamp: 0,
        isIdle: false,
        isStopping: false,
        wantedLeases: new Set(),
        ledLeases: new Set(),
        sentTerms: new Map(),
      });
    },
    close(link) {
      if (brokers.get(link.vm)?.link === link) brokers.delete(link.vm);
      checkWantedLeases();
    },
    leaderLink(pool) {
      const lease = leaseOf(pool);
      connectCandidates(lease);
      const backed = backedBroker(lease);
      if (isReachable(backed)) return backed.link;
      return reachableFor(lease)[0]?.link;
    },
    isReachable: (link) => {
      const broker = brokers.get(link.vm);
      return broker?.link === link && isReachable(broker);
    },
    acceptGrant(pool, link) {
      const lease = leaseOf(pool);
      const granter = `${link.vm}#${link.incarnation}`;
      if (!ledger.mayUse(lease, granter)) return false;
      if (ledger.leaderOf(lease) !== granter) {
        // The leader that this entry backs now or next must learn of this call.
        // Forgetting the sent terms makes `sendBacking` send it the lease's live
        // permits.
        for (const broker of brokers.values()) broker.sentTerms.delete(lease);
      }
      return true;
    },
    stamp: ledger.stamp,
    isReady: () => clock.now() >= readyMs,
    stop() {
      cancelCheck();
      cancelConnect();
    },
  };
}

function without(
  leases: ReadonlySet<string>,
  removed: ReadonlySet<string>,
): ReadonlySet<string> {
  return new Set([...leases].filter((lease) => !removed.has(lease)));
}
