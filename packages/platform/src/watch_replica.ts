import { type Clock, LogPart, sleep, useLog } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";
import type { PlatformReplica } from "./platform_port.ts";

/** Longest wait of one watch call. */
export const WATCH_WAIT_MS = 5000;
/** First delay before a failed or empty watch is tried again. */
export const WATCH_RETRY_MS = 500;
/** Time between two looks at whether this process should watch. */
export const WATCH_CHECK_MS = 500;

/** What a watch of one replica needs. */
export interface WatchOptions {
  clock: Clock;
  /** Whether this process should hold watches now. */
  isWanted(): boolean;
  isStopped(): boolean;
  /** Longest delay before a failed watch is tried again, in milliseconds. */
  retryMaxMs(): number;
  /** Random number from 0 to 1, for jitter. */
  random(): number;
}

/** One read of a watch; tells whether it brought anything new. */
type WatchStep = () => Promise<boolean>;

/** Watches documents and VM list of one replica until stopped. */
export function watchReplica(
  view: FleetView,
  replica: PlatformReplica,
  options: WatchOptions,
): void {
  void runWatch(createDocumentStep(view, replica), replica, options);
  void runWatch(createVmsStep(view, replica), replica, options);
}

async function runWatch(
  step: WatchStep,
  replica: PlatformReplica,
  options: WatchOptions,
): Promise<void> {
  const { clock, random } = options;
  let retryMs = WATCH_RETRY_MS;
  while (!options.isStopped()) {
    if (!options.isWanted()) {
      await sleep(clock, WATCH_CHECK_MS);
      continue;
    }
    const startedMs = clock.now();
    try {
      const isNew = await step();
      retryMs = WATCH_RETRY_MS;
      // A replica that answers at once with nothing new must not be spun on.
      const isEarly = clock.now() - startedMs < WATCH_RETRY_MS;
      if (!isNew && isEarly) await sleep(clock, WATCH_RETRY_MS);
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Platform).debug(
        `A watch at ${replica.name} failed: ${reason}`,
      );
      // Jitter keeps a fleet from reading in step when the platform returns.
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
    const answer = await replica.readDocuments(cursor, WATCH_WAIT_MS);
    view.notePlatform(0);
    let isNew = false;
    for (const published of answer.documents) {
      if (view.offerDocument(published, replica.name)) isNew = true;
    }
    if (answer.revision < cursor) {
      // The counter went back: what was published since may lie below it.
      warnOlder(replica, answer.revision, cursor);
      cursor = 0;
      return isNew;
    }
    cursor = answer.revision;
    return isNew;
  };
}

function createVmsStep(view: FleetView, replica: PlatformReplica): WatchStep {
  let cursor = 0;
  return async () => {
    const { revision, vms } = await replica.readVms(cursor, WATCH_WAIT_MS);
    view.notePlatform(0);
    if (revision < cursor) warnOlder(replica, revision, cursor);
    cursor = revision;
    if (vms) return view.offerVms({ revision, vms });
    if (revision === view.listRevision()) view.confirmVms();
    return false;
  };
}

function warnOlder(
  replica: PlatformReplica,
  revision: number,
  before: number,
): void {
  useLog(LogPart.Platform).warn(
    `${replica.name} went back from revision ${before} to ${revision}.`,
  );
}
