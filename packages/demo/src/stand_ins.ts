#!/usr/bin/env node
import { LogPart, useLog } from "@rosemarytiller/shared";
import meow from "meow";
import process from "node:process";
import { runStandIns } from "./run_stand_ins.ts";

const command = meow(
  `
  Runs stand-ins for the platform and for a document's upstreams, to try the
  system on one machine. The document is published again when its file changes.

  Usage
    $ npm run standins
    $ npm run standins -- --document FILE --settings FILE...

  Options
    --document  Service document; default: examples/hive-ledger.jsonc
    --settings  Settings file of each VM; default: the two in examples/
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
useLog(LogPart.StandIn).info(`Stand-ins for ${document} are running.`);
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => void running.close());
}
