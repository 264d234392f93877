import {
  listPoolUpstreams,
  type PoolName,
  type ServiceDocument,
  type UpstreamEntry,
} from "@rosemarytiller/document";
import type { LivePermit } from "@rosemarytiller/link";
import { type FleetView, isUpstreamOpen } from "@rosemarytiller/platform";
import {
  createUpstreamLimit,
  type QueuedRequest,
  type UpstreamCandidate,
  type UpstreamLimit,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";

/** An upstream as the leader of its pool sees it. */
export interface PoolUpstream {
  readonly name: string;
  entry: UpstreamEntry;
  limit: UpstreamLimit;
  /** Whether new calls could start there when last looked at. */
  isOpen: boolean;
  /** Permits in progress, by permit. */
  readonly live: Map<string, LivePermit>;
}

/** The upstreams of a pool. */
export interface PoolUpstreams {
  /** Upstreams that may get new calls by the document in force. */
  current(): PoolUpstream[];
  /** An upstream that has ever been seen. */
  find(name: string): PoolUpstream | undefined;
  /** Those of `upstreams` that may serve a request, with room or without. */
  candidatesFor(
    request: QueuedRequest,
    upstreams: readonly PoolUpstream[],
  ): UpstreamCandidate[];
  /** Calls in progress at upstreams that may get new ones. */
  outstanding(): number;
  /** Calls that could start now. */
  free(): number;
  /** Whether this leader has a share of any of `upstreams`. */
  hasShare(upstreams: readonly PoolUpstream[]): boolean;
}

/** What the upstreams of a pool need. */
export interface PoolUpstreamsOptions {
  view: FleetView;
  clock: Clock;
  /** Part of an upstream's limit that this leader may use now. */
  shareOf(upstream: string, limit: number): number;
}

interface ListedUpstreams {
  document: ServiceDocument;
  entries: [string, UpstreamEntry][];
}

/** Creates the list of a pool's upstreams. */
export function createPoolUpstreams(
  pool: PoolName,
  { view, clock, shareOf }: PoolUpstreamsOptions,
): PoolUpstreams {
  const known = new Map<string, PoolUpstream>();
  let listed: ListedUpstreams | undefined;

  /** The pool's entries; a document is searched once. */
  function listEntries(document: ServiceDocument): [string, UpstreamEntry][] {
    if (listed?.document !== document) {
      listed = { document, entries: listPoolUpstreams(document, pool) };
    }
    return listed.entries;
  }

  /** Brings an upstream in line with its entry in the document. */
  function update(name: string, entry: UpstreamEntry): PoolUpstream {
    let upstream = known.get(name);
    if (!upstream) {
      const live = new Map<string, LivePermit>();
      const limit = newLimit(entry, live);
      upstream = { name, entry, limit, isOpen: true, live };
      known.set(name, upstream);
    }
    if (upstream.entry !== entry) {
      upstream.entry = entry;
      upstream.limit.setBounds(entry);
    }
    const isOpen = isUpstreamOpen(view, pool.service, name);
    // It may have been restarted while it was out of service.
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
    return shareOf(upstream.name, upstream.limit.current(clock.now()));
  }

  return {
    current,
    find: (name) => known.get(name),
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
    hasShare(upstreams) {
      for (const { name, entry } of upstreams) {
        if (shareOf(name, entry.maxConcurrent) > 0) return true;
      }
      return false;
    },
    outstanding() {
      let count = 0;
      for (const { live } of current()) count += live.size;
      return count;
    },
    free() {
      let room = 0;
      for (const upstream of current()) {
        room += Math.max(0, usableLimit(upstream) - upstream.live.size);
      }
      return room;
    },
  };
}

/** Upstreams that a request's class names; empty means all. */
function listAllowed(
  document: ServiceDocument | undefined,
  { className }: QueuedRequest,
): readonly string[] {
  for (const entry of document?.classes ?? []) {
    if (entry.name === className) return entry.upstreams;
  }
  return [];
}

function newLimit(
  entry: UpstreamEntry,
  live: ReadonlyMap<string, LivePermit>,
): UpstreamLimit {
  return createUpstreamLimit(entry, { outstanding: () => live.size });
}
