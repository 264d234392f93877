import type { PeerNetwork } from "@rosemarytiller/peers";
import {
  createRetryAllowance,
  type RetryAllowance,
  type RetryBounds,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import { LogEvent, RetryDenial, type SendKind } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import type { RequestState } from "./request_state.ts";

/** Limits how often requests are sent again. */
export interface Retries {
  /** A request for the service was sent for the first time. */
  onFirstSend(service: string): void;
  /**
   * Permits a further send if the request's history allows it; takes a retry
   * from this VM's allowance for the service unless the send is covered. Logs
   * why if the result is false.
   */
  claim(state: RequestState, kind: SendKind): boolean;
  /** Whether `claim` would return true; logs why if it would not. */
  hasLeft(state: RequestState, kind: SendKind): boolean;
  /** Logs why a call is not sent again; returns false. */
  deny(state: RequestState, cause: RetryDenial): false;
}

/** Dependencies of the retries. */
export interface RetriesOptions {
  clock: Clock;
  log: EventLog;
  network: Pick<PeerNetwork, "knownVmCount">;
  bounds: RetryBounds;
}

/** Creates the retries, which are limited per service. */
export function createRetries(options: RetriesOptions): Retries {
  const { clock, log, network, bounds } = options;
  const allowances = new Map<string, RetryAllowance>();

  function allowanceOf(service: string): RetryAllowance {
    let allowance = allowances.get(service);
    if (!allowance) {
      allowances.set(service, allowance = createRetryAllowance(bounds));
    }
    return allowance;
  }

  function claim(state: RequestState, kind: SendKind): boolean {
    if (!hasLeft(state, kind)) return false;
    const { sendHistory, service } = state;
    if (sendHistory.isCovered()) return true;
    allowanceOf(service.name).spend(clock.now(), network.knownVmCount());
    sendHistory.onRetryTaken();
    return true;
  }

  function hasLeft(state: RequestState, kind: SendKind): boolean {
    const { sendHistory, service } = state;
    const denial = sendHistory.denialOf(kind);
    if (denial) return deny(state, denial);
    if (sendHistory.isCovered()) return true;
    const allowance = allowanceOf(service.name);
    if (allowance.hasLeft(clock.now(), network.knownVmCount())) return true;
    return deny(state, RetryDenial.Allowance);
  }

  function deny(state: RequestState, cause: RetryDenial): false {
    log.warn(LogEvent.RetryDenied, {
      id: state.id,
      cause,
      sends: state.sendHistory.count(),
      maxAttempts: state.route.maxAttempts,
    });
    return false;
  }

  return {
    onFirstSend: (service) => allowanceOf(service).onFirstSend(clock.now()),
    claim,
    hasLeft,
    deny,
  };
}
