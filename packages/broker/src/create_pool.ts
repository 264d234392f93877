import type { PoolStatus, UpstreamStatus } from "@rosemarytiller/admin";
import {
  parsePool,
  type PoolName,
  type RequestClass,
} from "@rosemarytiller/document";
import {
  type Link,
  type LivePermit,
  MessageKind,
  type PermitRequestMessage,
  type PermitReturnMessage,
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
  MAX_QUEUED,
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
import {
  createPendingRequests,
  type PendingRequest,
} from "./create_pending_requests.ts";
import {
  countByClass,
  describeUpstreams,
  summarizePool,
  TIER_COUNT,
} from "./describe_pool.ts";

/** Shortest time between two recorded changes of an upstream's limit, in ms. */
export const LIMIT_RECORD_INTERVAL_MS = 5000;
/** Error detail that the caller of a quarantined request receives. */
const QUARANTINED_DETAIL =
  "upstreams crashed while this request was in progress; do not send it again " +
  "unchanged";
/** Error detail that the caller receives when its queue time is over. */
const EXPIRED_DETAIL =
  "no upstream became free while the request was queued; retry later";

/** What a broker passes to each of its pools. */
export interface PoolOptions {
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  metrics: Metrics;
  /**
   * Number of calls, including those in flight, that this leader may have at an
   * upstream now, out of the upstream's limit.
   */
  allowanceOf(upstream: string, limit: number): number;
  /**
   * Newest stamp received from the process at the other end of a link, a time
   * of its monotonic clock in milliseconds.
   */
  stampOf(link: Link): number;
  /** Called for each permit before its grant is sent. */
  onGranted?(permit: LivePermit, link: Link): void;
  /** Fingerprints that were in flight at crashes; shared by all pools. */
  quarantine: Quarantine;
  /** Source of numbers from 0 to 1 for the jitter of Retry-After. */
  random?: () => number;
}

/** A pool that this broker leads. */
export interface Pool {
  readonly name: PoolName;
  /** Queues, grants or refuses a permit request; answers on the link. */
  onPermitRequest(message: PermitRequestMessage, link: Link): void;
  /** Drops a pending permit request. */
  cancel(id: string): void;
  /** Records the end of a permit's call; unknown permits are ignored. */
  onDone(message: PermitReturnMessage): void;
  /** Adds a permit listed by an entry, such as one of an earlier leader. */
  adopt(permit: LivePermit): void;
  /** Drops a permit of unknown outcome without adapting the limit. */
  dropPermit(permit: string): void;
  /** Applies a load report of an upstream. */
  onLoadReport(upstream: string, loadReport: LoadReport): void;
  /**
   * Applies a change of a fingerprint's quarantine state to its pending
   * requests: refuses them if it is quarantined and isolates them if not.
   */
  applyQuarantine(fingerprint: string): void;
  /** Drops the pending permit requests of a link that has closed. */
  dropLink(link: Link): void;
  /** Takes a link's permit requests out of the queue until `resumeLink`. */
  suspendLink(link: Link): void;
  /** Queues the suspended permit requests of a link again. */
  resumeLink(link: Link): void;
  /** Refuses the requests that timed out and grants those that can start. */
  processQueue(): void;
  /**
   * Records the limits that have changed since they were last recorded, each at
   * most once in `LIMIT_RECORD_INTERVAL_MS`.
   */
  recordLimits(): void;
  /**
   * Refuses the pending requests that no upstream may serve by a new document
   * or VM list, so that their entries turn to other pools, and processes the
   * queue.
   */
  onFleetChanged(): void;
  summary(): PoolSummary;
  upstreams(): UpstreamStatus[];
  status(): PoolStatus;
}

/** Creates the pool named `service/target@dataCentre` with an empty queue. */
export function createPool(fullName: string, options: PoolOptions): Pool {
  const { view, clock, timeline, metrics, quarantine } = options;
  const name = parsePool(fullName);
  const queue = createRequestQueue();
  const upstreams = createPoolUpstreams(name, options);
  const admission = createAdmission({
    queue,
    random: options.random,
    running: upstreams.running,
  });
  const placements = createPlacements();
  const containment = createContainment(quarantine);
  const pendingRequests = createPendingRequests();
  /** Requests that are not granted for now, by link and id. */
  const suspended = new Map<Link, Map<string, PendingRequest>>();
  const isolation = createIsolation({
    queue,
    pendingRequests,
    quarantine,
  });
  const seenClasses = new Set<string>();
  const recordedLimits = new Map<string, { limit: number; atMs: number }>();
  const queueTimer = createDeadlineTimer(clock, processQueue);

  function findClass(className: string): RequestClass | undefined {
    return view.documentOf(name.service)?.classes
      .find((entry) => entry.name === className);
  }

  function choose(
    request: QueuedRequest,
    openUpstreams: readonly PoolUpstream[],
  ): UpstreamCandidate | undefined {
    const candidates = upstreams.candidatesFor(request, openUpstreams)
      .filter(({ name }) =>
        containment.allows(request, upstreams.find(name)!, openUpstreams)
      );
    const preferred = placements.find(request.prefix);
    return chooseUpstream(candidates, { preferred });
  }

  function usableFor(
    request: QueuedRequest,
    openUpstreams: readonly PoolUpstream[],
  ): PoolUpstream[] {
    return upstreams.candidatesFor(request, openUpstreams)
      .map(({ name }) => upstreams.find(name)!);
  }

  function refuse(
    request: QueuedRequest,
    error: ErrorKind,
    detail: string,
  ): void {
    const pending = pendingRequests.remove(request.id);
    if (!pending) return;
    const { message, link } = pending;
    const retryAfterMs = error === ErrorKind.Quarantined
      ? quarantine.remainingMs(request.fingerprint)
      : admission.retryAfterMs(request, clock.now());
    const kind = MessageKind.Refuse;
    link.send({ kind, id: message.id, error, detail, retryAfterMs });
    timeline.record(EventKind.PermitRefused, message.request, {
      ask: message.id,
      error,
    });
    metrics.count(MetricName.PermitsRefused, 1, { class: message.className });
  }

  function grant(request: QueuedRequest, upstreamName: string): void {
    const pending = pendingRequests.remove(request.id);
    if (!pending) return;
    const { message, link } = pending;
    const pool = message.pool;
    const permit = createId("permit");
    const live: LivePermit = {
      permit,
      pool,
      upstream: upstreamName,
      className: message.className,
      client: message.client,
      fingerprint: message.fingerprint,
    };
    upstreams.startCall(live);
    placements.record(message.prefix, upstreamName);
    containment.onGranted(live, clock.now());
    options.onGranted?.(live, link);
    link.send({
      kind: MessageKind.Grant,
      id: message.id,
      permit,
      upstream: upstreamName,
      stamp: options.stampOf(link),
    });
    timeline.record(EventKind.PermitGranted, message.request, {
      ask: message.id,
      permit,
      upstream: upstreamName,
    });
    metrics.count(MetricName.PermitsGranted, 1, { class: message.className });
  }

  function processQueue(): void {
    for (const request of queue.takeExpired(clock.now())) {
      refuse(request, ErrorKind.Overloaded, EXPIRED_DETAIL);
    }
    const openUpstreams = upstreams.current();
    containment.reserve(isolation.pending(), {
      all: openUpstreams,
      usableFor: (request) => usableFor(request, openUpstreams),
    });
    const hasCapacity = (request: QueuedRequest) =>
      !!choose(request, openUpstreams);
    while (true) {
      const request = queue.takeNext(hasCapacity);
      if (!request) break;
      const chosen = choose(request, openUpstreams);
      if (!chosen) {
        // A backer's lease expired after `hasCapacity` had returned true.
        queue.add(request);
        break;
      }
      admission.onGranted(clock.now());
      grant(request, chosen.name);
    }
    const canGrant = upstreams.hasAllowance(openUpstreams);
    admission.onQueueChanged(clock.now(), { canGrant });
    queueTimer.set(queue.nextDeadlineMs());
  }

  function createQueuedRequest(message: PermitRequestMessage): QueuedRequest {
    const { id, className, client, queueMs } = message;
    const requestClass = findClass(className);
    const document = view.documentOf(name.service);
    const targetMs = requestClass?.firstTokenMs ?? Infinity;
    const usefulMs = admission.usefulWaitMs(className, { queueMs, targetMs });
    const nowMs = clock.now();
    return {
      id,
      className,
      tier: requestClass?.tier ?? TIER_COUNT,
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

  function onPermitRequest(message: PermitRequestMessage, link: Link): void {
    const request = createQueuedRequest(message);
    const openUpstreams = upstreams.current();
    seenClasses.add(message.className);
    isolation.onArrived(request, openUpstreams);
    pendingRequests.add({ message, link, request });
    if (isQuarantined(request)) {
      refuse(request, ErrorKind.Quarantined, QUARANTINED_DETAIL);
      return;
    }
    if (upstreams.candidatesFor(request, openUpstreams).length === 0) {
      refuse(request, ErrorKind.NoUpstream, describeNoUpstream(request));
      return;
    }
    const reason = admission.refuseOnArrival(request, {
      isRetry: message.retry,
      hasFreeCapacity: choose(request, openUpstreams) !== undefined,
      nowMs: clock.now(),
    });
    if (reason) {
      refuse(request, ErrorKind.Overloaded, reason);
      return;
    }
    queue.add(request);
    shedOverflow();
    processQueue();
  }

  function describeNoUpstream({ avoid }: QueuedRequest): string {
    const upstream = avoid.length > 0 ? "other upstream" : "upstream";
    return `no ${upstream} in data centre "${name.dataCentre}" can take the ` +
      "request now; retry later";
  }

  function isQuarantined({ fingerprint }: QueuedRequest): boolean {
    return quarantine.stateOf(fingerprint) === FingerprintState.Quarantined;
  }

  function applyQuarantine(fingerprint: string): void {
    for (const request of pendingRequests.withFingerprint(fingerprint)) {
      if (isQuarantined(request)) {
        queue.remove(request.id);
        refuse(request, ErrorKind.Quarantined, QUARANTINED_DETAIL);
      } else isolation.isolate(request);
    }
  }

  function refuseUnservable(): void {
    const openUpstreams = upstreams.current();
    for (const { request } of [...pendingRequests.all()]) {
      if (upstreams.candidatesFor(request, openUpstreams).length > 0) continue;
      queue.remove(request.id);
      refuse(request, ErrorKind.NoUpstream, describeNoUpstream(request));
    }
  }

  function shedOverflow(): void {
    while (queue.boundedSize() > MAX_QUEUED) {
      const victim = queue.takeVictim();
      if (!victim) return;
      refuse(victim, ErrorKind.Overloaded, "the queue is full; retry later");
    }
  }

  function remove(id: string): void {
    queue.remove(id);
    pendingRequests.remove(id);
    for (const requests of suspended.values()) requests.delete(id);
  }

  function pendingOf(link: Link): PendingRequest[] {
    return [...pendingRequests.all()].filter((one) => one.link === link);
  }

  function suspendLink(link: Link): void {
    const requests = suspended.get(link) ?? new Map();
    for (const pending of pendingOf(link)) {
      remove(pending.request.id);
      requests.set(pending.request.id, pending);
    }
    if (requests.size > 0) suspended.set(link, requests);
  }

  function resumeLink(link: Link): void {
    const requests = suspended.get(link);
    if (!requests) return;
    suspended.delete(link);
    const openUpstreams = upstreams.current();
    for (const pending of requests.values()) {
      const { request } = pending;
      request.isolation = undefined;
      isolation.onArrived(request, openUpstreams);
      pendingRequests.add(pending);
      if (isQuarantined(request)) {
        refuse(request, ErrorKind.Quarantined, QUARANTINED_DETAIL);
      } else queue.add(request);
    }
    refuseUnservable();
    shedOverflow();
    processQueue();
  }

  function onDone(message: PermitReturnMessage): void {
    const { permit, outcome, firstTokenMs, streamed } = message;
    const upstream = upstreams.find(message.upstream);
    const live = upstream?.live.get(permit);
    if (!upstream || !live) return;
    const targetMs = findClass(live.className)?.firstTokenMs;
    upstream.limit.onFinished({ ...message, targetMs }, clock.now());
    containment.onDone(upstream, live, { outcome, nowMs: clock.now() });
    upstream.live.delete(permit);
    timeline.record(EventKind.PermitReturned, "", { permit, outcome });
    if (outcome === CallOutcome.Crashed) placements.forget(upstream.name);
    if (streamed) admission.onFirstToken(live.className, firstTokenMs);
    if (outcome === CallOutcome.Complete) {
      admission.onCallEnded(message.totalMs);
    }
    processQueue();
  }

  function recordLimits(): void {
    const nowMs = clock.now();
    for (const { name: upstream, limit } of upstreamStatus()) {
      const last = recordedLimits.get(upstream);
      // The limit that an upstream starts with is in the document.
      if (!last) recordedLimits.set(upstream, { limit, atMs: -Infinity });
      if (!last || last.limit === limit) continue;
      if (nowMs - last.atMs < LIMIT_RECORD_INTERVAL_MS) continue;
      recordedLimits.set(upstream, { limit, atMs: nowMs });
      timeline.record(EventKind.LimitChanged, "", {
        pool: fullName,
        upstream,
        limit,
      });
    }
  }

  function upstreamStatus(): UpstreamStatus[] {
    return describeUpstreams(upstreams, clock.now());
  }

  return {
    name,
    onPermitRequest,
    cancel: remove,
    onDone,
    adopt(permit) {
      upstreams.current();
      upstreams.startCall(permit);
    },
    dropPermit(permit) {
      for (const { live } of upstreams.all()) live.delete(permit);
      containment.dropPermit(permit);
    },
    onLoadReport(upstreamName, report) {
      const upstream = upstreams.find(upstreamName);
      if (!upstream) return;
      upstream.limit.onReport(report, clock.now());
      containment.onReport(upstream, report, clock.now());
      processQueue();
    },
    applyQuarantine,
    dropLink(link) {
      suspended.delete(link);
      for (const { request } of pendingOf(link)) remove(request.id);
    },
    suspendLink,
    resumeLink,
    processQueue,
    recordLimits,
    onFleetChanged() {
      refuseUnservable();
      processQueue();
    },
    summary: () =>
      summarizePool(fullName, { upstreams, admission, nowMs: clock.now() }),
    upstreams: upstreamStatus,
    status: () => ({
      pool: fullName,
      queue: countByClass(pendingRequests, seenClasses),
      upstreams: upstreamStatus(),
    }),
  };
}
