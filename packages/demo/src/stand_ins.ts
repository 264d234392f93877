#!/usr/bin/env node
import { LogPart, useLog } from "@rosemarytiller/shared";
import meow from "meow";
import process from "node:process";
import { runStandIns } from "./run_stand_ins.ts";

const command = meow(
  `
  Takes the place of the platform and of a document's upstreams, to try the
  system on one machine. An edited document is published again.

  Usage
    $ npm run standins
    $ npm run standins -- --document FILE --settings FILE...

  Options
    --document  Service document; else examples/hive-ledger.jsonc
    --settings  Settings file of each VM; else the two in examples/
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      document: { type: "string", default: "examples/hive-ledger.jsonc" },
      settings: {
        type: "string",
        isMultiple: true,
        default: ["examples/vm-1.jsonc", "examples/vm-2.jsonc"],
      },
    },
  },
);

const { document, settings } = command.flags;
const running = await runStandIns({
  documentFile: document,
  settingsFiles: settings,
});
useLog(LogPart.StandIn).info(`Stand-ins of ${document} are up.`);
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => void running.close());
}
