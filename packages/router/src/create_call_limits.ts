import type { NamedLimit } from "@rosemarytiller/peers";
import {
  type AllowanceFleet,
  createSharedAllowance,
  type SharedAllowance,
} from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import type { Registry, Upstream } from "./create_registry.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Limits that upstreams name for the calls of all VMs together. */
export interface CallLimits {
  /** A response to this VM named a limit in calls a second, or none. */
  onNamed(upstream: Upstream, perSecond: number | undefined): void;
  /** Merges what the VM `from` knows; the latest response counts. */
  merge(limits: readonly NamedLimit[], from: string): void;
  /** What this VM knows, for the other VMs. */
  list(): NamedLimit[];
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
  registry: Pick<Registry, "find" | "all">;
  /** VMs that share the limits of an upstream. */
  fleet(): AllowanceFleet;
  /** Sends what this VM knows to the others. */
  publish(): void;
}

/** Limits that a heartbeat carries; those named last go first. */
const MAX_LISTED_LIMITS = 32;

/** What the upstream's last response said. */
interface Statement {
  perSecond: number | undefined;
  /** Monotonic time of that response, in milliseconds. */
  atMs: number;
  /** Undefined without a limit. */
  allowance: SharedAllowance | undefined;
}

/** Creates the limits; none is known at first. */
export function createCallLimits(options: CallLimitsOptions): CallLimits {
  const { clock, log, registry, fleet, publish } = options;
  const statements = new WeakMap<Upstream, Statement>();

  /** Notes what a response said; returns whether that is new. */
  function put(
    upstream: Upstream,
    perSecond: number | undefined,
    { atMs, from }: { atMs: number; from?: string },
  ): boolean {
    const last = statements.get(upstream);
    if (!last && perSecond === undefined) return false;
    if (last && last.atMs >= atMs) return false;
    if (last && last.perSecond === perSecond) {
      last.atMs = atMs;
      return false;
    }
    let allowance = last?.allowance;
    if (perSecond === undefined) allowance = undefined;
    else if (allowance) allowance.setRate(perSecond);
    else allowance = createSharedAllowance(perSecond, clock.now());
    statements.set(upstream, { perSecond, atMs, allowance });
    log.info(LogEvent.UpstreamLimited, {
      upstream: upstream.entry.id,
      perSecond: perSecond ?? null,
      from,
    });
    return true;
  }

  const allowanceOf = (upstream: Upstream) =>
    statements.get(upstream)?.allowance;

  function known(): [Upstream, Statement][] {
    const list: [Upstream, Statement][] = [];
    for (const upstream of registry.all()) {
      const statement = statements.get(upstream);
      if (statement) list.push([upstream, statement]);
    }
    return list;
  }

  return {
    onNamed(upstream, perSecond) {
      if (put(upstream, perSecond, { atMs: clock.now() })) publish();
    },
    merge(limits, from) {
      for (const [id, startedMs, perSecond, ageMs] of limits) {
        const upstream = registry.find(id);
        if (!upstream || (upstream.entry.startedMs ?? 0) !== startedMs) {
          continue;
        }
        put(upstream, perSecond || undefined, {
          atMs: clock.now() - ageMs,
          from,
        });
      }
    },
    list() {
      const nowMs = clock.now();
      return known()
        .sort(([, left], [, right]) => right.atMs - left.atMs)
        .slice(0, MAX_LISTED_LIMITS)
        .map(([{ entry }, { perSecond, atMs }]) => [
          entry.id,
          entry.startedMs ?? 0,
          perSecond ?? 0,
          Math.round(nowMs - atMs),
        ]);
    },
    isLimited: (upstream) => allowanceOf(upstream) !== undefined,
    canAdmit: (upstream) =>
      allowanceOf(upstream)?.canSend(clock.now(), fleet()) ?? true,
    onSent(upstream, from) {
      const allowance = allowanceOf(upstream);
      if (!allowance) return;
      const vms = fleet();
      allowance.onSent(from ?? vms.own, clock.now(), vms);
    },
    limitedCount: () =>
      known().filter(([, { allowance }]) => allowance !== undefined).length,
  };
}
