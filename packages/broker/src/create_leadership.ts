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
  type BackMessage,
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

/** How long after its last ask a lease is still kept warm. */
export const ACTIVE_MS = 60_000;
/** Shortest time between two hand-overs of a lease to a preferred broker. */
export const HANDOVER_INTERVAL_MS = 30_000;
/** How long an entry may be silent before its calls count as unseen. */
export const GONE_MS = 2 * LEASE_MS;
/** Longest time that any class may set for a call. */
export const CALL_MAX_MS = 3_600_000;

/** The leases of which this broker is or wants to be the leader. */
export interface Leadership {
  openLink(link: Link): void;
  closeLink(link: Link): void;
  /** Notes an ask, which makes its lease wanted. */
  onAsk(pool: string, stamp: number, link: Link): void;
  /** Takes a backing; returns the permits adopted and those that ended. */
  onBack(back: BackMessage, link: Link): PermitChange;
  onGranted(permit: LivePermit, link: Link): void;
  onDone(permit: string): void;
  /** Pool of a permit in progress. */
  poolOf(permit: string): string | undefined;
  /** Takes a load report that was asked for at `askedMs`. */
  onLoad(pool: PoolName, upstream: string, load: AskedLoad): void;
  /** Whether a load report would let this broker grant more. */
  needsReport(pool: PoolName, upstream: string): boolean;
  /** Whether an upstream of a pool reports its load. */
  reportsLoad(pool: PoolName, upstream: string): boolean;
  /** Calls of an upstream's limit that a pool may have now. */
  shareOf(pool: string, upstream: string, limit: number): number;
  /** Newest stamp of the process behind a link. */
  stampOf(link: Link): number;
  /** Leases this broker wants to be backed for. */
  wants(): string[];
  /** Leases this broker is backed for. */
  leads(): string[];
  /** Whether no lease has had traffic for a time. */
  isIdle(): boolean;
  /** Hands over and notes changes; returns permits of entries that are gone. */
  check(): string[];
  /** Gives all leases up before a planned stop. */
  releaseAll(): void;
  status(pool: string): LeaseStatus;
}

/** Permits that a message of an entry changed. */
export interface PermitChange {
  adopted: LivePermit[];
  ended: string[];
}

/** A load report with the time at which it was asked for. */
export interface AskedLoad extends LoadReport {
  askedMs: number;
  /** Limit of the upstream in force. */
  limit: number;
}

/** State of a pool's lease for `/status`. */
export interface LeaseStatus {
  lease: string;
  /** VMs whose backing this broker holds. */
  backers: string[];
  /** Share of an upstream's limit, 0 to 1. */
  share(upstream: string): number;
  /** Most calls of others that may be in progress at an upstream. */
  unseen(upstream: string): number;
}

/** What the leadership needs. */
export interface LeadershipOptions {
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** Longest lag of the VM list. */
  listLagMs: number;
}

interface Lease {
  name: string;
  tenure: LeaderTenure;
  askedMs: number;
  handedOverMs: number;
  isLed: boolean;
}

interface EntryState {
  link: Link | undefined;
  incarnation: number;
  stamp: number;
  heardMs: number;
  /** Whether the calls of the silent entry were counted as unseen. */
  isLost: boolean;
  terms: readonly [lease: string, term: number][];
  prefers: ReadonlySet<string>;
}

/** Creates the leadership of a broker that nobody backs yet. */
export function createLeadership(options: LeadershipOptions): Leadership {
  const { view, clock, timeline, listLagMs } = options;
  // A confirmation may be as old as the lag, and show a list as old again.
  const windowMs = 2 * listLagMs + LEASE_MS;
  const history = createListHistory<readonly PublishedVm[]>({
    clock,
    keepMs: windowMs + CALL_MAX_MS,
  });
  const leases = new Map<string, Lease>();
  const entries = new Map<string, EntryState>();
  const permits = new Map<string, { pool: string; upstream: string }>();
  /** Own permits by pool and upstream. */
  const counts = new Map<string, number>();

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
      askedMs: -Infinity,
      handedOverMs: -Infinity,
      isLed: false,
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
    const callersMs = () => windowMs + callMs();
    const callers = createMembership({
      ...shared,
      select: selectEntries,
      windowMs: callersMs,
    });
    return createLeaderTenure({
      clock,
      membership: createMembership({
        ...shared,
        select,
        windowMs: () => windowMs,
      }),
      callers: callers.all,
      callMs,
      reportsLoad: (upstream) => reportsLoad(view, service, upstream),
      knowsCallers: () => history.spanMs() >= callersMs(),
    });
  }

  function entryOf(link: Link): EntryState | undefined {
    const incarnation = Number(link.incarnation);
    const known = entries.get(link.vm);
    if (known && known.incarnation > incarnation) return undefined;
    if (known?.incarnation === incarnation) return known;
    const fresh: EntryState = {
      link: undefined,
      incarnation,
      stamp: 0,
      heardMs: clock.now(),
      isLost: false,
      terms: [],
      prefers: new Set(),
    };
    entries.set(link.vm, fresh);
    return fresh;
  }

  function noteStamp(link: Link, stamp: number): EntryState | undefined {
    const entry = entryOf(link);
    if (!entry) return undefined;
    entry.stamp = Math.max(entry.stamp, stamp);
    entry.heardMs = clock.now();
    entry.isLost = false;
    return entry;
  }

  function countKey(pool: string, upstream: string): string {
    return `${pool} ${upstream}`;
  }

  function note(permit: string, held: { pool: string; upstream: string }) {
    if (permits.has(permit)) return;
    permits.set(permit, held);
    const key = countKey(held.pool, held.upstream);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }

  function drop(permit: string): void {
    const held = permits.get(permit);
    if (!held) return;
    permits.delete(permit);
    const key = countKey(held.pool, held.upstream);
    counts.set(key, counts.get(key)! - 1);
  }

  function release(lease: Lease, stopping: boolean): void {
    for (const [vm, { link }] of entries) {
      if (!link) continue;
      lease.tenure.release(vm);
      tellRelease(link, [lease.name], stopping);
    }
    lease.askedMs = -Infinity;
  }

  function tellRelease(link: Link, names: string[], stopping: boolean): void {
    link.send({ kind: MessageKind.Release, leases: names, stopping });
  }

  function isPreferredElsewhere(lease: Lease): boolean {
    const backers = lease.tenure.backers();
    const others = backers.filter((vm) =>
      entries.get(vm)?.prefers.has(lease.name)
    );
    return others.length > backers.length / 2;
  }

  function isWanted(lease: Lease): boolean {
    return clock.now() - lease.askedMs < ACTIVE_MS;
  }

  function backTerms(back: BackMessage, entry: EntryState, link: Link): void {
    const { echo, stamp, vouches } = back;
    const { incarnation } = entry;
    const { vm } = link;
    for (const [name, term] of entry.terms) {
      const { tenure } = leaseOf(name);
      if (tenure.isReleased({ vm, incarnation, term })) {
        tellRelease(link, [name], false);
        continue;
      }
      tenure.back({ vm, incarnation, term, echo, stamp, vouches });
    }
  }

  function adopt(
    vm: string,
    echo: number,
    live: Record<string, LivePermit[]>,
  ): PermitChange {
    const adopted: LivePermit[] = [];
    const ended: string[] = [];
    for (const [name, held] of Object.entries(live)) {
      ended.push(...leaseOf(name).tenure.adopt(vm, echo, held));
      for (const permit of held) note(permit.permit, permit);
      adopted.push(...held);
    }
    for (const permit of ended) drop(permit);
    return { adopted, ended };
  }

  /** Permits lost with an earlier process of a VM. */
  function loseEarlier(link: Link): string[] {
    const lost: string[] = [];
    for (const { tenure } of leases.values()) {
      lost.push(...tenure.noteProcess(link.vm, Number(link.incarnation)));
    }
    for (const permit of lost) drop(permit);
    return lost;
  }

  /** Permits of entries that are silent although they should answer. */
  function loseSilent(): string[] {
    const lost: string[] = [];
    if (isIdle()) return lost;
    for (const [vm, entry] of entries) {
      if (entry.isLost || clock.now() - entry.heardMs < GONE_MS) continue;
      entry.isLost = true;
      // It must tell of all its calls again before it counts.
      for (const { tenure } of leases.values()) lost.push(...tenure.lose(vm));
    }
    for (const permit of lost) drop(permit);
    return lost;
  }

  function isIdle(): boolean {
    return ![...leases.values()].some(isWanted);
  }

  function noteLeading(lease: Lease): void {
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
    onAsk(pool, stamp, link) {
      noteStamp(link, stamp);
      leaseOf(pool).askedMs = clock.now();
    },
    onBack(back, link) {
      const entry = noteStamp(link, back.stamp);
      if (!entry || entry.link !== link) return { adopted: [], ended: [] };
      const lost = loseEarlier(link);
      if (back.listRevision === view.listRevision()) {
        history.attest(back.listAgeMs);
      }
      if (back.terms) entry.terms = back.terms;
      entry.prefers = new Set(back.prefers);
      const change = adopt(link.vm, back.echo, back.live ?? {});
      backTerms(back, entry, link);
      return { adopted: change.adopted, ended: [...lost, ...change.ended] };
    },
    onGranted({ permit, pool, upstream }, link) {
      leaseOf(pool).tenure.account(upstream).granted(permit, link.vm);
      note(permit, { pool, upstream });
    },
    onDone(permit) {
      const held = permits.get(permit);
      if (!held) return;
      leaseOf(held.pool).tenure.account(held.upstream).ended(permit);
      drop(permit);
    },
    poolOf: (permit) => permits.get(permit)?.pool,
    onLoad(pool, upstream, { running, waiting, ageMs, askedMs, limit }) {
      const calls = running + waiting;
      const measuredMs = askedMs - ageMs * (1 + 2 * CLOCK_DRIFT);
      const load = { calls, measuredMs };
      leaseOf(formatPool(pool)).tenure.report(upstream, load, limit);
    },
    needsReport: (pool, upstream) =>
      leaseOf(formatPool(pool)).tenure.needsReport(upstream),
    reportsLoad: ({ service }, upstream) =>
      reportsLoad(view, service, upstream),
    shareOf(pool, upstream, limit) {
      const { tenure } = leaseOf(pool);
      const own = counts.get(countKey(pool, upstream)) ?? 0;
      const elsewhere = tenure.account(upstream).live() - own;
      return tenure.allowance(upstream, limit) - elsewhere;
    },
    stampOf: (link) => entryOf(link)?.stamp ?? 0,
    wants: () => [...leases.values()].filter(isWanted).map(({ name }) => name),
    leads: () =>
      [...leases.values()].filter(({ isLed }) => isLed).map(({ name }) => name),
    isIdle,
    check() {
      const nowMs = clock.now();
      for (const lease of leases.values()) {
        noteLeading(lease);
        if (nowMs - lease.handedOverMs < HANDOVER_INTERVAL_MS) continue;
        if (!isPreferredElsewhere(lease)) continue;
        lease.handedOverMs = nowMs;
        release(lease, false);
      }
      return loseSilent();
    },
    releaseAll() {
      for (const lease of leases.values()) release(lease, true);
      for (const { link } of entries.values()) {
        if (link) tellRelease(link, [], true);
      }
    },
    status(pool) {
      const { name, tenure } = leaseOf(pool);
      return {
        lease: name,
        backers: tenure.backers(),
        share: tenure.share,
        unseen: (upstream) => tenure.account(upstream).unseen(),
      };
    },
  };
}

function selectEntries(vms: readonly PublishedVm[]): string[] {
  return vms.filter((vm) => vm.kind === "entry").map((vm) => vm.name);
}

/** Longest time of a call of a service. */
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
