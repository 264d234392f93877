import { leasePort } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { runStandIns } from "./run_stand_ins.ts";

/** Addresses in the example document. */
const ADDRESS = /127\.0\.0\.1:\d+/g;

test("the stand-in platform publishes the document again when its file changes", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "standins-"));
  const documentFile = join(folder, "ledger.jsonc");
  const settingsFile = join(folder, "vm.jsonc");
  const port = await leasePort();
  const example = new URL("../../../examples/", import.meta.url);
  const original = await readFile(
    new URL("hive-ledger.jsonc", example),
    "utf8",
  );
  const addresses = new Map<string, string>();
  for (const [address] of original.matchAll(ADDRESS)) {
    addresses.set(address, `127.0.0.1:${await leasePort()}`);
  }
  // In one pass: a leased port may be one of the example's own.
  const text = original.replaceAll(
    ADDRESS,
    (address) => addresses.get(address)!,
  );
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

// Guards against a process that never ends after a failed start.
test("stand-ins that cannot all start leave no port open", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "standins-"));
  t.after(() => rm(folder, { recursive: true }));
  const documentFile = join(folder, "ledger.jsonc");
  const settingsFile = join(folder, "vm.jsonc");
  const platformPort = await leasePort();
  const example = new URL("../../../examples/", import.meta.url);
  const text = await readFile(new URL("hive-ledger.jsonc", example), "utf8");
  // All upstreams on one port: the second one cannot start.
  const upstreamPort = await leasePort();
  await writeFile(
    documentFile,
    text.replaceAll(ADDRESS, `127.0.0.1:${upstreamPort}`),
  );
  const settings = await readFile(new URL("vm-1.jsonc", example), "utf8");
  await writeFile(
    settingsFile,
    settings.replace(
      /"platform": \[.*\]/,
      `"platform": ["http://127.0.0.1:${platformPort}"]`,
    ),
  );
  const options = { documentFile, settingsFiles: [settingsFile] };
  await assert.rejects(runStandIns(options), { code: "EADDRINUSE" });
  for (const port of [platformPort, upstreamPort]) {
    const server = createServer().listen(port, "127.0.0.1");
    await once(server, "listening");
    server.close();
  }
});
