// Starts the router of the deploy file as processes on loopback addresses.
import process from "node:process";
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const HERE = import.meta.dirname;

const ROOT = resolve(HERE, "../..");

function freePort(host) {
  return new Promise((done) => {
    const server = net.createServer().listen(0, host, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });
}

/** The settings that `deploy/settings.jsonc` has for a machine. */
function settingsOf({ number, host, ports, store, seeds, options }) {
  return {
    vm: `edge-${number + 1}`,
    dataCentre: options.zones?.[number] ?? "north",
    callers: `${host}:${ports.front}`,
    ready: `${host}:${ports.ready}`,
    peers: `${host}:${ports.peers}`,
    metrics: `${host}:${ports.metrics}`,
    seeds,
    firstStart: options.isFirstStart ?? true,
    platform: store.address,
    retryRatio: 0.2,
    retrySlack: 58,
    retryWindowSeconds: 10,
    drainMs: 2000,
    memoryMegabytes: 200,
    maxDescriptors: 4100,
    stopGraceSeconds: 8,
    ...options.settings,
  };
}

/** Starts `count` routers; each has a loopback address of its own. */
async function startFleet({ count, store, base = 20, ...options }) {
  const folder = mkdtempSync(join(tmpdir(), "rig-"));
  const hosts = Array.from(
    { length: count },
    (_, at) => `127.0.${base}.${at + 1}`,
  );
  const ports = {
    front: await freePort(hosts[0]),
    ready: await freePort(hosts[0]),
    peers: await freePort(hosts[0]),
    metrics: await freePort(hosts[0]),
  };
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${ports.peers}`);
  const routers = hosts.map((host, number) => ({
    number,
    host,
    child: undefined,
    stops: [],
  }));
  let isOver = false;

  function start(router, isFirstStart = true) {
    const file = join(folder, `boot-${router.number}.jsonc`);
    const settings = settingsOf({
      number: router.number,
      host: router.host,
      ports,
      store,
      seeds,
      options: { ...options, isFirstStart },
    });
    writeFileSync(file, JSON.stringify(settings));
    const log = openSync(join(folder, `log-${router.number}.txt`), "a");
    // The command of deploy/system.toml: node target/rosemarytiller.cjs
    router.child = spawn("node", ["target/rosemarytiller.cjs"], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ROSEMARYTILLER_CONFIG: file,
      },
      stdio: ["ignore", log, log],
    });
    router.isUp = true;
    router.child.on("exit", (code, signal) => {
      router.isUp = false;
      router.stops.push({ at: Date.now(), code, signal });
    });
  }

  function isReady(router) {
    return new Promise((done) => {
      const request = http.get({
        host: router.host,
        port: ports.ready,
        path: "/rosemarytiller/readiness",
        agent: false,
        timeout: 500,
      }, (response) => {
        response.resume();
        done(response.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => done(false));
    });
  }

  async function waitReady(list = routers, ms = 15000) {
    const end = Date.now() + ms;
    for (const router of list) {
      while (!(await isReady(router))) {
        if (Date.now() > end) throw new Error(`${router.host} isn't ready`);
        await sleep(50);
      }
    }
  }

  for (const router of routers) start(router);
  const cleanUp = () => {
    for (const { child, isUp } of routers) if (isUp) child.kill("SIGKILL");
  };
  process.on("exit", cleanUp);
  // A signal ends this process without its exit handlers.
  for (const name of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.once(name, () => process.exit(2));
  }
  return {
    folder,
    ports,
    routers,
    start,
    isReady,
    waitReady,
    address: (number) => ({ host: routers[number].host, port: ports.front }),
    signal: (number, name) => routers[number].child.kill(name),
    async close() {
      if (isOver) return;
      isOver = true;
      cleanUp();
      while (routers.some(({ isUp }) => isUp)) await sleep(10);
      if (!process.env.KEEP) rmSync(folder, { recursive: true, force: true });
    },
  };
}

const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

export { freePort, sleep, startFleet };
