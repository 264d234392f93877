#!/usr/bin/env node
import { CheckError } from "@rosemarytiller/jsonc";
import { LogPart, useLog } from "@rosemarytiller/shared";
import meow from "meow";
import process from "node:process";
import { runProcess } from "./run_process.ts";

const command = meow(
  `
  Usage
    $ rosemarytiller entry --settings FILE
    $ rosemarytiller broker --settings FILE

  Options
    --settings, -s  Settings file, JSON with comments
    --check         Check the settings and exit

  Exit codes
    0  stopped as planned, or the settings are valid
    1  the process failed
    2  wrong command line or settings

  Example
    $ rosemarytiller entry --settings vm-1.jsonc
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      settings: { type: "string", shortFlag: "s" },
      check: { type: "boolean", default: false },
    },
  },
);

const log = useLog(LogPart.Command);
try {
  endProcess(await runProcess(command.input[0], command.flags));
} catch (error) {
  log.error((error as Error).message);
  endProcess(error instanceof CheckError ? 2 : 1);
}

/** Exits even if a role that failed to start has open links or timers. */
function endProcess(exitCode: number): never {
  if (exitCode === 2) log.info("See rosemarytiller --help.");
  process.exit(exitCode);
}
