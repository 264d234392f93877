import { type Clock, LogPart, sleep, useLog } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";
import type { PlatformReplica } from "./platform_port.ts";

/** Maximum wait of one long poll. */
export const LONG_POLL_WAIT_MS = 5000;
/**
 * Delay after a response without changes that arrived within this time, and the
 * first delay after a failed read, which doubles with each further failure. The
 * delay after a failure is multiplied by a jitter factor of 0.5 to 1.5.
 */
export const WATCH_RETRY_MS = 500;
/** Interval of the check whether this process should watch. */
export const WATCH_CHECK_INTERVAL_MS = 500;

/** Options of `watchReplica`. */
export interface WatchReplicaOptions {
  clock: Clock;
  /** Whether this process should read the replica now. */
  shouldWatch(): boolean;
  /** Whether the watch should end. */
  isStopped(): boolean;
  /** Maximum delay after a failed read before jitter, in milliseconds. */
  retryMaxMs(): number;
  /** Returns a random number, 0 inclusive to 1 exclusive, for jitter. */
  random(): number;
}

/** One read of a watch; resolves to whether it changed the view. */
type WatchStep = () => Promise<boolean>;

/** Watches the documents and the VM list of one replica until stopped. */
export function watchReplica(
  view: FleetView,
  replica: PlatformReplica,
  options: WatchReplicaOptions,
): void {
  void runWatch(createDocumentStep(view, replica), replica, options);
  void runWatch(createVmsStep(view, replica), replica, options);
}

async function runWatch(
  step: WatchStep,
  replica: PlatformReplica,
  options: WatchReplicaOptions,
): Promise<void> {
  const { clock, random } = options;
  let retryMs = WATCH_RETRY_MS;
  while (!options.isStopped()) {
    if (!options.shouldWatch()) {
      await sleep(clock, WATCH_CHECK_INTERVAL_MS);
      continue;
    }
    const startedMs = clock.now();
    try {
      const isNew = await step();
      retryMs = WATCH_RETRY_MS;
      // Avoids a busy loop if a replica responds at once without changes.
      const isEarly = clock.now() - startedMs < WATCH_RETRY_MS;
      if (!isNew && isEarly) await sleep(clock, WATCH_RETRY_MS);
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Platform).debug(
        `Reading from ${replica.name} failed: ${reason}`,
      );
      // Jitter spreads the reads of the fleet when the platform recovers.
      await sleep(clock, retryMs * (0.5 + random()));
      retryMs = Math.min(retryMs * 2, options.retryMaxMs());
    }
  }
}

function createDocumentStep(
  view: FleetView,
  replica: PlatformReplica,
): WatchStep {
  let cursor = 0;
  return async () => {
    const response = await replica.readDocuments(cursor, LONG_POLL_WAIT_MS);
    view.recordPlatformContact(0);
    let isNew = false;
    for (const published of response.documents) {
      if (view.offerDocument(published, replica.name)) isNew = true;
    }
    if (response.revision < cursor) {
      // The replica's revision counter went backwards. Documents published
      // since may have revisions below the cursor, so all are read again.
      warnRevisionRollback(replica, response.revision, cursor);
      cursor = 0;
      return isNew;
    }
    cursor = response.revision;
    return isNew;
  };
}

function createVmsStep(view: FleetView, replica: PlatformReplica): WatchStep {
  let cursor = 0;
  return async () => {
    const { revision, vms } = await replica.readVms(cursor, LONG_POLL_WAIT_MS);
    view.recordPlatformContact(0);
    if (revision < cursor) warnRevisionRollback(replica, revision, cursor);
    cursor = revision;
    if (vms) return view.offerVms({ revision, vms });
    if (revision === view.listRevision()) view.confirmVms();
    return false;
  };
}

function warnRevisionRollback(
  replica: PlatformReplica,
  revision: number,
  previous: number,
): void {
  useLog(LogPart.Platform).warn(
    `The revision of ${replica.name} went backwards from ${previous} to ${revision}.`,
  );
}
