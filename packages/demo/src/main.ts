#!/usr/bin/env node
import meow from "meow";
import process from "node:process";
import { runDemo } from "./run_demo.ts";

const command = meow(
  `
  Usage
    $ npm run demo
    $ npm run demo -- --exit

  Options
    --exit      End after the samples; fails if an answer was not whole
    --document  Service document to show
    --page      Where the time line's page is written

  Exit codes
    0  stopped, or all answers were whole
    1  an answer was not whole, or the demo failed
`,
  {
    importMeta: import.meta,
    flags: {
      exit: { type: "boolean", default: false },
      document: { type: "string", default: "examples/hive-ledger.jsonc" },
      page: { type: "string", default: "timeline.html" },
    },
  },
);

// The processes of the fleet write warnings and errors only.
process.env.ROSEMARYTILLER_LOG_LEVEL ??= "1";
process.exitCode = await runDemo({
  documentFile: command.flags.document,
  pageFile: command.flags.page,
  exit: command.flags.exit,
});
