import type { SharedFact, SharedFacts } from "@rosemarytiller/peers";
import { type Clock, toTillerError } from "@rosemarytiller/shared";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";

/** Repairs facts that this VM missed: it was started, cut off or paused. */
export interface FactsSync {
  /** Compares this VM's facts with the digest of a peer's heartbeat. */
  onHeartbeat(host: string, digest: number | undefined): void;
  /**
   * Whether this VM has had a peer's facts since its start, or no peer sent
   * them within `JOIN_TIMEOUT_MS`.
   */
  isJoined(): boolean;
}

/** Dependencies of the sync. */
export interface FactsSyncOptions {
  clock: Clock;
  log: EventLog;
  facts: Pick<SharedFacts, "digest" | "merge">;
  /** Requests all facts of a peer. */
  pull(host: string): Promise<SharedFact[]>;
}

/** Time after the start in which a peer's facts are awaited, in ms. */
const JOIN_TIMEOUT_MS = 1000;
/** Delay before a pull, in ms: new facts arrive by themselves within it. */
const PULL_DELAY_MS = 60;
/** Time between the starts of two pulls, in milliseconds. */
const PULL_INTERVAL_MS = 250;
/** The same for a peer whose facts have not changed, nor this VM's, in ms. */
const REPEAT_INTERVAL_MS = 8000;

/** State at the last pull from a peer. */
interface LastPull {
  atMs: number;
  peerDigest: number;
  ownDigest: number;
}

/** Creates the sync of a VM that starts now. */
export function createFactsSync(options: FactsSyncOptions): FactsSync {
  const { clock, log, facts, pull } = options;
  const startedMs = clock.now();
  let isPulling = false;
  let hasPeerFacts = false;
  let lastPullMs = -Infinity;
  const lastPulls = new Map<string, LastPull>();

  async function pullFrom(host: string, peerDigest: number): Promise<void> {
    try {
      const before = facts.digest();
      const received = await pull(host);
      facts.merge(received, host);
      hasPeerFacts = true;
      if (facts.digest() === before) return;
      log.info(LogEvent.FactsPulled, { peer: host, facts: received.length });
    } catch (error) {
      log.warn(LogEvent.Failure, {
        what: "pull of facts from a peer",
        peer: host,
        reason: toTillerError(error).message,
      });
    } finally {
      isPulling = false;
      const ownDigest = facts.digest();
      lastPulls.set(host, { atMs: clock.now(), peerDigest, ownDigest });
    }
  }

  /** Whether a pull may bring nothing new, as the last one did not. */
  function wasPulled(host: string, digest: number): boolean {
    const last = lastPulls.get(host);
    return last !== undefined && last.peerDigest === digest &&
      last.ownDigest === facts.digest() &&
      clock.now() - last.atMs < REPEAT_INTERVAL_MS;
  }

  return {
    onHeartbeat(host, digest) {
      if (digest === undefined) return;
      if (digest === facts.digest()) {
        hasPeerFacts = true;
        return;
      }
      const nowMs = clock.now();
      if (isPulling || nowMs - lastPullMs < PULL_INTERVAL_MS) return;
      if (wasPulled(host, digest)) return;
      isPulling = true;
      lastPullMs = nowMs;
      clock.after(hasPeerFacts ? PULL_DELAY_MS : 0, () => {
        if (digest !== facts.digest()) void pullFrom(host, digest);
        else isPulling = false;
      });
    },
    isJoined: () => hasPeerFacts || clock.now() - startedMs >= JOIN_TIMEOUT_MS,
  };
}
