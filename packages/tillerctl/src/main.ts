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
    $ tillerctl where ADDRESS HOST PATH [--client NAME] [--tokens N]
        [--output N] [--parts ID:TOKENS,...] [--bytes N]

  Options
    --json      Write JSON; timeline and trace write JSON Lines
    --settings  Settings file of a VM: to check, or to find the VM list
    --router    Settings file of a standalone router (without brokers) to check
    --admin     Admin addresses, host:port, separated by commas
    --client    Client account of the request
    --model     Model of the request
    --service   Plain service of the request
    --header    Header of the request
    --from      Data centre of the entry; default: the document's first
    --format    Output format of the timeline; default: text
    --out       Output file of the timeline; default: standard output
    --request   Show events of requests whose ID begins with this text
    --class     Show events of this class
    --kind      Show events of these kinds
    --since     Show events since an age (30s, 5m, 1h) or a date and time
    --tokens    Tokens of the request's prompt; none at a plain service
    --output    Tokens of output that are expected
    --parts     Parts of the prompt, each with its tokens, the first one first
    --bytes     Size of the request's body

  Exit codes
    0  succeeded, and every process answered
    1  failed, request refused or not found, or a process did not answer
    2  invalid usage, or an invalid document or settings file

  Examples
    $ tillerctl check hive-ledger.jsonc --settings vm-1.jsonc
    $ tillerctl explain hive-ledger.jsonc --client label-press \\
        --model ledger-small --header x-task=label --from kochi
    $ tillerctl status --settings vm-1.jsonc
    $ tillerctl timeline --settings vm-1.jsonc --since 5m \\
        --format html --out timeline.html
    $ tillerctl trace 9c41d07be2a35f68 router-*.log
    $ tillerctl where 10.0.0.1:9464 ledger.example /digest/1 \\
        --client label-press --tokens 7100 --parts 5c1e07a2:2500,91bd3f06:3800
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
      tokens: { type: "string" },
      output: { type: "string" },
      parts: { type: "string" },
      bytes: { type: "string" },
    },
  },
);

process.exitCode = await runCommand({
  input: command.input,
  flags: command.flags,
  print: (text) => void process.stdout.write(text),
  warn: (text) => void process.stderr.write(text),
});
