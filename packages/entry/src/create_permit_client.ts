import { formatPool, type PoolName } from "@rosemarytiller/document";
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
  type RefuseMessage,
} from "@rosemarytiller/link";
import {
  createFleetExchange,
  type FleetView,
  rankLeaders,
} from "@rosemarytiller/platform";
import {
  CallOutcome,
  type Clock,
  createId,
  ErrorKind,
  EventKind,
  sleep,
  TillerError,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import type { Call } from "./call.ts";

/** How long after its stamp a grant may still be used. */
export const GRANT_VALID_MS = 500;
/** Delay before an ask goes to the next leader. */
export const ASK_AGAIN_MS = 50;

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

/** Asks leaders for permits and returns them. */
export interface PermitClient {
  /** Waits for a permit; throws `TillerError` when refused. */
  ask(
    call: Call,
    pool: PoolName,
    options: { avoid: string[]; retry: boolean; signal: AbortSignal },
  ): Promise<Permit>;
  /** Returns a permit. */
  finish(permit: Permit, report: CallReport): void;
  /** Permits whose calls are in progress. */
  liveCount(): number;
  close(): void;
}

interface PendingAsk {
  settle(answer: GrantMessage | RefuseMessage | undefined): void;
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

  const exchange = createFleetExchange(view, { clock, role: identity.role });
  const handlers: MessageHandlers<Link> = {
    ...exchange.handlers,
    [MessageKind.Grant]: settle,
    [MessageKind.Refuse]: settle,
    [MessageKind.Beat](beat, link) {
      link.send({
        kind: MessageKind.Back,
        echo: beat.stamp,
        stamp: clock.now(),
        listRevision: view.listRevision(),
        pools: [],
        live: [],
      });
    },
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
  function giveBack(grant: GrantMessage, link: Link): void {
    const { permit, pool, upstream } = grant;
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
    await link.messages.observe((message) => {
      handleMessage(handlers, message, link);
    });
    exchange.close(link);
    for (const ask of [...pending.values()]) {
      if (ask.link === link) ask.settle(undefined);
    }
  }

  function linkTo(vm: string, address: string): Link | undefined {
    let link = kept.get(vm);
    if (!link) {
      link = keepLink(address, identity, { clock, serve });
      kept.set(vm, link);
    }
    return link.current();
  }

  /** Link to the first reachable candidate for a pool. */
  function leaderLink(pool: PoolName): Link | undefined {
    const candidates = rankLeaders(formatPool(pool), {
      dataCentre: pool.dataCentre,
      vms: view.vms(),
    });
    for (const vm of candidates) {
      const link = linkTo(vm.name, linkAddresses[vm.name] ?? vm.broker);
      if (link) return link;
    }
    return undefined;
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
        pending.delete(id);
        resolve(answer);
      }
      signal.addEventListener("abort", onAbort, { once: true });
      pending.set(id, { settle: finishAsk, link });
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
        stamp: clock.now(),
        ...rest,
      });
    });
  }

  linkTo(identity.vm, ownBroker);
  return {
    async ask(call, poolName, { avoid, retry, signal }) {
      const pool = formatPool(poolName);
      const deadlineMs = call.arrivedMs + call.requestClass.queueMs;
      while (!signal.aborted) {
        const queueMs = deadlineMs - clock.now();
        if (queueMs <= 0) break;
        const link = leaderLink(poolName);
        if (!link) {
          await sleep(clock, ASK_AGAIN_MS);
          continue;
        }
        const rest = { pool, avoid, retry, queueMs };
        const answer = await askOnce(link, call, rest, signal);
        if (!answer) continue;
        if (answer.kind === MessageKind.Refuse) {
          const { error, detail, retryAfterMs } = answer;
          throw new TillerError(error, detail, { retryAfterMs });
        }
        const { permit, upstream } = answer;
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
      throw new TillerError(ErrorKind.Overloaded, "no permit came in time");
    },
    finish(permit, report) {
      live.delete(permit.permit);
      const name = permit.pool;
      const dataCentre = name.slice(name.lastIndexOf("@") + 1);
      const ranked = rankLeaders(name, { dataCentre, vms: view.vms() })
        .map((vm) => vm.name);
      // A better-ranked broker may have come in reach since the grant.
      const granter = granters.get(permit.permit);
      granters.delete(permit.permit);
      for (const vm of granter ? [granter, ...ranked] : ranked) {
        const link = kept.get(vm)?.current();
        if (!link) continue;
        link.send({ kind: MessageKind.Done, ...permit, ...report });
        return;
      }
    },
    liveCount: () => live.size,
    close() {
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
