import type { PeerNetwork, StreamStartedEvent } from "@rosemarytiller/peers";
import { LoadEventKind } from "@rosemarytiller/peers";
import type { Clock } from "@rosemarytiller/shared";

/** A stream that a caller can resume at any VM. */
export type StreamOrigin = Omit<StreamStartedEvent, "kind">;

/**
 * Software versions that began the streams of this VM and of its peers. Callers
 * resume streams at any VM, also after the VM that began them has failed.
 */
export interface StreamOrigins {
  /** Records a stream that this VM began and publishes it to its peers. */
  publish(origin: StreamOrigin): void;
  /** Records a stream that a peer began, or a peer's reply to a query. */
  onPeerOrigin(origin: StreamOrigin): void;
  /** Event to reply to a peer's query; undefined for an unknown stream. */
  replyTo(id: string): StreamStartedEvent | undefined;
  /**
   * Resolves with the version that began the stream of the request `id`, from
   * this VM's records or from a peer; undefined if no peer replies in time.
   */
  find(id: string): Promise<string | undefined>;
}

/** Dependencies of the origins. */
export interface StreamOriginsOptions {
  clock: Clock;
  network: Pick<PeerNetwork, "publishLoadEvent" | "queryStream">;
  /** Data centre of this VM. */
  dataCentre: string;
}

/** Streams that are kept; the oldest are dropped beyond that. */
const MAX_ORIGINS = 50_000;
/** Interval between two queries for a stream, in ms, as one can be lost. */
const QUERY_INTERVAL_MS = 60;
/** Queries for a stream before its resume is refused. */
const MAX_QUERIES = 4;

interface KnownOrigin {
  softwareVersion: string;
  /** Monotonic time after which its caller no longer resumes it, in ms. */
  expiresMs: number;
}

/** Creates the origins without any stream. */
export function createStreamOrigins(
  options: StreamOriginsOptions,
): StreamOrigins {
  const { clock, network, dataCentre } = options;
  const origins = new Map<string, KnownOrigin>();
  const waiting = new Map<string, Set<() => void>>();

  function record({ id, softwareVersion, keepMs }: StreamOrigin): void {
    origins.delete(id);
    origins.set(id, { softwareVersion, expiresMs: clock.now() + keepMs });
    dropOldest();
    for (const notify of waiting.get(id) ?? []) notify();
  }

  /** Drops expired origins at the front, which are mostly the oldest. */
  function dropOldest(): void {
    for (const [id, { expiresMs }] of origins) {
      if (expiresMs > clock.now() && origins.size <= MAX_ORIGINS) return;
      origins.delete(id);
    }
  }

  function versionOf(id: string): string | undefined {
    const origin = origins.get(id);
    if (!origin || origin.expiresMs <= clock.now()) return undefined;
    return origin.softwareVersion;
  }

  /** Resolves when the stream becomes known, or after `timeoutMs`. */
  function waitFor(id: string, timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const actions = waiting.get(id) ?? new Set();
      waiting.set(id, actions);
      const end = () => {
        cancel();
        actions.delete(end);
        if (actions.size === 0) waiting.delete(id);
        resolve();
      };
      const cancel = clock.after(timeoutMs, end);
      actions.add(end);
    });
  }

  return {
    publish(origin) {
      record(origin);
      network.publishLoadEvent(
        { kind: LoadEventKind.StreamStarted, ...origin },
        dataCentre,
      );
    },
    onPeerOrigin: record,
    replyTo(id) {
      const softwareVersion = versionOf(id);
      if (softwareVersion === undefined) return undefined;
      const keepMs = origins.get(id)!.expiresMs - clock.now();
      return { kind: LoadEventKind.StreamStarted, id, softwareVersion, keepMs };
    },
    async find(id) {
      for (let query = 0; query < MAX_QUERIES; query++) {
        if (versionOf(id) !== undefined) break;
        network.queryStream(id);
        await waitFor(id, QUERY_INTERVAL_MS);
      }
      return versionOf(id);
    },
  };
}
