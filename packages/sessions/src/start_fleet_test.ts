import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { promisify } from "node:util";
import { startFleet } from "./start_fleet.ts";

const DOCUMENT = JSON.stringify({
  service: "test",
  dataCentres: { north: { region: "r" } },
  clients: {},
  upstreams: {},
  classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 5000 }],
});

/** Replaces the random choice of ports, so that all processes try the same. */
const SAME_PORTS_MODULE = `
import crypto from "node:crypto";
import { syncBuiltinESMExports } from "node:module";
let drawn = 0;
crypto.randomInt = (low, high) =>
  high === undefined ? drawn++ % low : low + drawn++ % (high - low);
syncBuiltinESMExports();
`;

/** Starts a fleet of two VMs, waits until it is ready and prints its ports. */
const FLEET_MODULE = `
import { startFleet } from "${new URL("start_fleet.js", import.meta.url)}";
const fleet = await startFleet({
  dataCentres: ["north", "north"],
  document: ${JSON.stringify(DOCUMENT)},
  onOutput: (text) => void process.stderr.write(text),
});
try {
  await fleet.waitUntilReady();
  const addresses = fleet.vms.flatMap(({ url, entryAdmin, brokerAddress }) =>
    [url, entryAdmin, brokerAddress]);
  console.log(addresses.map((one) => one.match(/\\d+$/)[0]).join(" "));
} finally {
  await fleet.stop();
}
`;

/** Starts a fleet in a process of its own; resolves with its ports. */
async function startFleetProcess(): Promise<string[]> {
  const preloaded = `data:text/javascript,${
    encodeURIComponent(SAME_PORTS_MODULE)
  }`;
  const { stdout } = await promisify(execFile)(process.execPath, [
    "--import",
    preloaded,
    "--input-type=module",
    "--eval",
    FLEET_MODULE,
  ]);
  return stdout.trim().split(" ");
}

// Test files that ran at once could draw the same port for two processes.
test("two processes that start fleets on the same ports get different ones", async () => {
  const fleets = await Promise.all([startFleetProcess(), startFleetProcess()]);
  const ports = fleets.flat();
  assert.equal(ports.length, 12);
  assert.equal(new Set(ports).size, ports.length, ports.join(" "));
});

// A process that had failed to start was reported after 30 s, without a cause.
for (const role of ["entry", "broker"]) {
  test(`a fleet whose ${role} exits at its start fails with its output`, async (t) => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const fleet = await startFleet({
      dataCentres: ["north"],
      document: DOCUMENT,
      settings: { [role]: { port } },
      onOutput() {},
    });
    t.after(async () => {
      server.close();
      await fleet.stop();
    });
    const startedMs = performance.now();
    await assert.rejects(
      fleet.waitUntilReady(),
      new RegExp(`vm-1/${role} exited[^]*EADDRINUSE.*:${port}`),
    );
    const tookMs = performance.now() - startedMs;
    assert.ok(tookMs < 15_000, `failed after ${tookMs.toFixed(0)} ms`);
  });
}
