import type { RouterFileSettings } from "@rosemarytiller/settings";
import type { RouterSettings } from "./create_router.ts";

/** Time of the grace period that is reserved for ending the process, in ms. */
const STOP_MARGIN_MS = 400;
/** Largest part of a short grace period that is reserved for that. */
const MAX_STOP_MARGIN_SHARE = 1 / 12;

const BYTES_PER_MEGABYTE = 1_048_576;

/** Converts the settings of a file to the router's fields and units. */
export function toRouterSettings(file: RouterFileSettings): RouterSettings {
  const {
    retryRatio,
    retrySlack,
    retryWindowSeconds,
    stopGraceSeconds,
    firstStart,
    leavingCallMs,
    leavingKilobyteMs,
    shareUpstreamLoad,
    memoryMegabytes,
    bodyTimeoutSeconds,
    readerTimeoutSeconds,
    seeds,
    platform: _platform,
    ...settings
  } = file;
  const graceMs = stopGraceSeconds * 1000;
  return {
    ...settings,
    isFirstStart: firstStart,
    leavingCosts: { callMs: leavingCallMs, kilobyteMs: leavingKilobyteMs },
    reportsLoad: shareUpstreamLoad,
    memoryBytes: memoryMegabytes * BYTES_PER_MEGABYTE,
    bodyTimeoutMs: bodyTimeoutSeconds * 1000,
    readerTimeoutMs: readerTimeoutSeconds * 1000,
    seeds: seeds.map(({ host }) => host),
    retries: {
      ratio: retryRatio,
      slack: retrySlack,
      windowMs: retryWindowSeconds * 1000,
    },
    stopGraceMs: graceMs -
      Math.min(STOP_MARGIN_MS, graceMs * MAX_STOP_MARGIN_SHARE),
  };
}
