import { createStandInEngine } from "@rosemarytiller/standins";
import { EventKind } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { callChat, hashKey, TEST_KEY } from "./call_fleet.ts";
import { startFleet } from "./start_fleet.ts";

const TILLERCTL_FILE = fileURLToPath(
  new URL("../../tillerctl/bin/tillerctl.js", import.meta.url),
);

/**
 * Runs the `tillerctl` binary; resolves when it has exited, with its exit code.
 */
async function tillerctl(
  ...args: string[]
): Promise<{ code: number; stdout: string; stderr: string }> {
  const child = spawn(process.execPath, [TILLERCTL_FILE, ...args]);
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (chunk) => stdout += chunk);
  child.stderr.on("data", (chunk) => stderr += chunk);
  const [code] = await once(child, "close");
  return { code, stdout, stderr };
}

test("tillerctl finds the fleet from a settings file and reports unreachable processes and a missing VM list", async (t) => {
  const engine = await createStandInEngine();
  const fleet = await startFleet({
    dataCentres: ["north", "south"],
    upstreamVms: { "runner-vm": "north" },
    document: JSON.stringify({
      service: "test",
      dataCentres: { north: { region: "r" }, south: { region: "r" } },
      clients: { counter: { keys: [hashKey(TEST_KEY)] } },
      upstreams: {
        "runner-1": {
          kind: "model-runner",
          serves: ["small"],
          dataCentre: "north",
          vm: "runner-vm",
          address: engine.url,
          maxConcurrent: 8,
        },
      },
      classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 5000 }],
    }),
  });
  const folder = await mkdtemp(join(tmpdir(), "tillerctl-"));
  t.after(async () => {
    await fleet.stop();
    await engine.close();
    await rm(folder, { recursive: true });
  });
  await fleet.waitUntilReady();
  const [first, second] = fleet.vms;
  const parsePort = (address: string) => Number(address.split(":")[1]);
  const file = join(folder, "vm-1.jsonc");
  await writeFile(
    file,
    JSON.stringify({
      vm: first.name,
      dataCentre: first.dataCentre,
      platform: [fleet.platform.url],
      linkKey: "a link key for the test fleet",
      entryAdmin: { port: parsePort(first.entryAdmin) },
      broker: { port: parsePort(first.brokerAddress) },
    }),
  );
  const answer = await callChat(first.url, {
    model: "small",
    messages: [{ role: "user", content: "how much honey?" }],
    max_tokens: 2,
  });
  const request = answer.headers.get("x-request-id")!;

  const whole = await tillerctl("status", "--settings", file);
  assert.equal(whole.code, 0, whole.stderr);
  for (const vm of fleet.vms) {
    assert.match(
      whole.stdout,
      new RegExp(`${vm.name}/entry .*services/test@1`),
    );
    assert.match(whole.stdout, new RegExp(`${vm.name}/broker`));
  }
  assert.match(whole.stdout, /test\/small@north .*runner-1/);

  const events = await tillerctl(
    "timeline",
    ...["--settings", file, "--json"],
    ...["--request", request.slice(0, 16), "--class", "all"],
  );
  assert.equal(events.code, 0, events.stderr);
  const kinds = events.stdout.trimEnd().split("\n")
    .map((line) => JSON.parse(line).kind);
  const order = [
    EventKind.RequestReceived,
    EventKind.PermitAsked,
    EventKind.PermitGranted,
    EventKind.AttemptStarted,
    EventKind.AttemptEnded,
    EventKind.PermitReturned,
  ];
  // A permit may be requested more than once; only the first event of each kind
  // is compared.
  const firsts = [...new Set(kinds)].filter((kind) => order.includes(kind));
  assert.deepEqual(firsts, order);

  const broker = once(second.broker, "exit");
  second.broker.kill("SIGKILL");
  await broker;
  const partial = await tillerctl("status", "--settings", file, "--json");
  assert.equal(partial.code, 1);
  const { processes, unreachable } = JSON.parse(partial.stdout);
  assert.equal(processes.length, 3);
  assert.equal(unreachable[0].address, second.brokerAddress);

  fleet.platform.setFaults({ down: true });
  const own = await tillerctl("status", "--settings", file);
  assert.equal(own.code, 1);
  assert.match(own.stderr, /platform gave no VM list .* processes of vm-1/);
  assert.match(own.stdout, /vm-1\/entry/);
});
