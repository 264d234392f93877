// Starts processes of the deploy file on loopback addresses.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** The repository's root. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Finds a TCP port that is free on all `hosts`. */
async function findPort(hosts) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 20_000);
    let isFree = true;
    for (const host of hosts) {
      isFree &&= await new Promise((resolve) => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, host, () => probe.close(() => resolve(true)));
      });
    }
    if (isFree) return port;
  }
}

/** Reads the `run` command of the router's role from the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
}

/**
 * Starts `zones.length` routers, one in each of the named zones, and waits until
 * all are ready.
 */
export async function startFleet(options) {
  const { zones, store, bounds = {}, settings = {} } = options;
  const hosts = zones.map((_, index) => `127.0.0.${11 + index}`);
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const [front, ready, peers, metrics] = [
    await findPort(hosts),
    await findPort(hosts),
    await findPort(hosts),
    await findPort(hosts),
  ];
  const [command, ...words] = readRunCommand();
  const vms = [];

  function startVm(index) {
    const host = hosts[index];
    const path = join(folder, `vm-${index + 1}.jsonc`);
    // What deploy/settings.jsonc gives for such a machine.
    writeFileSync(
      path,
      JSON.stringify({
        vm: `edge-${zones[index]}-${index + 1}`,
        dataCentre: zones[index],
        callers: `${host}:${front}`,
        ready: `${host}:${ready}`,
        peers: `${host}:${peers}`,
        metrics: `${host}:${metrics}`,
        seeds: hosts.slice(0, 3).map((seed) => `${seed}:${peers}`),
        platform: store.address,
        retryRatio: bounds.retry_ratio ?? 0.2,
        retrySlack: bounds.retry_slack ?? 54,
        retryWindowSeconds: bounds.budget_window_s ?? 10,
        drainMs: bounds.drain_ms ?? 2000,
        stopGraceSeconds: bounds.grace_s ?? 8,
        ...settings,
      }),
    );
    const child = spawn(command, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ROSEMARYTILLER_CONFIG: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const vm = { index, host, front, child, log: "", exit: undefined };
    const keep = (chunk) => vm.log += chunk;
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    vm.ended = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        vm.exit = { code, signal };
        resolve(vm.exit);
      });
    });
    vms[index] = vm;
    return vm;
  }

  function isReady(index) {
    return new Promise((resolve) => {
      const call = request({
        host: hosts[index],
        port: ready,
        path: "/rosemarytiller/readiness",
        agent: false,
        timeout: 500,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(false));
      call.end();
    });
  }

  async function waitReady(indexes) {
    const untilMs = Date.now() + 15_000;
    for (const index of indexes) {
      while (!await isReady(index)) {
        if (Date.now() > untilMs) throw new Error(`vm ${index} is not ready`);
        await sleep(50);
      }
    }
  }

  const all = zones.map((_, index) => index);
  for (const index of all) startVm(index);
  await waitReady(all);
  return {
    vms,
    hosts,
    front,
    startVm,
    waitReady,
    isReady,
    /** Ends all processes that were started here. */
    async close() {
      for (const { child, exit } of vms) if (!exit) child.kill("SIGKILL");
      await Promise.all(vms.map(({ ended }) => ended));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
