import type { RouterFileSettings } from "@rosemarytiller/settings";
import type { RouterSettings } from "./create_router.ts";

/** Part of the stop grace period reserved for ending the process, in ms. */
const STOP_MARGIN_MS = 400;

/** Converts the settings of a file to the router's fields and units. */
export function toRouterSettings(file: RouterFileSettings): RouterSettings {
  const {
    retryRatio,
    retrySlack,
    retryWindowSeconds,
    stopGraceSeconds,
    seeds,
    platform: _platform,
    ...settings
  } = file;
  return {
    ...settings,
    seeds: seeds.map(({ host }) => host),
    retries: {
      ratio: retryRatio,
      slack: retrySlack,
      windowMs: retryWindowSeconds * 1000,
    },
    stopGraceMs: Math.max(0, stopGraceSeconds * 1000 - STOP_MARGIN_MS),
  };
}
