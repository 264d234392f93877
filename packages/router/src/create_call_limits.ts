import type { Clock } from "@rosemarytiller/shared";
import type { Upstream } from "./create_registry.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Limits that upstreams name for the calls of all VMs together. */
export interface CallLimits {
  /** A response named this limit in calls a second, or none. */
  onNamed(upstream: Upstream, perSecond: number | undefined): void;
}

/** Creates the limits; none is known at first. */
export function createCallLimits(
  { log }: { clock: Clock; log: EventLog },
): CallLimits {
  const limits = new WeakMap<Upstream, number>();

  return {
    onNamed(upstream, perSecond) {
      if (limits.get(upstream) === perSecond) return;
      if (perSecond === undefined) limits.delete(upstream);
      else limits.set(upstream, perSecond);
      log.info(LogEvent.UpstreamLimited, {
        upstream: upstream.entry.id,
        perSecond: perSecond ?? null,
      });
    },
  };
}
