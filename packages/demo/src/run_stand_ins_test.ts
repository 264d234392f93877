import { leasePort } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { runStandIns } from "./run_stand_ins.ts";

test("the stand-in platform publishes the document again when its file changes", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "standins-"));
  const documentFile = join(folder, "ledger.jsonc");
  const settingsFile = join(folder, "vm.jsonc");
  const port = await leasePort();
  const example = new URL("../../../examples/", import.meta.url);
  let text = await readFile(new URL("hive-ledger.jsonc", example), "utf8");
  for (const address of new Set(text.match(/127\.0\.0\.1:\d+/g))) {
    text = text.replaceAll(address, `127.0.0.1:${await leasePort()}`);
  }
  await writeFile(documentFile, text);
  const settings = await readFile(new URL("vm-1.jsonc", example), "utf8");
  await writeFile(
    settingsFile,
    settings.replace(
      /"platform": \[.*\]/,
      `"platform": ["http://127.0.0.1:${port}"]`,
    ),
  );
  const running = await runStandIns({
    documentFile,
    settingsFiles: [settingsFile],
  });
  t.after(async () => {
    await running.close();
    await rm(folder, { recursive: true });
  });
  async function read(path: string): Promise<Record<string, unknown>> {
    const answer = await fetch(`http://127.0.0.1:${port}/v1/${path}`);
    return await answer.json() as Record<string, unknown>;
  }
  const { vms } = await read("vms?after=0&waitMs=0") as {
    vms: { name: string }[];
  };
  assert.ok(vms.some(({ name }) => name === "vm-1"));
  assert.equal((await read("documents?after=0&waitMs=0")).revision, 1);
  await writeFile(documentFile, `${text}// Edited.\n`);
  const changed = await read("documents?after=1&waitMs=10000");
  assert.equal(changed.revision, 2);
});
