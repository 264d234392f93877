import type { BrittleServices } from "./create_brittle_services.ts";
import type { CallLimits } from "./create_call_limits.ts";
import type { Upstream } from "./create_registry.ts";
import type { WarmUp, WarmUpLimits } from "./create_warm_up_limits.ts";

/**
 * What upstreams can take, summed over all VMs, as they or their service say.
 * Each call of this or another VM is admitted and counted here.
 */
export interface UpstreamLimits {
  /** Whether what the upstream gets must add up over all VMs. */
  isShared(upstream: Upstream): boolean;
  /** Whether this VM may send the upstream a call now. */
  canAdmit(upstream: Upstream): boolean;
  /**
   * Whether a call that was placed at `placedMs` may be written now, if the
   * upstream is in warm-up.
   */
  confirmSend(upstream: Upstream, placedMs: number): boolean;
  /** The upstream's warm-up, for logs; undefined outside of it. */
  warmUpOf(upstream: Upstream): WarmUp | undefined;
  /** The VM at the host `from` sent a call; by default this one. */
  onSent(upstream: Upstream, from?: string): void;
  /** A call of any VM was declined; to be called before it has ended. */
  onDeclined(upstream: Upstream): void;
  /** A call of any VM has ended. */
  onEnded(upstream: Upstream): void;
}

/** The limits that are joined. */
export interface UpstreamLimitsOptions {
  /** Limits that upstreams name. */
  callLimits: CallLimits;
  brittleServices: BrittleServices;
  warmUpLimits: WarmUpLimits;
}

/** Joins limits; a call needs room in all of them. */
export function createUpstreamLimits(
  options: UpstreamLimitsOptions,
): UpstreamLimits {
  const { callLimits, brittleServices, warmUpLimits } = options;
  return {
    isShared: (upstream) =>
      callLimits.isLimited(upstream) ||
      brittleServices.isBrittle(upstream.entry.service),
    canAdmit: (upstream) =>
      warmUpLimits.canAdmit(upstream) && callLimits.canAdmit(upstream) &&
      brittleServices.canAdmit(upstream),
    confirmSend: warmUpLimits.confirmSend,
    warmUpOf: warmUpLimits.describe,
    onSent(upstream, from) {
      warmUpLimits.onSent(upstream, from === undefined);
      callLimits.onSent(upstream, from);
      brittleServices.onSent(upstream, from);
    },
    onDeclined: brittleServices.onDeclined,
    onEnded: brittleServices.onEnded,
  };
}
