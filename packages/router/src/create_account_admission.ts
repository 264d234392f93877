import type {
  AccountDemand,
  Heartbeat,
  PeerNetwork,
} from "@rosemarytiller/peers";
import {
  type AccountShares,
  CallRank,
  createAccountShares,
  isEngineBusy,
} from "@rosemarytiller/policy";
import { type Clock, ErrorKind, TillerError } from "@rosemarytiller/shared";
import type { Registry } from "./create_registry.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { RequestState } from "./request_state.ts";

/**
 * Takes or refuses requests by their accounts' shares while a service of engines
 * has too little room; see `AccountShares`.
 */
export interface AccountAdmission {
  /**
   * Counts a caller's request. Throws a `TillerError` of kind `Overloaded` if
   * its account asks for more than its share.
   */
  admit(request: AdmittedRequest): void;
  /** Part of an account's requests that is taken now; counts nothing. */
  takenShare(service: string, account: string, rank: CallRank): number;
  /** What this VM's heartbeats report. */
  demand(): AccountDemand[];
  /** Number of services that have too little room. */
  contendedCount(): number;
}

/** The parts of a request's state that decide. */
export type AdmittedRequest = Pick<
  RequestState,
  "id" | "service" | "account" | "rank" | "request"
>;

/** Dependencies of the admission. */
export interface AccountAdmissionOptions {
  clock: Clock;
  log: EventLog;
  registry: Pick<Registry, "eligible">;
  network: Pick<PeerNetwork, "isLargeFleet" | "reachableMembers">;
  /** Data centre of this VM. */
  dataCentre: string;
  /** Random number of at least 0 and below 1; `Math.random` by default. */
  random?: () => number;
}

/** Requests of a service that compete with each other. */
enum Pool {
  /** Requests with tight targets and those in the middle. */
  Urgent = 0,
  /** Requests with loose targets, which get fewer engines under load. */
  Loose = 1,
}

interface PoolState {
  service: string;
  pool: Pool;
  shares: AccountShares;
  updatedMs: number;
  isContended: boolean;
}

/** Interval at which the room and the other VMs' rates are read, in ms. */
const UPDATE_MS = 50;
/** Range of the retry-after of a refused request, in ms. */
const RETRY_AFTER_RANGE_MS: Record<Pool, readonly [number, number]> = {
  [Pool.Urgent]: [150, 600],
  [Pool.Loose]: [300, 1200],
};

/** Creates the admission of a VM without requests. */
export function createAccountAdmission(
  options: AccountAdmissionOptions,
): AccountAdmission {
  const { clock, log, registry, network, dataCentre } = options;
  const { random = Math.random } = options;
  const states = new Map<string, PoolState>();

  function stateOf(service: string, pool: Pool): PoolState {
    const key = `${service} ${pool}`;
    let state = states.get(key);
    if (!state) {
      state = {
        service,
        pool,
        shares: createAccountShares(clock.now()),
        updatedMs: -Infinity,
        isContended: false,
      };
      states.set(key, state);
    }
    return state;
  }

  /** Engines whose calls this VM knows, and those without room for a pool. */
  function countEngines({ service, pool }: PoolState) {
    const nowMs = clock.now();
    const isLoose = pool === Pool.Loose;
    let engines = 0;
    let busyEngines = 0;
    for (const upstream of registry.eligible(service)) {
      const isRemote = upstream.entry.dataCentre !== dataCentre;
      if (isRemote && network.isLargeFleet()) continue;
      engines++;
      if (isEngineBusy(upstream.model, { isLoose, nowMs })) busyEngines++;
    }
    return { engines, busyEngines };
  }

  /** Demand that the VMs which use the same engines report. */
  function* reportedDemand({ service, pool }: PoolState) {
    for (const member of network.reachableMembers()) {
      const isRemote = member.dataCentre !== dataCentre;
      if (isRemote && network.isLargeFleet()) continue;
      const { accountDemand = [] }: Heartbeat = member.heartbeat;
      for (const [name, inPool, account, current, usual] of accountDemand) {
        if (name !== service || inPool !== pool) continue;
        yield [account, current, usual] as [string, number, number];
      }
    }
  }

  function update(state: PoolState): void {
    const nowMs = clock.now();
    if (nowMs - state.updatedMs < UPDATE_MS) return;
    state.updatedMs = nowMs;
    const { shares, service, pool } = state;
    const room = countEngines(state);
    shares.update(room, nowMs);
    const isContended = shares.isContended();
    if (isContended) shares.setReportedRates(reportedDemand(state));
    if (isContended === state.isContended) return;
    state.isContended = isContended;
    const event = isContended
      ? LogEvent.ContentionBegan
      : LogEvent.ContentionEnded;
    log.info(event, { service, pool: Pool[pool], ...room });
  }

  function createRefusal(pool: Pool, takenShare: number): TillerError {
    const [low, high] = RETRY_AFTER_RANGE_MS[pool];
    const percent = Math.round(takenShare * 100);
    return new TillerError(
      ErrorKind.Overloaded,
      `the account asks for more than its share: ${percent} % is taken`,
      { retryAfterMs: low + random() * (high - low) },
    );
  }

  return {
    admit({ service, account, rank, request }) {
      const { prompt, lastEventId } = request.metadata;
      if (!account || !service.engine || !prompt) return;
      // A stream that has begun goes on.
      if (request.relay || lastEventId !== undefined) return;
      const pool = poolOf(rank);
      const state = stateOf(service.name, pool);
      const nowMs = clock.now();
      state.shares.onArrival(account.name, prompt.promptTokens, nowMs);
      update(state);
      const takenShare = state.shares.takenShare(account.name, nowMs);
      if (random() >= takenShare) throw createRefusal(pool, takenShare);
    },
    takenShare(service, account, rank) {
      const state = states.get(`${service} ${poolOf(rank)}`);
      return state?.shares.takenShare(account, clock.now()) ?? 1;
    },
    demand() {
      const list: AccountDemand[] = [];
      for (const { service, pool, shares } of states.values()) {
        for (const [name, current, usual] of shares.ownRates(clock.now())) {
          list.push([service, pool, name, current, usual]);
        }
      }
      return list;
    },
    contendedCount() {
      let count = 0;
      for (const { isContended } of states.values()) if (isContended) count++;
      return count;
    },
  };
}

function poolOf(rank: CallRank): Pool {
  return rank === CallRank.Loose ? Pool.Loose : Pool.Urgent;
}
