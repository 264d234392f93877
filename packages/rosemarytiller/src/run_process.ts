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

/** Command-line flags. */
export interface ProcessFlags {
  settings?: string;
  check: boolean;
}

interface RunningProcess {
  stop(): Promise<void>;
}

const PROCESS_STARTERS: Record<
  string,
  (settings: Settings) => Promise<RunningProcess>
> = {
  [Role.Entry]: (settings) =>
    createEntry({ settings, clock: createSystemClock() }),
  [Role.Broker]: (settings) =>
    createBroker({
      settings,
      clock: createSystemClock(),
      platform: createHttpPlatform(settings.platform),
    }),
};

/**
 * Runs the process of a role until SIGTERM or SIGINT, stops it and exits with
 * code 0. Returns only if no process was started: 0 after `--check`, 2 if the
 * role is missing or unknown or no settings file is given. Rejects if the
 * settings are invalid, or if the start or the stop fails.
 */
export async function runProcess(
  role: string | undefined,
  flags: ProcessFlags,
): Promise<number> {
  const log = useLog(LogPart.Command);
  const start = PROCESS_STARTERS[role ?? ""];
  if (!start || !flags.settings) {
    log.error("A role (entry or broker) and a settings file are required.");
    return 2;
  }
  const settings = await readSettings(flags.settings);
  if (flags.check) return 0;
  const running = await start(settings);
  await waitForStopSignal();
  log.info("Received a stop signal; stopping.");
  // A second signal exits at once with code 1.
  void waitForStopSignal().then(() => process.exit(1));
  await running.stop();
  process.exit(0);
}

function waitForStopSignal(): Promise<void> {
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
