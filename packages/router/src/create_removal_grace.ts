import type { Clock } from "@rosemarytiller/shared";

/** What VMs report to each other about their reads of the platform, in ms. */
export interface PlatformReads {
  /**
   * Time since the platform last responded to a VM whose reads had succeeded for
   * as long as expired entries take to be back; infinite if unknown.
   */
  steadyReadAgeMs: number;
  /** Time for which removed entries may still be back, 0 after no outage. */
  keepRemovedMs: number;
}

/**
 * Decides for how long upstreams stay in use whose entries were removed. Entries
 * of healthy upstreams expire while the platform is away and are back within a
 * known time after that. If only this VM could not read the platform, its peers
 * show that no entry can have expired for that.
 */
export interface RemovalGrace {
  /** The platform responded to this VM. */
  onRead(): void;
  /** The platform did not respond to this VM. */
  onReadFailed(): void;
  /** The platform was restored: entries may be missing as after an outage. */
  onRestored(): void;
  /** Applies what a peer's message reports. */
  onPeerReads(reads: PlatformReads): void;
  /** Time for which entries that are removed now are kept, in milliseconds. */
  keepMs(): number;
  /** What heartbeats report; outages only if this VM itself noticed them. */
  reads(): PlatformReads;
}

/** Options of `createRemovalGrace`. */
export interface RemovalGraceOptions {
  clock: Clock;
  /** Time within which expired entries are back after an outage, in ms. */
  entriesBackMs(): number;
}

/** Longest time between two responses of uninterrupted reading, in ms. */
const MAX_READ_INTERVAL_MS = 3500;

/** Creates the state of a VM that has not read the platform yet. */
export function createRemovalGrace(
  { clock, entriesBackMs }: RemovalGraceOptions,
): RemovalGrace {
  /** Latest time at which the platform was away from this VM. */
  let ownAwayMs = -Infinity;
  /** Latest time at which it was away from any VM, as far as known. */
  let awayMs = -Infinity;
  let steadyReadMs = -Infinity;
  let readMs = -Infinity;
  /** Start of this VM's uninterrupted reading. */
  let readingSinceMs = Infinity;
  let isFailing = false;

  function remainingMs(sinceMs: number): number {
    if (steadyReadMs > sinceMs) return 0;
    return Math.max(0, sinceMs + entriesBackMs() - clock.now());
  }

  function noteAway(): void {
    ownAwayMs = clock.now();
    awayMs = ownAwayMs;
    readingSinceMs = Infinity;
  }

  return {
    onRead() {
      const nowMs = clock.now();
      // The platform may have been away until now.
      if (isFailing && steadyReadMs <= ownAwayMs) noteAway();
      isFailing = false;
      const isInterrupted = nowMs - readMs > MAX_READ_INTERVAL_MS;
      if (isInterrupted || readingSinceMs > nowMs) readingSinceMs = nowMs;
      readMs = nowMs;
      if (nowMs - readingSinceMs >= entriesBackMs()) steadyReadMs = nowMs;
    },
    onReadFailed() {
      noteAway();
      isFailing = true;
    },
    onRestored: noteAway,
    onPeerReads({ steadyReadAgeMs, keepRemovedMs }) {
      const nowMs = clock.now();
      steadyReadMs = Math.max(steadyReadMs, nowMs - steadyReadAgeMs);
      if (keepRemovedMs <= 0) return;
      const passedMs = Math.max(0, entriesBackMs() - keepRemovedMs);
      awayMs = Math.max(awayMs, nowMs - passedMs);
    },
    keepMs: () => remainingMs(awayMs),
    reads: () => ({
      steadyReadAgeMs: Math.round(clock.now() - steadyReadMs),
      keepRemovedMs: Math.round(remainingMs(ownAwayMs)),
    }),
  };
}
