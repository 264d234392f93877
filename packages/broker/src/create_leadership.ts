import {
  formatPool,
  parsePool,
  type PoolName,
  resolveLease,
} from "@rosemarytiller/document";
import {
  CLOCK_DRIFT,
  createLeaderTenure,
  createListHistory,
  createMembership,
  type LeaderTenure,
  LEASE_MS,
} from "@rosemarytiller/lease";
import {
  type BackingMessage,
  type Link,
  type LivePermit,
  MessageKind,
  type PublishedVm,
} from "@rosemarytiller/link";
import {
  FleetChangeKind,
  type FleetView,
  selectMembers,
} from "@rosemarytiller/platform";
import type { LoadReport } from "@rosemarytiller/policy";
import {
  type Clock,
  EventKind,
  Role,
  UpstreamKind,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";

/** Milliseconds without permit requests until a lease is no longer wanted. */
export const LEASE_IDLE_TIMEOUT_MS = 60_000;
/** Shortest time between two transfers of a lease, in milliseconds. */
export const LEADERSHIP_TRANSFER_INTERVAL_MS = 30_000;
/**
 * Time without permit requests and backing messages, in milliseconds, after
 * which an entry is unreachable and its calls become unaccounted in-flight
 * calls.
 */
export const ENTRY_TIMEOUT_MS = 2 * LEASE_MS;
/** Largest `totalMs` that a class may set for its calls, in milliseconds. */
export const MAX_CALL_MS = 3_600_000;

/**
 * The leases that this broker leads or wants to lead. An entry backs at most
 * one broker for a lease; the broker's share of the upstreams' limits follows
 * from the number of its backers.
 */
export interface Leadership {
  openLink(link: Link): void;
  closeLink(link: Link): void;
  /** Records a permit request, which makes the pool's lease wanted. */
  onPermitRequest(pool: string, stamp: number, link: Link): void;
  /** Applies a backing message; returns the permits adopted and ended by it. */
  onBacking(message: BackingMessage, link: Link): PermitChange;
  onGranted(permit: LivePermit, link: Link): void;
  onDone(permit: string): void;
  /** Pool of a permit whose call is in flight. */
  poolOf(permit: string): string | undefined;
  /** Applies an upstream's load report. */
  onLoadReport(pool: PoolName, upstream: string, load: PolledLoad): void;
  /** Whether a load report would let this broker grant more. */
  needsReport(pool: PoolName, upstream: string): boolean;
  /** Whether an upstream of a pool reports its load. */
  reportsLoad(pool: PoolName, upstream: string): boolean;
  /**
   * Number of calls, including those in flight, that a pool may have at an
   * upstream now, out of the upstream's limit.
   */
  allowanceOf(pool: string, upstream: string, limit: number): number;
  /**
   * Newest stamp received from the process at the other end of a link, a time
   * of its monotonic clock in milliseconds; 0 before the first.
   */
  stampOf(link: Link): number;
  /** Names of the leases for which this broker asks entries for backing. */
  wantedLeases(): string[];
  /** Names of the leases that had backers at the last `checkLeases`. */
  ledLeases(): string[];
  /** Whether no lease is wanted, for lack of permit requests. */
  isIdle(): boolean;
  /**
   * Whether the entry at the other end of a link is reachable, by the last
   * `checkLeases` and its messages since.
   */
  isReachable(link: Link): boolean;
  /**
   * Records expired leases and changes of leadership, and transfers leases for
   * which most backers prefer another broker, each at most once in
   * `LEADERSHIP_TRANSFER_INTERVAL_MS`. Returns the permits of entries that have
   * become unreachable.
   */
  checkLeases(): string[];
  /** Releases all leases before a planned stop. */
  releaseAll(): void;
  status(pool: string): LeaseStatus;
}

/** Permits affected by an entry's backing message. */
export interface PermitChange {
  /** Live permits that the entry listed. */
  adopted: LivePermit[];
  /** Permits that the entry no longer holds. */
  ended: string[];
}

/** A load report as polled from an upstream. */
export interface PolledLoad extends LoadReport {
  /** Monotonic time at which the report was requested. */
  requestedMs: number;
  /** Current concurrency limit of the upstream. */
  limit: number;
}

/** State of a pool's lease for `/status`. */
export interface LeaseStatus {
  /** Name of the lease. */
  lease: string;
  /** Entry VMs that back this broker. */
  backers: string[];
  /** Share of an upstream's limit that this broker may use, 0 to 1. */
  share(upstream: string): number;
  /**
   * Upper bound of an upstream's unaccounted in-flight calls, those for which
   * this broker has no live permit.
   */
  unseen(upstream: string): number;
}

/** Fleet view, clock, timeline and list lag for a broker's leadership. */
export interface LeadershipOptions {
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** Longest lag of the platform's VM list, in milliseconds. */
  listLagMs: number;
  /**
   * Called after an entry that had missed its release was sent it. The entry
   * then takes the lease as not wanted until the next list of wanted leases.
   */
  onReleased(link: Link): void;
}

interface Lease {
  name: string;
  /** Backers of this broker for the lease and accounts of its calls. */
  tenure: LeaderTenure;
  /** Time of the last permit request. */
  lastRequestMs: number;
  /** Time of the last transfer to a preferred broker. */
  transferredMs: number;
  isLed: boolean;
  /** Backers at the last `checkLeases`, without those released since. */
  knownBackers: ReadonlySet<string>;
}

interface EntryState {
  link: Link | undefined;
  /** Number of the entry process's start; larger at each start. */
  incarnation: number;
  /** Newest stamp received from the process. */
  stamp: number;
  /** Time of the last permit request or backing message. */
  lastMessageMs: number;
  /** Whether the entry timed out and its calls count as unaccounted. */
  isUnreachable: boolean;
  /** Leases for which the entry backs this broker, with their terms. */
  terms: readonly [lease: string, term: number][];
  /** Leases for which it prefers another broker. */
  prefers: ReadonlySet<string>;
}

/** Creates the leadership of a broker; it has no backers at first. */
export function createLeadership(options: LeadershipOptions): Leadership {
  const { view, clock, timeline, listLagMs } = options;
  // The list may have been confirmed up to a lag ago, when it may already have
  // been out of date by another lag.
  const windowMs = 2 * listLagMs + LEASE_MS;
  const history = createListHistory<readonly PublishedVm[]>({
    clock,
    // Covers the window of the entries that may have calls in flight.
    keepMs: windowMs + MAX_CALL_MS,
  });
  const leases = new Map<string, Lease>();
  const entries = new Map<string, EntryState>();
  const permits = new Map<string, { pool: string; upstream: string }>();
  /** Number of this broker's live permits by pool and upstream. */
  const permitCounts = new Map<string, number>();

  if (view.vms().length > 0) history.observe(view.vms());
  void view.changes.observe(({ kind }) => {
    if (kind === FleetChangeKind.VmList) history.observe(view.vms());
  });

  function isConfirmed(): boolean {
    const ageMs = Math.max(
      view.platformAgeMs(),
      clock.now() - view.vmsConfirmedAtMs(),
    );
    return ageMs < listLagMs;
  }

  function leaseOf(pool: string): Lease {
    const { service } = parsePool(pool);
    const name = resolveLease(view.documentOf(service), pool);
    let lease = leases.get(name);
    if (lease) return lease;
    const tenure = createTenure(name);
    lease = {
      name,
      tenure,
      lastRequestMs: -Infinity,
      transferredMs: -Infinity,
      isLed: false,
      knownBackers: new Set(),
    };
    leases.set(name, lease);
    return lease;
  }

  function createTenure(name: string): LeaderTenure {
    const { service, dataCentre } = parsePool(name);
    const select = (vms: readonly PublishedVm[]) =>
      selectMembers(vms, dataCentre);
    const callMs = () => longestCallMs(view, service);
    const shared = { clock, history, isConfirmed };
    const callingWindowMs = () => windowMs + callMs();
    const callingEntries = createMembership({
      ...shared,
      select: selectEntries,
      windowMs: callingWindowMs,
    });
    return createLeaderTenure({
      clock,
      membership: createMembership({
        ...shared,
        select,
        windowMs: () => windowMs,
      }),
      callers: callingEntries.members,
      callMs,
      reportsLoad: (upstream) => reportsLoad(view, service, upstream),
      knowsCallers: () => history.spanMs() >= callingWindowMs(),
    });
  }

  function entryOf(link: Link): EntryState | undefined {
    const incarnation = Number(link.incarnation);
    const known = entries.get(link.vm);
    if (known && known.incarnation > incarnation) return undefined;
    if (known?.incarnation === incarnation) return known;
    const created: EntryState = {
      link: undefined,
      incarnation,
      stamp: 0,
      lastMessageMs: clock.now(),
      isUnreachable: false,
      terms: [],
      prefers: new Set(),
    };
    entries.set(link.vm, created);
    return created;
  }

  function recordMessage(link: Link, stamp: number): EntryState | undefined {
    const entry = entryOf(link);
    if (!entry) return undefined;
    entry.stamp = Math.max(entry.stamp, stamp);
    entry.lastMessageMs = clock.now();
    entry.isUnreachable = false;
    return entry;
  }

  function countKey(pool: string, upstream: string): string {
    return `${pool} ${upstream}`;
  }

  function trackPermit(
    permit: string,
    call: { pool: string; upstream: string },
  ) {
    if (permits.has(permit)) return;
    permits.set(permit, call);
    const key = countKey(call.pool, call.upstream);
    permitCounts.set(key, (permitCounts.get(key) ?? 0) + 1);
  }

  function untrackPermit(permit: string): void {
    const call = permits.get(permit);
    if (!call) return;
    permits.delete(permit);
    const key = countKey(call.pool, call.upstream);
    permitCounts.set(key, permitCounts.get(key)! - 1);
  }

  function release(lease: Lease, stopping: boolean): void {
    for (const [vm, { link }] of entries) {
      if (!link) continue;
      lease.tenure.release(vm);
      sendRelease(link, [lease.name], stopping);
    }
    lease.knownBackers = new Set();
    // The lease is not wanted again before its next permit request.
    lease.lastRequestMs = -Infinity;
  }

  function sendRelease(link: Link, names: string[], stopping: boolean): void {
    link.send({ kind: MessageKind.Release, leases: names, stopping });
  }

  function isPreferredElsewhere(lease: Lease): boolean {
    const backers = lease.tenure.backers();
    const preferring = backers.filter((vm) =>
      entries.get(vm)?.prefers.has(lease.name)
    );
    return preferring.length > backers.length / 2;
  }

  function isWanted(lease: Lease): boolean {
    return clock.now() - lease.lastRequestMs < LEASE_IDLE_TIMEOUT_MS;
  }

  function applyTerms(
    message: BackingMessage,
    entry: EntryState,
    link: Link,
  ): void {
    const { echo, stamp, vouches } = message;
    const { incarnation } = entry;
    const { vm } = link;
    for (const [name, term] of entry.terms) {
      const { tenure } = leaseOf(name);
      if (tenure.isReleased({ vm, incarnation, term })) {
        sendRelease(link, [name], false);
        options.onReleased(link);
        continue;
      }
      tenure.recordBacking({ vm, incarnation, term, echo, stamp, vouches });
    }
  }

  function adopt(
    vm: string,
    echo: number,
    live: Record<string, LivePermit[]>,
  ): PermitChange {
    const adopted: LivePermit[] = [];
    const ended: string[] = [];
    for (const [name, listed] of Object.entries(live)) {
      ended.push(...leaseOf(name).tenure.reconcilePermits(vm, echo, listed));
      for (const permit of listed) trackPermit(permit.permit, permit);
      adopted.push(...listed);
    }
    for (const permit of ended) untrackPermit(permit);
    return { adopted, ended };
  }

  /**
   * Moves the permits of an earlier process of a VM to the unaccounted
   * in-flight calls and returns them.
   */
  function dropFormerProcess(link: Link): string[] {
    const lost: string[] = [];
    for (const { tenure } of leases.values()) {
      lost.push(...tenure.recordProcess(link.vm, Number(link.incarnation)));
    }
    for (const permit of lost) untrackPermit(permit);
    return lost;
  }

  /**
   * Moves the permits of entries that have timed out to the unaccounted
   * in-flight calls and returns them. No entry times out while this broker is
   * idle, as heartbeats and the entries' answers are rare then.
   */
  function dropUnreachable(): string[] {
    const lost: string[] = [];
    if (isIdle()) return lost;
    for (const [vm, entry] of entries) {
      if (
        entry.isUnreachable ||
        clock.now() - entry.lastMessageMs < ENTRY_TIMEOUT_MS
      ) continue;
      entry.isUnreachable = true;
      // It counts as a backer again only after it has listed all its calls.
      for (const { tenure } of leases.values()) {
        lost.push(...tenure.markUnreachable(vm));
      }
    }
    for (const permit of lost) untrackPermit(permit);
    return lost;
  }

  function isIdle(): boolean {
    return ![...leases.values()].some(isWanted);
  }

  /**
   * Records the leases that have expired. While this broker is idle, leases
   * expire between the rare heartbeats.
   */
  function recordExpired(lease: Lease): void {
    const backers = new Set(lease.tenure.backers());
    for (const entry of isIdle() ? [] : lease.knownBackers) {
      if (backers.has(entry)) continue;
      timeline.record(EventKind.LeaseExpired, "", { lease: lease.name, entry });
    }
    lease.knownBackers = backers;
  }

  function recordLeadership(lease: Lease): void {
    const isLed = lease.tenure.backers().length > 0;
    if (isLed === lease.isLed) return;
    lease.isLed = isLed;
    const kind = isLed ? EventKind.LeadershipTaken : EventKind.LeadershipLost;
    timeline.record(kind, "", { pool: lease.name });
  }

  return {
    openLink(link) {
      if (link.role !== Role.Entry) return;
      const entry = entryOf(link);
      if (!entry) return;
      entry.link = link;
      entry.terms = [];
      entry.prefers = new Set();
    },
    closeLink(link) {
      const entry = entries.get(link.vm);
      if (entry?.link !== link) return;
      entry.link = undefined;
    },
    onPermitRequest(pool, stamp, link) {
      recordMessage(link, stamp);
      leaseOf(pool).lastRequestMs = clock.now();
    },
    onBacking(message, link) {
      const entry = recordMessage(link, message.stamp);
      if (!entry || entry.link !== link) return { adopted: [], ended: [] };
      const lost = dropFormerProcess(link);
      if (message.listRevision === view.listRevision()) {
        history.confirmAge(message.listAgeMs);
      }
      if (message.terms) entry.terms = message.terms;
      entry.prefers = new Set(message.prefers);
      const change = adopt(link.vm, message.echo, message.live ?? {});
      applyTerms(message, entry, link);
      return { adopted: change.adopted, ended: [...lost, ...change.ended] };
    },
    onGranted({ permit, pool, upstream }, link) {
      leaseOf(pool).tenure.account(upstream).onGranted(permit, link.vm);
      trackPermit(permit, { pool, upstream });
    },
    onDone(permit) {
      const call = permits.get(permit);
      if (!call) return;
      leaseOf(call.pool).tenure.account(call.upstream).onEnded(permit);
      untrackPermit(permit);
    },
    poolOf: (permit) => permits.get(permit)?.pool,
    onLoadReport(
      pool,
      upstream,
      { running, waiting, ageMs, requestedMs, limit },
    ) {
      const calls = running + waiting;
      // The clocks of the upstream and of this process may both drift.
      const measuredMs = requestedMs - ageMs * (1 + 2 * CLOCK_DRIFT);
      const load = { calls, measuredMs };
      leaseOf(formatPool(pool)).tenure.report(upstream, load, limit);
    },
    needsReport: (pool, upstream) =>
      leaseOf(formatPool(pool)).tenure.needsReport(upstream),
    reportsLoad: ({ service }, upstream) =>
      reportsLoad(view, service, upstream),
    allowanceOf(pool, upstream, limit) {
      const { tenure } = leaseOf(pool);
      const own = permitCounts.get(countKey(pool, upstream)) ?? 0;
      const ofOtherPools = tenure.account(upstream).live() - own;
      return tenure.allowance(upstream, limit) - ofOtherPools;
    },
    stampOf: (link) => entryOf(link)?.stamp ?? 0,
    wantedLeases: () =>
      [...leases.values()].filter(isWanted).map(({ name }) => name),
    ledLeases: () =>
      [...leases.values()].filter(({ isLed }) => isLed).map(({ name }) => name),
    isIdle,
    isReachable: (link) => !entries.get(link.vm)?.isUnreachable,
    checkLeases() {
      const nowMs = clock.now();
      for (const lease of leases.values()) {
        recordLeadership(lease);
        recordExpired(lease);
        if (nowMs - lease.transferredMs < LEADERSHIP_TRANSFER_INTERVAL_MS) {
          continue;
        }
        if (!isPreferredElsewhere(lease)) continue;
        lease.transferredMs = nowMs;
        release(lease, false);
      }
      return dropUnreachable();
    },
    releaseAll() {
      for (const lease of leases.values()) release(lease, true);
      for (const { link } of entries.values()) {
        if (link) sendRelease(link, [], true);
      }
    },
    status(pool) {
      const { name, tenure } = leaseOf(pool);
      return {
        lease: name,
        backers: tenure.backers(),
        share: tenure.share,
        unseen: (upstream) => tenure.account(upstream).unaccounted(),
      };
    },
  };
}

function selectEntries(vms: readonly PublishedVm[]): string[] {
  return vms.filter((vm) => vm.kind === "entry").map((vm) => vm.name);
}

/** Longest time that any class of a service sets for a call. */
function longestCallMs(view: FleetView, service: string): number {
  const classes = view.documentOf(service)?.classes ?? [];
  return Math.max(0, ...classes.map((entry) => entry.totalMs));
}

function reportsLoad(
  view: FleetView,
  service: string,
  upstream: string,
): boolean {
  const entry = view.documentOf(service)?.upstreams[upstream];
  return entry?.kind === UpstreamKind.ModelRunner;
}
