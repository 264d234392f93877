import type { Clock } from "@rosemarytiller/shared";
import { GRANT_VALID_MS, LEASE_MS, outlast } from "./lease_times.ts";

/** Which leader an entry backs for each pool, and until when it is bound. */
export interface BackerLedger {
  /** Time for the next message; larger than any before, in milliseconds. */
  stamp(): number;
  /**
   * Backs a leader for a pool, or goes on to. Returns the term of the backing,
   * or nothing while the entry is bound to another leader.
   */
  back(pool: string, leader: string): number | undefined;
  /** Binds the entry anew for all pools of a leader; call with each message. */
  renew(leader: string): void;
  /** Takes a leader's word that it counts this entry no more. */
  release(pool: string, leader: string): void;
  /** The leader backed for a pool, if any. */
  leaderOf(pool: string): string | undefined;
  /**
   * Whether a grant of a leader may start a call. While the leader backed here
   * may count this entry, it must know all of its calls.
   */
  mayUse(pool: string, granter: string): boolean;
  /** Monotonic time from which another leader may be backed. */
  freeAtMs(pool: string): number;
  /** Pools with their terms for which a leader is backed. */
  termsOf(leader: string): [pool: string, term: number][];
}

interface Backing {
  /** Empty once the leader has released the entry. */
  leader: string;
  /** Number of this backing; larger for each change of leader. */
  term: number;
  untilMs: number;
}

/**
 * Creates the ledger of an entry process that has just started. An earlier
 * process of the VM may still be counted somewhere, so nothing is backed until
 * its lease must have run out.
 */
export function createBackerLedger(options: { clock: Clock }): BackerLedger {
  const { clock } = options;
  const backings = new Map<string, Backing>();
  const firstMs = clock.now() + boundMs();
  let lastStamp = -Infinity;
  let lastTerm = 0;

  function freeAtMs(pool: string): number {
    return Math.max(firstMs, backings.get(pool)?.untilMs ?? -Infinity);
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
        current.untilMs = nowMs + boundMs();
        return current.term;
      }
      if (nowMs < freeAtMs(pool)) return undefined;
      lastTerm++;
      const untilMs = nowMs + boundMs();
      backings.set(pool, { leader, term: lastTerm, untilMs });
      return lastTerm;
    },
    renew(leader) {
      const untilMs = clock.now() + boundMs();
      for (const backing of backings.values()) {
        if (backing.leader === leader) backing.untilMs = untilMs;
      }
    },
    release(pool, leader) {
      const backing = backings.get(pool);
      if (!backing || backing.leader !== leader) return;
      backing.leader = "";
      const grantsEndMs = clock.now() + outlast(GRANT_VALID_MS);
      backing.untilMs = Math.min(backing.untilMs, grantsEndMs);
    },
    leaderOf: (pool) => backings.get(pool)?.leader || undefined,
    mayUse(pool, granter) {
      const backing = backings.get(pool);
      if (!backing?.leader || backing.leader === granter) return true;
      // The grants' validity outlasts the lease itself.
      return clock.now() >= backing.untilMs - outlast(GRANT_VALID_MS);
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

/** Time for which a message to a leader binds its backer. */
export function boundMs(): number {
  return outlast(LEASE_MS + GRANT_VALID_MS);
}

const STAMP_STEP_MS = 0.001;
