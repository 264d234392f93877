import type { PeerNetwork } from "@rosemarytiller/peers";
import { type WarmUpQuota, warmUpQuotaOf } from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import { createHash } from "node:crypto";
import { runOf, type Upstream } from "./create_registry.ts";
import type { ServiceDefinition } from "./ports.ts";

/**
 * What this VM may send to upstreams in warm-up, so that the calls of all VMs
 * stay within the rate that the service states. Every call is admitted here:
 * first and second tries, standbys, resumes and requests of other VMs.
 */
export interface WarmUpLimits {
  /** Whether the upstream is in warm-up and its service states a rate. */
  isLimited(upstream: Upstream): boolean;
  /** Whether this VM may send the upstream a call now. */
  canAdmit(upstream: Upstream): boolean;
  /** This VM (`isOwn`) or another one sent a call. */
  onSent(upstream: Upstream, isOwn: boolean): void;
  /**
   * Whether a call that was placed at `placedMs` may be written now. It counts
   * from now on; one that was placed before the warm-up needs room in it.
   */
  confirmSend(upstream: Upstream, placedMs: number): boolean;
  /** The warm-up of an upstream, for logs; undefined outside of it. */
  describe(upstream: Upstream): WarmUp | undefined;
}

/** The warm-up of an upstream as this VM knows it. */
export interface WarmUp {
  /** Time left, in milliseconds. */
  leftMs: number;
  /** VMs that this one takes to share the rate, itself included. */
  vms: number;
  /** This VM's part: most calls in `windowMs`. */
  calls: number;
  windowMs: number;
}

/** Dependencies of the warm-up limits. */
export interface WarmUpLimitsOptions {
  clock: Clock;
  network: Pick<PeerNetwork, "sharingVms" | "isFleetKnown">;
  findService(name: string): ServiceDefinition | undefined;
}

/** Window in which the calls of all VMs are counted, in milliseconds. */
const WINDOW_MS = 1000;

/** Calls to one upstream in its warm-up; times are monotonic, in ms. */
interface Sends {
  /** Start of this VM's calls within its window, the oldest first. */
  ownMs: number[];
  /** Start of all VMs' calls within `WINDOW_MS`, as far as reported. */
  allMs: number[];
  /** The quota and the VMs for which it was computed. */
  vms: ReturnType<PeerNetwork["sharingVms"]> | undefined;
  quota: WarmUpQuota;
}

/** Creates the limits; no upstream has got a call. */
export function createWarmUpLimits(options: WarmUpLimitsOptions): WarmUpLimits {
  const { clock, network, findService } = options;
  const sends = new WeakMap<Upstream, Sends>();

  function rateOf({ entry, warmUpUntilMs }: Upstream): number {
    if (warmUpUntilMs <= clock.now()) return 0;
    return findService(entry.service)?.warmUpCallsPerSecond ?? 0;
  }

  function sendsOf(upstream: Upstream): Sends {
    let known = sends.get(upstream);
    if (!known) {
      const quota = { calls: 0, windowMs: WINDOW_MS };
      known = { ownMs: [], allMs: [], vms: undefined, quota };
      sends.set(upstream, known);
    }
    return known;
  }

  function quotaOf(upstream: Upstream, perSecond: number): WarmUpQuota {
    const { entry } = upstream;
    const known = sendsOf(upstream);
    const vms = network.sharingVms(entry.dataCentre);
    if (known.vms !== vms) {
      known.vms = vms;
      const subject = `${entry.id} ${runOf(entry)}`;
      known.quota = warmUpQuotaOf(perSecond, {
        own: vms.own,
        vms: vms.hosts,
        weightOf: (host) => weightOf(subject, host),
        isLocal: (host) => vms.localHosts.has(host),
      });
    }
    return known.quota;
  }

  function drop(times: number[], windowMs: number): void {
    const sinceMs = clock.now() - windowMs;
    while (times.length > 0 && times[0]! <= sinceMs) times.shift();
  }

  function hasRoom(upstream: Upstream, perSecond: number): boolean {
    if (!network.isFleetKnown()) return false;
    const { calls, windowMs } = quotaOf(upstream, perSecond);
    const { ownMs, allMs } = sendsOf(upstream);
    drop(ownMs, windowMs);
    drop(allMs, WINDOW_MS);
    return ownMs.length < calls && allMs.length < Math.max(1, perSecond);
  }

  function canAdmit(upstream: Upstream): boolean {
    const perSecond = rateOf(upstream);
    return perSecond <= 0 || hasRoom(upstream, perSecond);
  }

  function onSent(upstream: Upstream, isOwn: boolean): void {
    if (rateOf(upstream) <= 0) return;
    const { ownMs, allMs } = sendsOf(upstream);
    const nowMs = clock.now();
    drop(allMs, WINDOW_MS);
    allMs.push(nowMs);
    if (isOwn) ownMs.push(nowMs);
  }

  return {
    isLimited: (upstream) => rateOf(upstream) > 0,
    canAdmit,
    onSent,
    confirmSend(upstream, placedMs) {
      const perSecond = rateOf(upstream);
      if (perSecond <= 0) return true;
      const { ownMs, allMs } = sendsOf(upstream);
      for (const times of [ownMs, allMs]) {
        const at = times.indexOf(placedMs);
        if (at >= 0) times.splice(at, 1);
      }
      if (!hasRoom(upstream, perSecond)) return false;
      ownMs.push(clock.now());
      allMs.push(clock.now());
      return true;
    },
    describe(upstream) {
      const perSecond = rateOf(upstream);
      if (perSecond <= 0) return undefined;
      return {
        leftMs: Math.round(upstream.warmUpUntilMs - clock.now()),
        vms: network.sharingVms(upstream.entry.dataCentre).hosts.length,
        ...quotaOf(upstream, perSecond),
      };
    },
  };
}

/** Weight of a VM for a subject, in hexadecimal digits. */
function weightOf(subject: string, host: string): string {
  return createHash("sha256").update(`${subject}\n${host}`).digest("hex");
}
