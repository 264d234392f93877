import { type Clock, LogPart, sleep, useLog } from "@rosemarytiller/shared";
import type { FleetView } from "./create_fleet_view.ts";
import type { PlatformPort } from "./platform_port.ts";

/** Longest wait of one watch call. */
export const WATCH_WAIT_MS = 5000;
/** Delay before a failed watch is tried again. */
export const WATCH_RETRY_MS = 500;

/** Watches documents and VM list until stopped. */
export function watchPlatform(
  view: FleetView,
  options: { platform: PlatformPort; clock: Clock },
): { stop(): void } {
  const { platform, clock } = options;
  let stopped = false;
  async function watch(step: () => Promise<void>): Promise<void> {
    while (!stopped) {
      try {
        await step();
      } catch (error) {
        const reason = (error as Error).message;
        useLog(LogPart.Platform).debug(`A watch failed: ${reason}`);
        await sleep(clock, WATCH_RETRY_MS);
      }
    }
  }
  let seenRevision = 0;
  void watch(async () => {
    const answer = await platform.readDocuments(seenRevision, WATCH_WAIT_MS);
    for (const published of answer.documents) {
      view.offerDocument(published, "platform");
    }
    seenRevision = Math.max(seenRevision, answer.revision);
  });
  void watch(async () => {
    view.offerVms(await platform.readVms(view.listRevision(), WATCH_WAIT_MS));
  });
  return { stop: () => void (stopped = true) };
}
