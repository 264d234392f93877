import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test } from "node:test";

/** A process that writes `lines` lines and tells on stderr when it is done. */
function startWriter(lines: number) {
  const module = new URL("./event_log.js", import.meta.url).href;
  const program = `
    const { createEventLog } = await import(${JSON.stringify(module)});
    const log = createEventLog("vm");
    for (let line = 0; line < ${lines}; line++) {
      log.info("placed", { line, text: "x".repeat(200) });
    }
    process.stderr.write("done " + log.dropped(), () => {
      setTimeout(() => process.exit(), 700);
    });
  `;
  return spawn(process.execPath, ["--input-type=module", "-e", program], {
    stdio: ["ignore", "pipe", "pipe"],
  });
}

test("a reader that stands still does not hold the writer up", async () => {
  const writer = startWriter(20_000);
  const [word] = await once(writer.stderr, "data");
  assert.match(String(word), /^done \d+/);
  writer.stdout.resume();
  await once(writer, "exit");
});

test("the volume stays within the bound, and what is left out is counted", async () => {
  const writer = startWriter(20_000);
  let text = "";
  writer.stdout.on("data", (chunk) => void (text += chunk));
  const [word] = await once(writer.stderr, "data");
  await once(writer, "close");
  const written = text.split("\n").filter(Boolean).length;
  const dropped = Number(String(word).split(" ")[1]);
  assert.equal(written + dropped, 20_000);
  // 300 lines a second; the writing may fall into a few seconds.
  assert.ok(written <= 1200, `${written} lines`);
});
