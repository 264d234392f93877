import type { PoolStatus, UpstreamStatus } from "@rosemarytiller/admin";
import {
  isUpstreamInService,
  listPoolUpstreams,
  parsePool,
  type PoolName,
  type UpstreamEntry,
} from "@rosemarytiller/document";
import {
  type AskMessage,
  type DoneMessage,
  type Link,
  type LivePermit,
  MessageKind,
  type PoolSummary,
} from "@rosemarytiller/link";
import { MetricName, type Metrics } from "@rosemarytiller/metrics";
import type { FleetView } from "@rosemarytiller/platform";
import {
  chooseUpstream,
  createRequestQueue,
  createUpstreamLimit,
  type LoadReport,
  type QueuedRequest,
  type UpstreamCandidate,
  type UpstreamLimit,
} from "@rosemarytiller/policy";
import {
  type Clock,
  createId,
  ErrorKind,
  EventKind,
  VmState,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";

/** When a refused caller should come back, in milliseconds. */
export const RETRY_AFTER_MS = 1000;

interface PoolUpstream {
  name: string;
  entry: UpstreamEntry;
  limit: UpstreamLimit;
  /** Permits in progress, by permit. */
  live: Map<string, LivePermit>;
}

interface WaitingAsk {
  ask: AskMessage;
  link: Link;
}

/** What a pool needs of its broker. */
export interface PoolOptions {
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  metrics: Metrics;
  /** Part of an upstream's limit that this leader may use now. */
  shareOf(upstream: string, limit: number): number;
  /** Newest stamp of the process behind a link. */
  stampOf(link: Link): number;
}

/** A pool that this broker leads. */
export interface Pool {
  readonly name: PoolName;
  ask(message: AskMessage, link: Link): void;
  cancel(id: string): void;
  done(message: DoneMessage): void;
  /** Takes over the permits that an entry still holds. */
  adopt(permit: LivePermit): void;
  /** Takes a load report of an upstream. */
  report(upstream: string, report: LoadReport): void;
  /** Drops the asks of a link that has ended. */
  dropLink(link: Link): void;
  /** Refuses what has waited too long and grants what can start. */
  pump(): void;
  summary(): PoolSummary;
  upstreams(): UpstreamStatus[];
  status(): PoolStatus;
}

/** Creates the decisions of one pool. */
export function createPool(text: string, options: PoolOptions): Pool {
  const { view, clock, timeline, metrics } = options;
  const name = parsePool(text);
  const queue = createRequestQueue();
  const waiting = new Map<string, WaitingAsk>();
  const known = new Map<string, PoolUpstream>();
  const classesSeen = new Set<string>();

  /** Brings the upstreams in line with the document in force. */
  function currentUpstreams(): PoolUpstream[] {
    const document = view.documentOf(name.service);
    if (!document) return [];
    const current: PoolUpstream[] = [];
    for (const [key, entry] of listPoolUpstreams(document, name)) {
      let upstream = known.get(key);
      if (!upstream) {
        const limit = createUpstreamLimit(entry);
        upstream = { name: key, entry, limit, live: new Map() };
        known.set(key, upstream);
      }
      if (upstream.entry !== entry) {
        upstream.entry = entry;
        upstream.limit.setBounds(entry);
      }
      if (isUpstreamInService(document, key) && !isLeaving(entry.vm)) {
        current.push(upstream);
      }
    }
    return current;
  }

  function isLeaving(vm: string): boolean {
    for (const published of view.vms()) {
      if (published.name === vm) return published.state === VmState.Leaving;
    }
    return false;
  }

  function usableLimit(upstream: PoolUpstream): number {
    return options.shareOf(upstream.name, upstream.limit.current());
  }

  function candidatesFor(
    request: QueuedRequest,
    upstreams: readonly PoolUpstream[],
  ): UpstreamCandidate[] {
    const document = view.documentOf(name.service);
    const allowed = document?.classes
      .find((entry) => entry.name === request.className)?.upstreams ?? [];
    const candidates: UpstreamCandidate[] = [];
    for (const upstream of upstreams) {
      if (request.avoid.includes(upstream.name)) continue;
      if (allowed.length > 0 && !allowed.includes(upstream.name)) continue;
      candidates.push({
        name: upstream.name,
        outstanding: upstream.live.size,
        limit: usableLimit(upstream),
      });
    }
    return candidates;
  }

  function refuse(
    request: QueuedRequest,
    error: ErrorKind,
    detail: string,
  ): void {
    const asked = waiting.get(request.id);
    waiting.delete(request.id);
    if (!asked) return;
    const { ask, link } = asked;
    const retryAfterMs = RETRY_AFTER_MS;
    const kind = MessageKind.Refuse;
    link.send({ kind, id: ask.id, error, detail, retryAfterMs });
    timeline.record(EventKind.PermitRefused, ask.request, {
      ask: ask.id,
      error,
    });
    metrics.count(MetricName.PermitsRefused, 1, { class: ask.className });
  }

  function grant(request: QueuedRequest, upstreamName: string): void {
    const asked = waiting.get(request.id);
    waiting.delete(request.id);
    if (!asked) return;
    const { ask, link } = asked;
    const pool = ask.pool;
    const permit = createId("permit");
    known.get(upstreamName)!.live.set(permit, {
      permit,
      pool,
      upstream: upstreamName,
      className: ask.className,
      client: ask.client,
      fingerprint: ask.fingerprint,
    });
    link.send({
      kind: MessageKind.Grant,
      id: ask.id,
      permit,
      pool,
      upstream: upstreamName,
      stamp: options.stampOf(link),
    });
    timeline.record(EventKind.PermitGranted, ask.request, {
      ask: ask.id,
      permit,
      upstream: upstreamName,
    });
    metrics.count(MetricName.PermitsGranted, 1, { class: ask.className });
  }

  function pump(): void {
    for (const request of queue.takeExpired(clock.now())) {
      refuse(request, ErrorKind.Overloaded, "the wait was too long");
    }
    const upstreams = currentUpstreams();
    while (true) {
      let chosen: UpstreamCandidate | undefined;
      const request = queue.takeNext((next) => {
        chosen = chooseUpstream(candidatesFor(next, upstreams));
        return chosen !== undefined;
      });
      if (!request || !chosen) return;
      grant(request, chosen.name);
    }
  }

  function ask(message: AskMessage, link: Link): void {
    const document = view.documentOf(name.service);
    const requestClass = document?.classes
      .find((entry) => entry.name === message.className);
    const nowMs = clock.now();
    const request: QueuedRequest = {
      id: message.id,
      className: message.className,
      tier: requestClass?.tier ?? 4,
      client: message.client,
      clientWeight: document?.clients[message.client]?.weight ?? 1,
      floorShare: requestClass?.floorShare ?? 0,
      deadlineMs: nowMs + message.queueMs,
      arrivedMs: nowMs,
      avoid: message.avoid,
      prefix: message.prefix,
      promptTokens: message.promptTokens,
      fingerprint: message.fingerprint,
    };
    classesSeen.add(message.className);
    waiting.set(message.id, { ask: message, link });
    if (candidatesFor(request, currentUpstreams()).length === 0) {
      refuse(request, ErrorKind.NoUpstream, "no upstream can serve it");
      return;
    }
    queue.add(request);
    pump();
  }

  function finish(message: DoneMessage): void {
    const upstream = known.get(message.upstream);
    if (!upstream?.live.delete(message.permit)) return;
    const { permit, outcome } = message;
    timeline.record(EventKind.PermitReturned, "", { permit, outcome });
    upstream.limit.onFinished(message, clock.now());
    pump();
  }

  function free(): number {
    let room = 0;
    for (const upstream of currentUpstreams()) {
      room += Math.max(0, usableLimit(upstream) - upstream.live.size);
    }
    return room;
  }

  function upstreams(): UpstreamStatus[] {
    return currentUpstreams().map((upstream) => ({
      name: upstream.name,
      address: upstream.entry.address,
      limit: upstream.limit.current(),
      live: upstream.live.size,
    }));
  }

  function queueByClass(): Record<string, number> {
    const lengths: Record<string, number> = {};
    // A class whose queue is empty again is told with 0, not left out.
    for (const className of classesSeen) lengths[className] = 0;
    for (const { ask: { className } } of waiting.values()) {
      lengths[className]++;
    }
    return lengths;
  }

  return {
    name,
    ask,
    cancel(id) {
      queue.remove(id);
      waiting.delete(id);
    },
    done: finish,
    adopt(permit) {
      currentUpstreams();
      known.get(permit.upstream)?.live.set(permit.permit, permit);
    },
    report(upstream, report) {
      known.get(upstream)?.limit.onReport(report, clock.now());
      pump();
    },
    dropLink(link) {
      for (const [id, asked] of waiting) {
        if (asked.link !== link) continue;
        waiting.delete(id);
        queue.remove(id);
      }
    },
    pump,
    summary: () => ({ pool: text, free: free(), waitMs: [] }),
    upstreams,
    status: () => ({
      pool: text,
      queue: queueByClass(),
      upstreams: upstreams(),
    }),
  };
}
