import type { PoolStatus, UpstreamStatus } from "@rosemarytiller/admin";
import {
  parsePool,
  type PoolName,
  type RequestClass,
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
  createAdmission,
  createPlacements,
  createRequestQueue,
  FingerprintState,
  type LoadReport,
  MAX_WAITING,
  type Quarantine,
  type QueuedRequest,
  type UpstreamCandidate,
} from "@rosemarytiller/policy";
import {
  CallOutcome,
  type Clock,
  createId,
  ErrorKind,
  EventKind,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import { createContainment } from "./create_containment.ts";
import { createDeadlineTimer } from "./create_deadline_timer.ts";
import { createIsolation } from "./create_isolation.ts";
import {
  createPoolUpstreams,
  type PoolUpstream,
} from "./create_pool_upstreams.ts";
import { createWaitingAsks } from "./create_waiting_asks.ts";
import {
  countByClass,
  describeUpstreams,
  summarizePool,
  TIERS,
} from "./describe_pool.ts";

/** What a caller is told of a quarantined request. */
const QUARANTINED_DETAIL = "upstreams crashed with this request in flight";
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
  /** Hears of each permit as it is granted. */
  onGranted?(permit: LivePermit, link: Link): void;
  /** Fingerprints that were in flight at crashes, of all pools. */
  quarantine: Quarantine;
  /** Numbers from 0 to 1 for the jitter of refusals. */
  random?: () => number;
}

/** A pool that this broker leads. */
export interface Pool {
  readonly name: PoolName;
  ask(message: AskMessage, link: Link): void;
  cancel(id: string): void;
  done(message: DoneMessage): void;
  /** Takes over the permits that an entry still holds. */
  adopt(permit: LivePermit): void;
  /** Drops a permit whose end is not known; its limit learns nothing. */
  forget(permit: string): void;
  /** Takes a load report of an upstream. */
  report(upstream: string, report: LoadReport): void;
  /** Treats waiting requests by what is now held of a fingerprint. */
  recheck(fingerprint: string): void;
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
  const { view, clock, timeline, metrics, quarantine } = options;
  const name = parsePool(text);
  const queue = createRequestQueue();
  const admission = createAdmission({
    queue,
    random: options.random,
    outstanding: () => upstreams.outstanding(),
  });
  const upstreams = createPoolUpstreams(name, options);
  const placements = createPlacements();
  const containment = createContainment(quarantine);
  const waiting = createWaitingAsks();
  const isolation = createIsolation({ queue, asks: waiting, quarantine });
  const classesSeen = new Set<string>();
  const deadlines = createDeadlineTimer(clock, pump);

  function findClass(className: string): RequestClass | undefined {
    return view.documentOf(name.service)?.classes
      .find((entry) => entry.name === className);
  }

  function choose(
    request: QueuedRequest,
    among: readonly PoolUpstream[],
  ): UpstreamCandidate | undefined {
    const candidates = upstreams.candidatesFor(request, among)
      .filter(({ name }) =>
        containment.allows(request, upstreams.find(name)!, among)
      );
    const preferred = placements.find(request.prefix);
    return chooseUpstream(candidates, { preferred });
  }

  function usableFor(
    request: QueuedRequest,
    among: readonly PoolUpstream[],
  ): PoolUpstream[] {
    return upstreams.candidatesFor(request, among)
      .map(({ name }) => upstreams.find(name)!);
  }

  function refuse(
    request: QueuedRequest,
    error: ErrorKind,
    detail: string,
  ): void {
    const asked = waiting.take(request.id);
    if (!asked) return;
    const { ask, link } = asked;
    const retryAfterMs = error === ErrorKind.Quarantined
      ? quarantine.remainingMs(request.fingerprint)
      : admission.retryAfterMs(request, clock.now());
    const kind = MessageKind.Refuse;
    link.send({ kind, id: ask.id, error, detail, retryAfterMs });
    timeline.record(EventKind.PermitRefused, ask.request, {
      ask: ask.id,
      error,
    });
    metrics.count(MetricName.PermitsRefused, 1, { class: ask.className });
  }

  function grant(request: QueuedRequest, upstreamName: string): void {
    const asked = waiting.take(request.id);
    if (!asked) return;
    const { ask, link } = asked;
    const pool = ask.pool;
    const permit = createId("permit");
    const live: LivePermit = {
      permit,
      pool,
      upstream: upstreamName,
      className: ask.className,
      client: ask.client,
      fingerprint: ask.fingerprint,
    };
    upstreams.find(upstreamName)!.live.set(permit, live);
    placements.note(ask.prefix, upstreamName);
    containment.onGranted(live, clock.now());
    options.onGranted?.(live, link);
    link.send({
      kind: MessageKind.Grant,
      id: ask.id,
      permit,
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
    const among = upstreams.current();
    containment.reserve(isolation.waiting(), {
      all: among,
      usableFor: (request) => usableFor(request, among),
    });
    const hasRoom = (request: QueuedRequest) => !!choose(request, among);
    while (true) {
      const request = queue.takeNext(hasRoom);
      if (!request) break;
      const chosen = choose(request, among);
      if (!chosen) {
        // A backer's lease ran out since the room was seen.
        queue.add(request);
        break;
      }
      admission.onGranted(clock.now());
      grant(request, chosen.name);
    }
    const canGrant = upstreams.hasShare(among);
    admission.onQueueChanged(clock.now(), { canGrant });
    deadlines.set(queue.nextDeadlineMs());
  }

  function queuedRequest(message: AskMessage): QueuedRequest {
    const { id, className, client, queueMs } = message;
    const requestClass = findClass(className);
    const document = view.documentOf(name.service);
    const targetMs = requestClass?.firstTokenMs ?? Infinity;
    const usefulMs = admission.usefulWaitMs(className, { queueMs, targetMs });
    const nowMs = clock.now();
    return {
      id,
      className,
      tier: requestClass?.tier ?? TIERS,
      client,
      clientWeight: document?.clients[client]?.weight ?? 1,
      floorShare: requestClass?.floorShare ?? 0,
      deadlineMs: nowMs + usefulMs,
      arrivedMs: nowMs,
      avoid: message.avoid,
      prefix: message.prefix,
      promptTokens: message.promptTokens,
      fingerprint: message.fingerprint,
    };
  }

  function ask(message: AskMessage, link: Link): void {
    const request = queuedRequest(message);
    const among = upstreams.current();
    classesSeen.add(message.className);
    isolation.onArrived(request, among);
    waiting.add({ ask: message, link, request });
    if (isQuarantined(request)) {
      refuse(request, ErrorKind.Quarantined, QUARANTINED_DETAIL);
      return;
    }
    if (upstreams.candidatesFor(request, among).length === 0) {
      refuse(request, ErrorKind.NoUpstream, "no upstream can serve it");
      return;
    }
    const reason = admission.refuseOnArrival(request, {
      retry: message.retry,
      hasRoom: choose(request, among) !== undefined,
      nowMs: clock.now(),
    });
    if (reason) {
      refuse(request, ErrorKind.Overloaded, reason);
      return;
    }
    queue.add(request);
    boundQueue();
    pump();
  }

  function isQuarantined({ fingerprint }: QueuedRequest): boolean {
    return quarantine.stateOf(fingerprint) === FingerprintState.Quarantined;
  }

  function recheck(fingerprint: string): void {
    for (const request of waiting.withFingerprint(fingerprint)) {
      if (isQuarantined(request)) {
        queue.remove(request.id);
        refuse(request, ErrorKind.Quarantined, QUARANTINED_DETAIL);
      } else isolation.isolate(request);
    }
  }

  function boundQueue(): void {
    while (queue.boundedSize() > MAX_WAITING) {
      const victim = queue.takeVictim();
      if (!victim) return;
      refuse(victim, ErrorKind.Overloaded, "the queue is full");
    }
  }

  function remove(id: string): void {
    queue.remove(id);
    waiting.take(id);
  }

  function finish(message: DoneMessage): void {
    const { permit, outcome, firstTokenMs } = message;
    const upstream = upstreams.find(message.upstream);
    const live = upstream?.live.get(permit);
    if (!upstream || !live) return;
    const targetMs = findClass(live.className)?.firstTokenMs;
    upstream.limit.onFinished({ ...message, targetMs }, clock.now());
    containment.onDone(upstream, live, { outcome, nowMs: clock.now() });
    upstream.live.delete(permit);
    timeline.record(EventKind.PermitReturned, "", { permit, outcome });
    if (outcome === CallOutcome.Crashed) placements.forget(upstream.name);
    admission.onFirstToken(live.className, firstTokenMs);
    if (outcome === CallOutcome.Complete) {
      admission.onCallEnded(message.totalMs);
    }
    pump();
  }

  function upstreamStatus(): UpstreamStatus[] {
    return describeUpstreams(upstreams, clock.now());
  }

  return {
    name,
    ask,
    cancel: remove,
    done: finish,
    adopt(permit) {
      upstreams.current();
      upstreams.find(permit.upstream)?.live.set(permit.permit, permit);
    },
    forget(permit) {
      for (const upstream of upstreams.current()) upstream.live.delete(permit);
      containment.forget(permit);
    },
    report(upstreamName, report) {
      const upstream = upstreams.find(upstreamName);
      if (!upstream) return;
      upstream.limit.onReport(report, clock.now());
      containment.onReport(upstream, report, clock.now());
      pump();
    },
    recheck,
    dropLink(link) {
      for (const asked of [...waiting.all()]) {
        if (asked.link === link) remove(asked.request.id);
      }
    },
    pump,
    summary: () =>
      summarizePool(text, { upstreams, admission, nowMs: clock.now() }),
    upstreams: upstreamStatus,
    status: () => ({
      pool: text,
      queue: countByClass(waiting, classesSeen),
      upstreams: upstreamStatus(),
    }),
  };
}
