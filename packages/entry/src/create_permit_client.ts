import { formatPool, type PoolName } from "@rosemarytiller/document";
import { GRANT_VALID_MS } from "@rosemarytiller/lease";
import {
  createReconnectingLink,
  type GrantMessage,
  handleMessage,
  type Link,
  type LinkIdentity,
  type LivePermit,
  type MessageHandlers,
  MessageKind,
  type PublishedVm,
  type ReconnectingLink,
  type RefuseMessage,
} from "@rosemarytiller/link";
import {
  createFleetExchange,
  type FleetView,
  isUpstreamAvailable,
} from "@rosemarytiller/platform";
import {
  CallOutcome,
  type Clock,
  createId,
  ErrorKind,
  EventKind,
  repeat,
  sleep,
  TillerError,
  UpstreamKind,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import type { Call } from "./call.ts";
import { createBacking } from "./create_backing.ts";

/**
 * Interval at which the leaders of pending permit requests are checked, and
 * delay before a request looks again for a leader if it found none.
 */
export const LEADER_POLL_MS = 50;
/**
 * Extra time after a request's maximum time in the queue for the refusal to
 * arrive.
 */
export const PERMIT_REQUEST_GRACE_MS = 100;
/** Retry delay for the caller if no leader answered in time. */
export const NO_LEADER_RETRY_AFTER_MS = 1000;

/** How a call ended, reported to the leader that granted its permit. */
export interface CallReport {
  outcome: CallOutcome;
  /** As in `AttemptResult`; -1 if nothing arrived. */
  firstTokenMs: number;
  totalMs: number;
  /** As in `AttemptResult`. */
  tokens: number;
}

/** A permit for one call to one upstream, granted to this entry. */
export interface Permit {
  /** Identifier of the permit. */
  permit: string;
  pool: string;
  upstream: string;
  /** Monotonic time until which the call may start, in milliseconds. */
  validUntilMs: number;
}

/** Limits of a permit request. */
export interface PermitRequestOptions {
  /** Upstreams that the request should not be sent to again. */
  avoid: string[];
  /** Whether this is a retry of the request. */
  retry: boolean;
  /** Monotonic time until which the request may wait, in milliseconds. */
  waitUntilMs: number;
  signal: AbortSignal;
}

/** Requests permits from the leaders of pools, and returns them. */
export interface PermitClient {
  /** Waits for a permit of a pool; throws `TillerError` when refused. */
  acquire(
    call: Call,
    pool: PoolName,
    options: PermitRequestOptions,
  ): Promise<Permit>;
  /** Returns a permit after its call has ended. */
  release(permit: Permit, report: CallReport): void;
  /** Number of permits whose calls are in progress. */
  liveCount(): number;
  /** Whether this entry can back a leader yet. */
  isReady(): boolean;
  close(): void;
}

interface PendingRequest {
  /** Ends the request; without an answer it is sent again. */
  settle(answer: GrantMessage | RefuseMessage | undefined): void;
  pool: string;
  link: Link;
}

/** Dependencies of a permit client. */
export interface PermitClientOptions {
  identity: LinkIdentity;
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** `host:port` of the broker on the same VM. */
  ownBroker: string;
  /** Broker addresses by VM name; they override those of the VM list. */
  linkAddresses: Record<string, string>;
}

/**
 * Creates a permit client. It opens links to the brokers that may lead, backs
 * leaders over them, and receives documents and the VM list for the view.
 */
export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { identity, view, clock, timeline, ownBroker, linkAddresses } = options;
  const links = new Map<string, ReconnectingLink>();
  const pending = new Map<string, PendingRequest>();
  const livePermits = new Map<string, LivePermit>();
  /** VM of the broker that granted each live permit, and the kind of call. */
  const granted = new Map<string, { vm: string; streamed: boolean }>();

  const backing = createBacking({
    vm: identity.vm,
    view,
    clock,
    timeline,
    linkTo: (vm) => linkTo(vm.name, addressOf(vm)),
    livePermits: () => livePermits.values(),
    onLeaderChange: redirectRequests,
  });
  const exchange = createFleetExchange(view, { clock, role: identity.role });
  const handlers: MessageHandlers<Link> = {
    ...exchange.handlers,
    [MessageKind.Grant]: settle,
    [MessageKind.Refuse]: settle,
    ...backing.handlers,
  };

  function settle(answer: GrantMessage | RefuseMessage, link: Link): void {
    const request = pending.get(answer.id);
    if (request) {
      request.settle(answer);
      return;
    }
    if (answer.kind === MessageKind.Grant) returnGrant(answer, link);
  }

  /** Returns a grant under which no call will start. */
  function returnGrant(grant: GrantMessage, link: Link, pool = ""): void {
    const { permit, upstream } = grant;
    link.send({
      kind: MessageKind.PermitReturn,
      permit,
      pool,
      upstream,
      ...UNUSED_REPORT,
      streamed: false,
    });
  }

  async function serve(link: Link): Promise<void> {
    exchange.addLink(link);
    backing.open(link);
    await link.messages.observe((message) => {
      handleMessage(handlers, message, link);
    });
    exchange.removeLink(link);
    backing.close(link);
    for (const request of [...pending.values()]) {
      if (request.link === link) request.settle(undefined);
    }
  }

  /**
   * Cancels each pending request if another broker is now responsible for its
   * pool, or if none is and its own broker is unreachable. The request is sent
   * again once a broker is found.
   */
  function redirectRequests(): void {
    const leaders = new Map<string, Link | undefined>();
    for (const [id, request] of [...pending]) {
      if (!leaders.has(request.pool)) {
        leaders.set(request.pool, backing.leaderLink(request.pool));
      }
      const link = leaders.get(request.pool);
      if (link === request.link) continue;
      if (!link && backing.isReachable(request.link)) continue;
      request.link.send({ kind: MessageKind.CancelPermitRequest, id });
      request.settle(undefined);
    }
  }

  function addressOf(vm: PublishedVm): string {
    if (vm.name === identity.vm) return ownBroker;
    return linkAddresses[vm.name] ?? vm.broker;
  }

  function linkTo(vm: string, address: string): Link | undefined {
    let link = links.get(vm);
    if (!link) {
      link = createReconnectingLink(address, identity, { clock, serve });
      links.set(vm, link);
    }
    return link.current();
  }

  /** Sends one request; `undefined` if it is cancelled or not answered. */
  function sendRequest(
    link: Link,
    call: Call,
    rest: { pool: string; avoid: string[]; retry: boolean; queueMs: number },
    signal: AbortSignal,
  ): Promise<GrantMessage | RefuseMessage | undefined> {
    const id = createId("ask");
    return new Promise((resolve) => {
      function onAbort(): void {
        link.send({ kind: MessageKind.CancelPermitRequest, id });
        finish(undefined);
      }
      function finish(
        answer: GrantMessage | RefuseMessage | undefined,
      ): void {
        signal.removeEventListener("abort", onAbort);
        cancelTimer();
        pending.delete(id);
        resolve(answer);
      }
      // A reachable leader refuses before this, with a more specific reason.
      const cancelTimer = clock.after(
        rest.queueMs + PERMIT_REQUEST_GRACE_MS,
        onAbort,
      );
      signal.addEventListener("abort", onAbort, { once: true });
      pending.set(id, { settle: finish, pool: rest.pool, link });
      timeline.record(EventKind.PermitAsked, call.requestId, {
        ask: id,
        pool: rest.pool,
        leader: link.vm,
      });
      link.send({
        kind: MessageKind.PermitRequest,
        id,
        request: call.requestId,
        className: call.requestClass.name,
        client: call.client,
        promptTokens: call.promptTokens,
        prefix: call.prefixHash,
        fingerprint: call.fingerprint,
        stamp: backing.stamp(),
        ...rest,
      });
    });
  }

  linkTo(identity.vm, ownBroker);
  const cancelPoll = repeat(clock, LEADER_POLL_MS, redirectRequests);
  return {
    async acquire(call, poolName, { avoid, retry, waitUntilMs, signal }) {
      const pool = formatPool(poolName);
      const closedUpstreams: string[] = [];
      while (!signal.aborted) {
        const queueMs = Math.ceil(waitUntilMs - clock.now());
        if (queueMs <= 0) break;
        const link = backing.leaderLink(pool);
        if (!link) {
          await sleep(clock, LEADER_POLL_MS);
          continue;
        }
        const rest = {
          pool,
          avoid: [...avoid, ...closedUpstreams],
          retry,
          queueMs,
        };
        const answer = await sendRequest(link, call, rest, signal);
        if (!answer) continue;
        if (answer.kind === MessageKind.Refuse) {
          const { error, detail, retryAfterMs } = answer;
          throw new TillerError(error, detail, { retryAfterMs });
        }
        const { permit, upstream } = answer;
        const validUntilMs = answer.stamp + GRANT_VALID_MS;
        // No call may start if the grant expired, as after a suspension of this
        // process, or if this entry backs another leader by now.
        const isLate = clock.now() >= validUntilMs;
        if (isLate || !backing.acceptGrant(pool, link)) {
          returnGrant(answer, link, pool);
          continue;
        }
        // This entry may learn before the leader that an upstream is out of
        // service; another upstream is requested then.
        if (!isUpstreamAvailable(view, poolName.service, upstream)) {
          returnGrant(answer, link, pool);
          closedUpstreams.push(upstream);
          continue;
        }
        const { name: className } = call.requestClass;
        const { client, fingerprint } = call;
        livePermits.set(permit, {
          permit,
          pool,
          upstream,
          className,
          client,
          fingerprint,
        });
        granted.set(permit, { vm: link.vm, streamed: isStreamed(call) });
        return { permit, pool, upstream, validUntilMs };
      }
      throw new TillerError(
        ErrorKind.Overloaded,
        "no broker assigned an upstream while the request was queued; " +
          "retry later",
        { retryAfterMs: NO_LEADER_RETRY_AFTER_MS },
      );
    },
    release({ permit, pool, upstream }, report) {
      livePermits.delete(permit);
      const { vm: granter = "", streamed = false } = granted.get(permit) ?? {};
      granted.delete(permit);
      const done = {
        kind: MessageKind.PermitReturn as const,
        permit,
        pool,
        upstream,
        ...report,
        firstTokenMs: Math.round(report.firstTokenMs),
        totalMs: Math.round(report.totalMs),
        streamed,
      };
      // Leadership may have moved since the permit was granted.
      const recipients = new Set([
        links.get(granter)?.current(),
        backing.leaderLink(pool),
      ]);
      for (const link of recipients) link?.send(done);
    },
    isReady: backing.isReady,
    liveCount: () => livePermits.size,
    close() {
      backing.stop();
      cancelPoll();
      for (const link of links.values()) link.close();
    },
  };
}

/** As in `PermitReturnMessage`; a plain service's response is relayed. */
function isStreamed({ kind, stream }: Call): boolean {
  return kind !== UpstreamKind.ModelRunner || stream;
}

const UNUSED_REPORT: CallReport = {
  outcome: CallOutcome.Unused,
  firstTokenMs: -1,
  totalMs: 0,
  tokens: 0,
};
