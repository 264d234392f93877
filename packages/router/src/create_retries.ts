import type { PeerNetwork } from "@rosemarytiller/peers";
import {
  createRetryAllowance,
  type RetryAllowance,
  type RetryBounds,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import { LogEvent, RetryDenial } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import { isRetryable, type RequestState } from "./request_state.ts";

/** Decides which requests may be sent again. */
export interface Retries {
  /** A request for the service was sent for the first time. */
  onFirstSend(service: string): void;
  /**
   * Takes one retry if the route's attempts and the allowance permit it;
   * returns whether they did.
   */
  claim(state: RequestState): boolean;
  /** Takes one retry after a 5xx response; false if it cannot be retried. */
  claimAfterError(state: RequestState, status: number): boolean;
  /** Whether a call can be sent again; logs why if it cannot. */
  hasLeft(state: RequestState): boolean;
  /**
   * Takes one retry from this VM's allowance for the service; false if it is
   * used up.
   */
  spend(state: RequestState): boolean;
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

  function claim(state: RequestState): boolean {
    return hasLeft(state) && spend(state);
  }

  function hasLeft(state: RequestState): boolean {
    const { service, route, sends } = state;
    if (sends >= route.maxAttempts) {
      return deny(state, RetryDenial.Attempts);
    }
    const allowance = allowanceOf(service.name);
    if (allowance.hasLeft(clock.now(), network.knownVmCount())) return true;
    return deny(state, RetryDenial.Allowance);
  }

  function spend(state: RequestState): boolean {
    const allowance = allowanceOf(state.service.name);
    if (allowance.spend(clock.now(), network.knownVmCount())) return true;
    return deny(state, RetryDenial.Allowance);
  }

  function deny(state: RequestState, cause: RetryDenial): false {
    log.warn(LogEvent.RetryDenied, {
      id: state.id,
      cause,
      sends: state.sends,
      maxAttempts: state.route.maxAttempts,
    });
    return false;
  }

  function claimAfterError(state: RequestState, status: number): boolean {
    if (status < 500 || state.stream.isStarted) return false;
    return isRetryable(state.route) && claim(state);
  }

  return {
    onFirstSend: (service) => allowanceOf(service).onFirstSend(clock.now()),
    claim,
    claimAfterError,
    hasLeft,
    spend,
    deny,
  };
}
