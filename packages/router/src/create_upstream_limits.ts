import type { BrittleServices } from "./create_brittle_services.ts";
import type { CallLimits } from "./create_call_limits.ts";
import type { Upstream } from "./create_registry.ts";

/**
 * What upstreams say that they can take, summed over all VMs. Each call of this
 * or another VM is counted here.
 */
export interface UpstreamLimits {
  /** Whether what the upstream gets must add up over all VMs. */
  isShared(upstream: Upstream): boolean;
  /** Whether this VM may send the upstream a call now. */
  canAdmit(upstream: Upstream): boolean;
  /** The VM at the host `from` sent a call; by default this one. */
  onSent(upstream: Upstream, from?: string): void;
  /** A call of any VM was declined; to be called before it has ended. */
  onDeclined(upstream: Upstream): void;
  /** A call of any VM has ended. */
  onEnded(upstream: Upstream): void;
}

/** Joins the limits that upstreams name with those of brittle services. */
export function createUpstreamLimits(
  callLimits: CallLimits,
  brittleServices: BrittleServices,
): UpstreamLimits {
  return {
    isShared: (upstream) =>
      callLimits.isLimited(upstream) ||
      brittleServices.isBrittle(upstream.entry.service),
    canAdmit: (upstream) =>
      callLimits.canAdmit(upstream) && brittleServices.canAdmit(upstream),
    onSent(upstream, from) {
      callLimits.onSent(upstream, from);
      brittleServices.onSent(upstream, from);
    },
    onDeclined: brittleServices.onDeclined,
    onEnded: brittleServices.onEnded,
  };
}
