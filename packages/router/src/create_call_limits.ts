import type { Statement } from "@rosemarytiller/peers";
import {
  createSharedAllowance,
  type SharedAllowance,
  type SharingFleet,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Upstream } from "./create_registry.ts";
import { createStatements } from "./create_statements.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Limits that upstreams name for the calls of all VMs together. */
export interface CallLimits {
  /** A response to this VM named a limit in calls a second, or none. */
  onNamed(upstream: Upstream, perSecond: number | undefined): void;
  /** Merges the limits that the VM `from` knows. */
  merge(limits: readonly Statement[], from: string): void;
  /** The limits that this VM knows, for the other VMs. */
  list(): Statement[];
  /** Whether the upstream's last response named a limit. */
  isLimited(upstream: Upstream): boolean;
  /** Whether this VM may send the upstream a call now. */
  canAdmit(upstream: Upstream): boolean;
  /** Counts a call that the VM at the host `from` sent; by default this one. */
  onSent(upstream: Upstream, from?: string): void;
  /** Number of upstreams that have a limit. */
  limitedCount(): number;
}

/** Dependencies of the call limits. */
export interface CallLimitsOptions {
  clock: Clock;
  log: EventLog;
  /** VMs that share the limits of an upstream. */
  fleet(): SharingFleet;
  /** Sends the limits to the other VMs. */
  publish(): void;
}

/**
 * Calls a second that an upstream gets at the least: without any, no response
 * would end its limit.
 */
const MIN_PER_SECOND = 0.1;

/** Creates the limits; none is known at first. */
export function createCallLimits(options: CallLimitsOptions): CallLimits {
  const { clock, log, fleet, publish } = options;
  const allowances = new Map<string, SharedAllowance>();
  const statements = createStatements({
    clock,
    publish,
    onChanged(subject, perSecond, from) {
      const known = allowances.get(subject);
      if (perSecond === 0) allowances.delete(subject);
      else if (known) known.setRate(perSecond);
      else {
        allowances.set(
          subject,
          createSharedAllowance(perSecond, clock.now()),
        );
      }
      log.info(LogEvent.UpstreamLimited, {
        upstream: subject,
        perSecond: perSecond || null,
        from,
      });
    },
  });

  /** Identifies a run of an upstream; a limit ends with it. */
  const subjectOf = ({ entry }: Upstream) =>
    entry.startedMs === undefined ? entry.id : `${entry.id}@${entry.startedMs}`;

  const allowanceOf = (upstream: Upstream) =>
    allowances.size > 0 ? allowances.get(subjectOf(upstream)) : undefined;

  return {
    onNamed(upstream, perSecond) {
      const value = perSecond === undefined
        ? 0
        : Math.max(MIN_PER_SECOND, perSecond);
      statements.put(subjectOf(upstream), value);
    },
    merge: statements.merge,
    list: statements.list,
    isLimited: (upstream) => allowanceOf(upstream) !== undefined,
    canAdmit: (upstream) =>
      allowanceOf(upstream)?.canSend(clock.now(), fleet()) ?? true,
    onSent(upstream, from) {
      const allowance = allowanceOf(upstream);
      if (!allowance) return;
      const vms = fleet();
      allowance.onSent(from ?? vms.own, clock.now(), vms);
    },
    limitedCount: () => allowances.size,
  };
}
