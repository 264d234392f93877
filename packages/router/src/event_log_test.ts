import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test } from "node:test";

/** Logs `lines` lines in a process, then writes "done DROPPED" to stderr. */
function startWriter(lines: number, lineLength = 200) {
  const module = new URL("./event_log.js", import.meta.url).href;
  const program = `
    const { createEventLog } = await import(${JSON.stringify(module)});
    const log = createEventLog("vm");
    for (let line = 0; line < ${lines}; line++) {
      log.info("placed", { line, text: "x".repeat(${lineLength}) });
    }
    process.stderr.write("done " + log.dropped(), () => {
      setTimeout(() => process.exit(), 700);
    });
  `;
  return spawn(process.execPath, ["--input-type=module", "-e", program], {
    stdio: ["ignore", "pipe", "pipe"],
  });
}

test("a stalled reader of standard output does not block the process", async () => {
  const writer = startWriter(20_000);
  const [word] = await once(writer.stderr, "data");
  assert.match(String(word), /^done \d+/);
  writer.stdout.resume();
  await once(writer, "exit");
});

test("the log stays within its rate limit and counts dropped lines", async () => {
  const writer = startWriter(20_000);
  let text = "";
  writer.stdout.on("data", (chunk) => void (text += chunk));
  const [word] = await once(writer.stderr, "data");
  await once(writer, "close");
  const written = text.split("\n").filter(Boolean).length;
  const dropped = Number(String(word).split(" ")[1]);
  assert.equal(written + dropped, 20_000);
  // The limit is 300 lines a second; the writes may span several seconds.
  assert.ok(written <= 1200, `${written} lines`);
});

// Guards against lines that are lost without being counted.
test("lines beyond the buffer of a stalled reader are counted as dropped", async () => {
  const lines = 250;
  const writer = startWriter(lines, 20_000);
  const [word] = await once(writer.stderr, "data");
  let text = "";
  writer.stdout.on("data", (chunk) => void (text += chunk));
  await once(writer, "close");
  const written = text.split("\n").filter(Boolean).length;
  const dropped = Number(String(word).split(" ")[1]);
  assert.ok(dropped > 0);
  assert.equal(written + dropped, lines);
});
