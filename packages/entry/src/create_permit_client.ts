import { formatPool, type PoolName } from "@rosemarytiller/document";
import { GRANT_VALID_MS } from "@rosemarytiller/lease";
import {
  type GrantMessage,
  handleMessage,
  keepLink,
  type KeptLink,
  type Link,
  type LinkIdentity,
  type LivePermit,
  type MessageHandlers,
  MessageKind,
  type PublishedVm,
  type RefuseMessage,
} from "@rosemarytiller/link";
import {
  createFleetExchange,
  type FleetView,
  isUpstreamOpen,
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
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import type { Call } from "./call.ts";
import { createBacking } from "./create_backing.ts";

/** Delay before an ask goes to the next leader. */
export const ASK_AGAIN_MS = 50;
/** How much longer than its wait an ask may take to be refused. */
export const ASK_GRACE_MS = 100;
/** When a caller should come back after no leader answered. */
export const NO_LEADER_RETRY_MS = 1000;

/** How a call ended, for the leader that granted it. */
export interface CallReport {
  outcome: CallOutcome;
  firstTokenMs: number;
  totalMs: number;
  tokens: number;
}

/** A permit that this entry holds. */
export interface Permit {
  permit: string;
  pool: string;
  upstream: string;
}

/** How an ask may wait. */
export interface AskWait {
  /** Upstreams that the request should not get again. */
  avoid: string[];
  /** Whether this is a further try of the request. */
  retry: boolean;
  /** Monotonic time until which it may wait. */
  waitUntilMs: number;
  signal: AbortSignal;
}

/** Asks leaders for permits and returns them. */
export interface PermitClient {
  /** Waits for a permit; throws `TillerError` when refused. */
  ask(
    call: Call,
    pool: PoolName,
    options: AskWait,
  ): Promise<Permit>;
  /** Returns a permit. */
  finish(permit: Permit, report: CallReport): void;
  /** Permits whose calls are in progress. */
  liveCount(): number;
  /** Whether permits can be had by now, as far as this entry goes. */
  isReady(): boolean;
  close(): void;
}

interface PendingAsk {
  settle(answer: GrantMessage | RefuseMessage | undefined): void;
  pool: string;
  link: Link;
}

/** What a permit client needs. */
export interface PermitClientOptions {
  identity: LinkIdentity;
  view: FleetView;
  clock: Clock;
  timeline: Timeline;
  /** `host:port` of the broker on the same VM. */
  ownBroker: string;
  /** Addresses by VM name that replace those of the VM list. */
  linkAddresses: Record<string, string>;
}

/** Creates the permit client of an entry. */
export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { identity, view, clock, timeline, ownBroker, linkAddresses } = options;
  const kept = new Map<string, KeptLink>();
  const pending = new Map<string, PendingAsk>();
  const live = new Map<string, LivePermit>();
  /** VM of the broker that granted each live permit. */
  const granters = new Map<string, string>();

  const backing = createBacking({
    vm: identity.vm,
    view,
    clock,
    timeline,
    linkTo: (vm) => linkTo(vm.name, addressOf(vm)),
    livePermits: () => live.values(),
    onMoved: moveAsks,
  });
  const exchange = createFleetExchange(view, { clock, role: identity.role });
  const handlers: MessageHandlers<Link> = {
    ...exchange.handlers,
    [MessageKind.Grant]: settle,
    [MessageKind.Refuse]: settle,
    ...backing.handlers,
  };

  function settle(answer: GrantMessage | RefuseMessage, link: Link): void {
    const ask = pending.get(answer.id);
    if (ask) {
      ask.settle(answer);
      return;
    }
    if (answer.kind === MessageKind.Grant) giveBack(answer, link);
  }

  /** Returns a grant that nobody waits for any more. */
  function giveBack(grant: GrantMessage, link: Link, pool = ""): void {
    const { permit, upstream } = grant;
    link.send({
      kind: MessageKind.Done,
      permit,
      pool,
      upstream,
      ...UNUSED,
    });
  }

  async function serve(link: Link): Promise<void> {
    exchange.open(link);
    backing.open(link);
    await link.messages.observe((message) => {
      handleMessage(handlers, message, link);
    });
    exchange.close(link);
    backing.close(link);
    for (const ask of [...pending.values()]) {
      if (ask.link === link) ask.settle(undefined);
    }
  }

  /** Asks again elsewhere what waits at a broker that is not the one to ask. */
  function moveAsks(): void {
    const leaders = new Map<string, Link | undefined>();
    for (const [id, ask] of [...pending]) {
      if (!leaders.has(ask.pool)) {
        leaders.set(ask.pool, backing.leaderLink(ask.pool));
      }
      const link = leaders.get(ask.pool);
      if (link === ask.link) continue;
      if (!link && backing.isAlive(ask.link)) continue;
      ask.link.send({ kind: MessageKind.CancelAsk, id });
      ask.settle(undefined);
    }
  }

  function addressOf(vm: PublishedVm): string {
    if (vm.name === identity.vm) return ownBroker;
    return linkAddresses[vm.name] ?? vm.broker;
  }

  function linkTo(vm: string, address: string): Link | undefined {
    let link = kept.get(vm);
    if (!link) {
      link = keepLink(address, identity, { clock, serve });
      kept.set(vm, link);
    }
    return link.current();
  }

  function askOnce(
    link: Link,
    call: Call,
    rest: { pool: string; avoid: string[]; retry: boolean; queueMs: number },
    signal: AbortSignal,
  ): Promise<GrantMessage | RefuseMessage | undefined> {
    const id = createId("ask");
    return new Promise((resolve) => {
      function onAbort(): void {
        link.send({ kind: MessageKind.CancelAsk, id });
        finishAsk(undefined);
      }
      function finishAsk(
        answer: GrantMessage | RefuseMessage | undefined,
      ): void {
        signal.removeEventListener("abort", onAbort);
        cancelTimer();
        pending.delete(id);
        resolve(answer);
      }
      // A leader that can still answer refuses by itself, and says more.
      const cancelTimer = clock.after(rest.queueMs + ASK_GRACE_MS, onAbort);
      signal.addEventListener("abort", onAbort, { once: true });
      pending.set(id, { settle: finishAsk, pool: rest.pool, link });
      timeline.record(EventKind.PermitAsked, call.request, {
        ask: id,
        pool: rest.pool,
        leader: link.vm,
      });
      link.send({
        kind: MessageKind.Ask,
        id,
        request: call.request,
        className: call.requestClass.name,
        client: call.client,
        promptTokens: call.promptTokens,
        prefix: call.prefix,
        fingerprint: call.fingerprint,
        stamp: backing.stamp(),
        ...rest,
      });
    });
  }

  linkTo(identity.vm, ownBroker);
  const cancelMoves = repeat(clock, ASK_AGAIN_MS, moveAsks);
  return {
    async ask(call, poolName, { avoid, retry, waitUntilMs, signal }) {
      const pool = formatPool(poolName);
      const closed: string[] = [];
      while (!signal.aborted) {
        const queueMs = Math.ceil(waitUntilMs - clock.now());
        if (queueMs <= 0) break;
        const link = backing.leaderLink(pool);
        if (!link) {
          await sleep(clock, ASK_AGAIN_MS);
          continue;
        }
        const rest = { pool, avoid: [...avoid, ...closed], retry, queueMs };
        const answer = await askOnce(link, call, rest, signal);
        if (!answer) continue;
        if (answer.kind === MessageKind.Refuse) {
          const { error, detail, retryAfterMs } = answer;
          throw new TillerError(error, detail, { retryAfterMs });
        }
        const { permit, upstream } = answer;
        // A process that slept, or was told to back another, must not start.
        const isLate = clock.now() >= answer.stamp + GRANT_VALID_MS;
        if (isLate || !backing.mayUse(pool, link)) {
          giveBack(answer, link, pool);
          continue;
        }
        // Whoever hears first that an upstream is out keeps the call away.
        if (!isUpstreamOpen(view, poolName.service, upstream)) {
          giveBack(answer, link, pool);
          closed.push(upstream);
          continue;
        }
        const { name: className } = call.requestClass;
        const { client, fingerprint } = call;
        live.set(permit, {
          permit,
          pool,
          upstream,
          className,
          client,
          fingerprint,
        });
        granters.set(permit, link.vm);
        return { permit, pool, upstream };
      }
      throw new TillerError(ErrorKind.Overloaded, "no permit came in time", {
        retryAfterMs: NO_LEADER_RETRY_MS,
      });
    },
    finish(permit, report) {
      live.delete(permit.permit);
      const granter = granters.get(permit.permit) ?? "";
      granters.delete(permit.permit);
      const done = {
        kind: MessageKind.Done as const,
        ...permit,
        ...report,
        firstTokenMs: Math.round(report.firstTokenMs),
        totalMs: Math.round(report.totalMs),
      };
      const links = new Set([
        kept.get(granter)?.current(),
        backing.leaderLink(permit.pool),
      ]);
      for (const link of links) link?.send(done);
    },
    isReady: backing.isReady,
    liveCount: () => live.size,
    close() {
      backing.stop();
      cancelMoves();
      for (const link of kept.values()) link.close();
    },
  };
}

const UNUSED: CallReport = {
  outcome: CallOutcome.Unused,
  firstTokenMs: -1,
  totalMs: 0,
  tokens: 0,
};
