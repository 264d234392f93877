import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { runCommand } from "./run_command.ts";

const GOLDEN = fileURLToPath(new URL("../golden/", import.meta.url));

/** Examples of docs/OPERATIONS.md: recorded logs and the cause they show. */
const EXAMPLES = [
  {
    name: "refused",
    id: "74bdf7cf9e2a32b9",
    cause: /refused .*run=not-run detail=no upstream has room in time/,
  },
  {
    name: "resumed",
    id: "225e90650c977b87",
    cause: /upstream-down {2}upstream=i-754ee40b24 reason=no connection/,
  },
  {
    name: "unknown",
    id: "9675d7b370747c05",
    cause: /attempt-ended .*result=broken status=0 reason=read ECONNRESET/,
  },
];

for (const { name, id, cause } of EXAMPLES) {
  test(`trace of a recorded log shows the cause: ${name}`, async () => {
    let printed = "";
    await runCommand({
      input: ["trace", id, `${GOLDEN}router_${name}.jsonl`],
      flags: { json: false },
      print: (text) => void (printed += text),
      warn: () => {},
    });
    assert.equal(
      printed,
      await readFile(`${GOLDEN}router_${name}.txt`, "utf8"),
    );
    assert.match(printed, cause);
  });
}
