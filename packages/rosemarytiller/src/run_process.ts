import { createBroker } from "@rosemarytiller/broker";
import { createEntry } from "@rosemarytiller/entry";
import { createHttpPlatform } from "@rosemarytiller/platform";
import { readSettings, type Settings } from "@rosemarytiller/settings";
import {
  createSystemClock,
  LogPart,
  Role,
  useLog,
} from "@rosemarytiller/shared";
import process from "node:process";

/** Flags of the command line. */
export interface ProcessFlags {
  settings?: string;
  check: boolean;
}

interface Running {
  stop(): Promise<void>;
}

const STARTERS: Record<string, (settings: Settings) => Promise<Running>> = {
  [Role.Entry]: (settings) =>
    createEntry({ settings, clock: createSystemClock() }),
  [Role.Broker]: (settings) =>
    createBroker({
      settings,
      clock: createSystemClock(),
      platform: createHttpPlatform(settings.platform),
    }),
};

/** Runs one role until it is told to stop; returns the exit code. */
export async function runProcess(
  role: string | undefined,
  flags: ProcessFlags,
): Promise<number> {
  const log = useLog(LogPart.Command);
  const start = STARTERS[role ?? ""];
  if (!start || !flags.settings) {
    log.error("Name a role, entry or broker, and a settings file.");
    return 2;
  }
  const settings = await readSettings(flags.settings);
  if (flags.check) return 0;
  const running = await start(settings);
  await nextStopSignal();
  log.info("Stopping.");
  // A second signal ends the process at once.
  void nextStopSignal().then(() => process.exit(1));
  await running.stop();
  process.exit(0);
}

function nextStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    function onSignal(): void {
      process.off("SIGTERM", onSignal);
      process.off("SIGINT", onSignal);
      resolve();
    }
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}
