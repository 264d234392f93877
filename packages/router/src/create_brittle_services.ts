import type { Statement } from "@rosemarytiller/peers";
import {
  createRoomEstimate,
  type RoomEstimate,
  type SharingFleet,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Upstream } from "./create_registry.ts";
import { createStatements } from "./create_statements.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Services whose upstreams fall over if they have to decline many calls. */
export interface BrittleServices {
  /**
   * A response to this VM named the calls a second that the upstream may
   * decline, or none: all of its service are as brittle.
   */
  onNamed(upstream: Upstream, maxDeclined: number | undefined): void;
  /** Merges the brittle services that the VM `from` knows. */
  merge(services: readonly Statement[], from: string): void;
  /** The brittle services that this VM knows, for the other VMs. */
  list(): Statement[];
  isBrittle(service: string): boolean;
  /** The VM at the host `from` sent a call; by default this one. */
  onSent(upstream: Upstream, from?: string): void;
  /** A call of any VM was declined; to be called before it has ended. */
  onDeclined(upstream: Upstream): void;
  /** A call of any VM has ended. */
  onEnded(upstream: Upstream): void;
  /** Whether this VM may send the upstream a call now. */
  canAdmit(upstream: Upstream): boolean;
}

/** Dependencies of the brittle services. */
export interface BrittleServicesOptions {
  clock: Clock;
  log: EventLog;
  /** VMs that share the upstreams. */
  fleet(): SharingFleet;
  /** Sends the brittle services to the other VMs. */
  publish(): void;
}

interface BrittleService {
  maxDeclined: number;
  estimates: WeakMap<Upstream, RoomEstimate>;
}

/** Creates the brittle services; none is known at first. */
export function createBrittleServices(
  options: BrittleServicesOptions,
): BrittleServices {
  const { clock, log, fleet, publish } = options;
  const services = new Map<string, BrittleService>();
  const statements = createStatements({
    clock,
    publish,
    onChanged(service, maxDeclined, from) {
      if (maxDeclined === 0) services.delete(service);
      else services.set(service, { maxDeclined, estimates: new WeakMap() });
      log.info(LogEvent.ServiceBrittle, {
        service,
        maxDeclined: maxDeclined || null,
        from,
      });
    },
  });

  /** Estimate of an upstream's room; undefined if its service is well. */
  function estimateOf(upstream: Upstream): RoomEstimate | undefined {
    const service = services.get(upstream.entry.service);
    if (!service) return undefined;
    const { maxDeclined, estimates } = service;
    let estimate = estimates.get(upstream);
    if (!estimate) {
      const { slots } = upstream.entry;
      estimate = createRoomEstimate({ slots, maxDeclined });
      estimates.set(upstream, estimate);
    }
    return estimate;
  }

  return {
    onNamed({ entry }, maxDeclined) {
      // A value of 0 stands for a service that is well.
      const value = maxDeclined === undefined ? 0 : Math.max(1, maxDeclined);
      statements.put(entry.service, value);
    },
    merge: statements.merge,
    list: statements.list,
    isBrittle: (service) => services.has(service),
    onSent: (upstream, from) =>
      estimateOf(upstream)?.onSent(from ?? fleet().own, clock.now()),
    onDeclined: (upstream) =>
      estimateOf(upstream)?.onDeclined(
        upstream.model.callCount(),
        clock.now(),
      ),
    onEnded: (upstream) =>
      estimateOf(upstream)?.onEnded(upstream.model.callCount(), clock.now()),
    canAdmit: (upstream) =>
      estimateOf(upstream)?.canSend(
        upstream.model.callCount(),
        clock.now(),
        fleet(),
      ) ?? true,
  };
}
