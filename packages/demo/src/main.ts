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
    --exit      Exit after the samples; fails if an answer is incomplete
    --document  Service document to run
    --page      Output file of the timeline page (HTML)

  Exit codes
    0  stopped by a signal, or all answers were complete
    1  an answer was incomplete, or the demo failed
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

// The processes of the fleet log only warnings and errors.
process.env.ROSEMARYTILLER_LOG_LEVEL ??= "1";
process.exitCode = await runDemo({
  documentFile: command.flags.document,
  pageFile: command.flags.page,
  exit: command.flags.exit,
});
