import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import type { CommandFlags } from "./command.ts";
import { runCommand } from "./run_command.ts";

/** Runs `tillerctl trace` for a request over logs with these texts. */
async function trace(id: string, logs: string[], flags: Partial<CommandFlags>) {
  const folder = await mkdtemp(join(tmpdir(), "trace-"));
  let printed = "";
  try {
    const files = logs.map((_, number) => join(folder, `${number}.log`));
    for (const [number, log] of logs.entries()) {
      await writeFile(files[number]!, log);
    }
    const code = await runCommand({
      input: ["trace", id, ...files],
      flags: { json: false, ...flags },
      print: (text) => void (printed += text),
      warn: () => {},
    });
    return { code, lines: printed.split("\n").filter(Boolean) };
  } finally {
    await rm(folder, { recursive: true });
  }
}

function line(time: number, vm: string, fields: Record<string, unknown>) {
  return JSON.stringify({ level: 30, time, vm, ...fields });
}

/** Its last line is truncated. */
const VM_1_LOG = [
  line(1000, "vm-1", { event: "placed", id: "r1", upstream: "u1" }),
  line(1400, "vm-1", { event: "upstream-down", upstream: "u1" }),
  line(1400, "vm-1", { event: "upstream-down", upstream: "u9" }),
  line(1410, "vm-1", { event: "refused", id: "r1", kind: "outcome-unknown" }),
  line(1410, "vm-1", { event: "answered", id: "other" }),
  '{"level":30,"time":14',
].join("\n");
/** Has text before its object. */
const VM_2_LOG = `  12.5 vm-2 ${
  line(1900, "vm-2", { event: "answered", id: "r1", status: 200 })
}`;

test("trace merges the lines of all processes about a request", async () => {
  const { code, lines } = await trace("r1", [VM_2_LOG, VM_1_LOG], {});
  assert.equal(code, 0);
  assert.deepEqual(lines, [
    "      0 ms  vm-1  placed  upstream=u1",
    "    400 ms  vm-1  upstream-down  upstream=u1",
    "    410 ms  vm-1  refused  kind=outcome-unknown",
    "    900 ms  vm-2  answered  status=200",
  ]);
});

test("trace writes JSON Lines with --json", async () => {
  const { lines } = await trace("r1", [VM_1_LOG], { json: true });
  assert.equal(JSON.parse(lines.at(-1)!).kind, "outcome-unknown");
});

test("trace fails if no line matches the request", async () => {
  const { code } = await trace("r2", [VM_1_LOG], {});
  assert.equal(code, 1);
});
