import type { Clock } from "@rosemarytiller/shared";
import { GRANT_VALID_MS, LEASE_MS, withClockDrift } from "./lease_times.ts";

/**
 * The leader that an entry process backs for each pool. A backing is a vote
 * that binds the entry to that leader for the lease plus the validity of a
 * grant.
 */
export interface BackerLedger {
  /** Time for the next message in milliseconds; larger than any before. */
  stamp(): number;
  /**
   * Backs a leader for a pool, or renews the backing. Returns the term of the
   * backing, or `undefined` while the entry is bound to another leader.
   */
  back(pool: string, leader: string): number | undefined;
  /** Renews all backings of a leader; call it with each message to it. */
  renew(leader: string): void;
  /** Handles a leader's notice that it no longer counts this entry. */
  release(pool: string, leader: string): void;
  /** Leader that is backed for a pool, if any. */
  leaderOf(pool: string): string | undefined;
  /**
   * Whether a call may start with a grant from `granter`. It may not while
   * another leader is backed that may count this entry, because that leader
   * must know of all calls of the entry.
   */
  mayUse(pool: string, granter: string): boolean;
  /** Monotonic time from which another leader may be backed. */
  freeAtMs(pool: string): number;
  /** Pools for which a leader is backed, with the term of each backing. */
  termsOf(leader: string): [pool: string, term: number][];
}

interface BackingState {
  /** Empty once the leader has released the entry. */
  leader: string;
  /** Number of this backing; larger for each change of leader. */
  term: number;
  /** Monotonic time until which the entry is bound. */
  untilMs: number;
}

/**
 * Creates the ledger of an entry process that has just started. A leader may
 * still count an earlier process of the VM, so no leader can be backed until
 * the lease of that process and the grants under it must have expired.
 */
export function createBackerLedger(options: { clock: Clock }): BackerLedger {
  const { clock } = options;
  const backings = new Map<string, BackingState>();
  const firstBackingMs = clock.now() + bindingDurationMs();
  let lastStamp = -Infinity;
  let lastTerm = 0;

  function freeAtMs(pool: string): number {
    return Math.max(firstBackingMs, backings.get(pool)?.untilMs ?? -Infinity);
  }

  return {
    stamp() {
      lastStamp = Math.max(clock.now(), lastStamp + STAMP_STEP_MS);
      return lastStamp;
    },
    back(pool, leader) {
      const nowMs = clock.now();
      const current = backings.get(pool);
      if (current?.leader === leader) {
        current.untilMs = nowMs + bindingDurationMs();
        return current.term;
      }
      if (nowMs < freeAtMs(pool)) return undefined;
      lastTerm++;
      const untilMs = nowMs + bindingDurationMs();
      backings.set(pool, { leader, term: lastTerm, untilMs });
      return lastTerm;
    },
    renew(leader) {
      const untilMs = clock.now() + bindingDurationMs();
      for (const backing of backings.values()) {
        if (backing.leader === leader) backing.untilMs = untilMs;
      }
    },
    release(pool, leader) {
      const backing = backings.get(pool);
      if (!backing || backing.leader !== leader) return;
      backing.leader = "";
      const grantsEndMs = clock.now() + withClockDrift(GRANT_VALID_MS);
      backing.untilMs = Math.min(backing.untilMs, grantsEndMs);
    },
    leaderOf: (pool) => backings.get(pool)?.leader || undefined,
    mayUse(pool, granter) {
      const backing = backings.get(pool);
      if (!backing?.leader || backing.leader === granter) return true;
      // The binding outlasts the lease by the validity of a grant.
      return clock.now() >= backing.untilMs - withClockDrift(GRANT_VALID_MS);
    },
    freeAtMs,
    termsOf(leader) {
      const terms: [string, number][] = [];
      for (const [pool, backing] of backings) {
        if (backing.leader === leader) terms.push([pool, backing.term]);
      }
      return terms;
    },
  };
}

/** Time for which a message to a leader binds its sender, in milliseconds. */
export function bindingDurationMs(): number {
  return withClockDrift(LEASE_MS + GRANT_VALID_MS);
}

/** Smallest difference between two stamps, in milliseconds. */
const STAMP_STEP_MS = 0.001;
