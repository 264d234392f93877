#!/usr/bin/env node
import meow from "meow";
import process from "node:process";
import { runCommand } from "./run_command.ts";

const command = meow(
  `
  Usage
    $ tillerctl check DOCUMENT... [--settings FILE]... [--router FILE]...
    $ tillerctl explain DOCUMENT --client NAME (--model NAME | --service NAME)
        [--header NAME=VALUE]... [--from DATA_CENTRE]
    $ tillerctl status (--admin ADDRESS,... | --settings FILE)
    $ tillerctl timeline (--admin ADDRESS,... | --settings FILE)
        [--format text|jsonl|html] [--out FILE] [--request ID] [--class NAME]
        [--kind KIND,...] [--since TIME]
    $ tillerctl trace REQUEST [LOG]...

  Options
    --json      Write JSON; the time line as JSON lines
    --settings  Settings file of a VM; its platform's VM list is asked
    --router    Settings file of a router that decides by itself
    --admin     Admin addresses, host:port, with commas between them
    --client    Client account of the request
    --model     Model of the request
    --service   Plain service of the request
    --header    Header of the request
    --from      Data centre of the entry; else the document's first
    --format    Form of the time line; text if not given
    --out       File for the time line; else standard output
    --request   Show events of requests that begin with this identifier
    --class     Show events of one class
    --kind      Show events of these kinds
    --since     Show events since 30s, 5m, 1h ago or a date and time

  Exit codes
    0  done, and every process answered
    1  failed, refused, or some process did not answer
    2  wrong use, or a document or settings file with faults

  Examples
    $ tillerctl check hive-ledger.jsonc --settings vm-1.jsonc
    $ tillerctl explain hive-ledger.jsonc --client label-press \\
        --model ledger-small --header x-task=label --from kochi
    $ tillerctl status --settings vm-1.jsonc
    $ tillerctl timeline --settings vm-1.jsonc --since 5m \\
        --format html --out timeline.html
    $ tillerctl trace 9c41d07be2a35f68 router-*.log
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      json: { type: "boolean", default: false },
      settings: { type: "string", isMultiple: true },
      router: { type: "string", isMultiple: true },
      admin: { type: "string", isMultiple: true },
      client: { type: "string" },
      model: { type: "string" },
      service: { type: "string" },
      header: { type: "string", isMultiple: true },
      from: { type: "string" },
      format: { type: "string" },
      out: { type: "string" },
      request: { type: "string" },
      class: { type: "string" },
      kind: { type: "string", isMultiple: true },
      since: { type: "string" },
    },
  },
);

process.exitCode = await runCommand({
  input: command.input,
  flags: command.flags,
  print: (text) => void process.stdout.write(text),
  warn: (text) => void process.stderr.write(text),
});
