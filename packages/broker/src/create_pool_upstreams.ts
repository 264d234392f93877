import {
  listPoolUpstreams,
  type PoolName,
  type ServiceDocument,
  type UpstreamEntry,
} from "@rosemarytiller/document";
import type { LivePermit } from "@rosemarytiller/link";
import { type FleetView, isUpstreamAvailable } from "@rosemarytiller/platform";
import {
  createUpstreamLimit,
  type QueuedRequest,
  type RunningCalls,
  type UpstreamCandidate,
  type UpstreamLimit,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";

/** State of an upstream at its pool's leader. */
export interface PoolUpstream {
  readonly name: string;
  entry: UpstreamEntry;
  limit: UpstreamLimit;
  /** Whether it could receive new calls when `current` was last called. */
  isOpen: boolean;
  /** Calls in flight by permit id, in the order of `startedMs`. */
  readonly live: Map<string, LiveCall>;
}

/** Permit of a call in flight. */
export interface LiveCall extends LivePermit {
  /** Monotonic time at which it was granted here, or adopted. */
  startedMs: number;
}

/** The upstreams of a pool. */
export interface PoolUpstreams {
  /**
   * Upstreams that may receive new calls by the document in force and the VM
   * list. Also updates the upstreams to that document.
   */
  current(): PoolUpstream[];
  /** Adds a call in flight, unless it is known or its upstream isn't. */
  startCall(permit: LivePermit): void;
  /** An upstream by name, also one that has since left the document. */
  find(name: string): PoolUpstream | undefined;
  /** All upstreams that `find` finds. */
  all(): Iterable<PoolUpstream>;
  /**
   * Those of `upstreams` that may serve a request, whether or not they have
   * free capacity.
   */
  candidatesFor(
    request: QueuedRequest,
    upstreams: readonly PoolUpstream[],
  ): UpstreamCandidate[];
  /** Calls in flight at the upstreams that may receive new calls. */
  readonly running: RunningCalls;
  /** Free capacity: number of calls that could start now. */
  freeCapacity(): number;
  /**
   * Whether this leader's allowance at any of `upstreams` would be above 0 if
   * `maxConcurrent` were the limit.
   */
  hasAllowance(upstreams: readonly PoolUpstream[]): boolean;
}

/** Fleet view, clock and allowances of a pool's upstreams. */
export interface PoolUpstreamsOptions {
  view: FleetView;
  clock: Clock;
  /**
   * Number of calls, including those in flight, that this leader may have at an
   * upstream now, out of the upstream's limit.
   */
  allowanceOf(upstream: string, limit: number): number;
}

interface ListedUpstreams {
  document: ServiceDocument;
  entries: [string, UpstreamEntry][];
}

/** Creates the upstreams of a pool, listed from its service's document. */
export function createPoolUpstreams(
  pool: PoolName,
  { view, clock, allowanceOf }: PoolUpstreamsOptions,
): PoolUpstreams {
  const known = new Map<string, PoolUpstream>();
  let listed: ListedUpstreams | undefined;

  /** Upstream entries of the pool; searched once per document. */
  function listEntries(document: ServiceDocument): [string, UpstreamEntry][] {
    if (listed?.document !== document) {
      listed = { document, entries: listPoolUpstreams(document, pool) };
    }
    return listed.entries;
  }

  /** Creates an upstream or updates it to its entry in the document. */
  function update(name: string, entry: UpstreamEntry): PoolUpstream {
    let upstream = known.get(name);
    if (!upstream) {
      const live = new Map<string, LiveCall>();
      const limit = newLimit(entry, live);
      upstream = { name, entry, limit, isOpen: true, live };
      known.set(name, upstream);
    }
    if (upstream.entry !== entry) {
      upstream.entry = entry;
      upstream.limit.setBounds(entry);
    }
    const isOpen = isUpstreamAvailable(view, pool.service, name);
    // It may have restarted while out of service, so its limit warms up again.
    if (isOpen && !upstream.isOpen) {
      upstream.limit = newLimit(entry, upstream.live);
    }
    upstream.isOpen = isOpen;
    return upstream;
  }

  function current(): PoolUpstream[] {
    const document = view.documentOf(pool.service);
    if (!document) return [];
    const upstreams: PoolUpstream[] = [];
    for (const [name, entry] of listEntries(document)) {
      const upstream = update(name, entry);
      if (upstream.isOpen) upstreams.push(upstream);
    }
    return upstreams;
  }

  function usableLimit(upstream: PoolUpstream): number {
    return allowanceOf(upstream.name, upstream.limit.current(clock.now()));
  }

  return {
    current,
    startCall(permit) {
      const live = known.get(permit.upstream)?.live;
      if (!live || live.has(permit.permit)) return;
      live.set(permit.permit, { ...permit, startedMs: clock.now() });
    },
    find: (name) => known.get(name),
    all: () => known.values(),
    candidatesFor(request, upstreams) {
      const allowed = listAllowed(view.documentOf(pool.service), request);
      const candidates: UpstreamCandidate[] = [];
      for (const upstream of upstreams) {
        const { name, live } = upstream;
        if (request.avoid.includes(name)) continue;
        if (allowed.length > 0 && !allowed.includes(name)) continue;
        const limit = usableLimit(upstream);
        const firstTokenMs = upstream.limit.firstTokenMs();
        const outstanding = live.size;
        candidates.push({ name, outstanding, limit, firstTokenMs });
      }
      return candidates;
    },
    hasAllowance(upstreams) {
      for (const { name, entry } of upstreams) {
        if (allowanceOf(name, entry.maxConcurrent) > 0) return true;
      }
      return false;
    },
    running: {
      endRate(callMs, nowMs) {
        let rate = 0;
        for (const { live } of current()) {
          rate += endRateOf(live, callMs, nowMs);
        }
        return rate;
      },
    },
    freeCapacity() {
      let freeCapacity = 0;
      for (const upstream of current()) {
        freeCapacity += Math.max(0, usableLimit(upstream) - upstream.live.size);
      }
      return freeCapacity;
    },
  };
}

/** Upstreams that a request's class is limited to; empty means all. */
function listAllowed(
  document: ServiceDocument | undefined,
  { className }: QueuedRequest,
): readonly string[] {
  for (const entry of document?.classes ?? []) {
    if (entry.name === className) return entry.upstreams;
  }
  return [];
}

/** The end rate of one upstream's calls; see `RunningCalls`. */
function endRateOf(
  live: ReadonlyMap<string, LiveCall>,
  callMs: number,
  nowMs: number,
): number {
  let rate = 0;
  let older = 0;
  for (const { startedMs } of live.values()) {
    const ageMs = nowMs - startedMs;
    if (ageMs <= callMs) break;
    rate += 1 / ageMs;
    older++;
  }
  return rate + (live.size - older) / callMs;
}

function newLimit(
  entry: UpstreamEntry,
  live: ReadonlyMap<string, LivePermit>,
): UpstreamLimit {
  return createUpstreamLimit(entry, { outstanding: () => live.size });
}
