import { type ChildProcess, spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { leasePort } from "./lease_port.ts";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

/** Routers as processes on loopback addresses, each with a settings file. */
export interface ProcessFleet {
  /** Address for callers. */
  addressOf(router: number): { host: string; port: number };
  /** Addresses of the readiness check and of the metrics. */
  sideAddressesOf(router: number): Record<"ready" | "metrics", HostAndPort>;
  /** Most memory that a router's process has had resident, in bytes. */
  peakMemoryOf(router: number): number;
  /** Number of descriptors that a router's process has open. */
  descriptorCountOf(router: number): number;
  /** Address at which a router receives its peers' datagrams. */
  peerAddressOf(router: number): { host: string; port: number };
  isReady(router: number): Promise<boolean>;
  /** Whether a router has ended and does not listen again yet. */
  isStarting(router: number): boolean;
  /** Number of routers that are starting. */
  startingCount(): number;
  /** Number of processes that were started for a router. */
  startCount(router: number): number;
  /** Number of times that a router was killed without a planned stop. */
  killCount(router: number): number;
  /** Monotonic times of these kills, in milliseconds. */
  killTimesOf(router: number): readonly number[];
  /** All that a router's processes have logged. */
  logOf(router: number): string;
  /** Kills a router unless it is starting, and starts it again. */
  kill(router: number): Promise<void>;
  /** Suspends the process of a router by SIGSTOP, or continues it. */
  setSuspended(router: number, isSuspended: boolean): void;
  /**
   * Stops a router by SIGTERM, kills it if it still runs after the grace
   * period, and starts it again on its ports. Does nothing unless it is up.
   */
  restart(router: number): Promise<void>;
  /** Sends a signal to a router that is up or stopping, without waiting. */
  signal(router: number, signal: NodeJS.Signals): void;
  /** Changes the settings file; sends SIGHUP if `signals`. */
  reload(router: number, options: ReloadOptions): void;
  /** Processes that ended by themselves, with their exit codes. */
  unexpectedExits(): string[];
  close(): void;
}

/** Host and port of a server. */
export interface HostAndPort {
  host: string;
  port: number;
}

/** Options of a change of a router's settings. */
export interface ReloadOptions {
  settings: Record<string, unknown>;
  signals: boolean;
}

/** Program that the processes of a fleet run. */
export interface FleetProgram {
  mainFile: string;
  /** Environment variable with the path of the settings file. */
  settingsVariable: string;
  /** Path of the readiness endpoint; 200 if ready. */
  readyPath: string;
}

/** Options of a fleet of processes. */
export interface ProcessFleetOptions {
  program: FleetProgram;
  count: number;
  storePort: number;
  /** Settings that differ from those of the fleet, by name. */
  settings?: Record<string, unknown>;
  /** Existing directory for the routers' logs; by default, none are kept. */
  logDirectory?: string | undefined;
}

interface RouterProcess {
  ports: { callers: number; ready: number; metrics: number };
  settingsFile: string;
  settings: Record<string, unknown>;
  child: ChildProcess | undefined;
  exited: Promise<void>;
  state: RouterState;
  starts: number;
  killTimesMs: number[];
}

enum RouterState {
  Up,
  /** SIGTERM or SIGKILL was sent; the process may still run. */
  Stopping,
  Starting,
}

/** Time between SIGTERM and SIGKILL unless the settings differ, in seconds. */
export const STOP_GRACE_SECONDS = 8;
/** Longest time until a started process listens, in milliseconds. */
const START_TIMEOUT_MS = 15_000;
const START_POLL_MS = 20;
/** Unit of the memory figures of the operating system. */
const BYTES_PER_KILOBYTE = 1024;

/** Starts routers on one store, with the first as their seed. */
export async function startProcessFleet(
  options: ProcessFleetOptions,
): Promise<ProcessFleet> {
  const { program, count, storePort, logDirectory } = options;
  const directory = mkdtempSync(join(tmpdir(), "router-fleet-"));
  const peerPort = await leasePort("127.0.0.1");
  const routers: RouterProcess[] = [];
  const unexpectedExits: string[] = [];
  let isClosed = false;

  function writeSettings({ settingsFile, settings }: RouterProcess): void {
    // A router may read the file at any time, so that it is replaced at once.
    const newFile = `${settingsFile}.new`;
    writeFileSync(newFile, JSON.stringify(settings));
    renameSync(newFile, settingsFile);
  }

  function readProcessFile(number: number, name: string): string {
    return readFileSync(`/proc/${routers[number]!.child!.pid}/${name}`, "utf8");
  }

  function logFileOf(number: number): string {
    return join(logDirectory ?? directory, `vm-${number + 1}.log`);
  }

  function spawnRouter(number: number): void {
    const router = routers[number]!;
    const logFile = logFileOf(number);
    const output = openSync(logFile, "a");
    const child = spawn(process.execPath, [program.mainFile], {
      env: { ...process.env, [program.settingsVariable]: router.settingsFile },
      stdio: ["ignore", output, output],
    });
    closeSync(output);
    router.child = child;
    router.starts++;
    router.exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        if (!isClosed && router.state !== RouterState.Stopping) {
          const lastLine = readFileSync(logFile, "utf8").trim()
            .split("\n").at(-1);
          const exit = `vm-${number + 1}: ${code ?? signal}, ${lastLine}`;
          unexpectedExits.push(exit);
        }
        resolve();
      });
    });
  }

  function readiness(number: number): Promise<number> {
    return new Promise((resolve) => {
      const path = program.readyPath;
      const { ready: port } = routers[number]!.ports;
      const outgoing = request(
        { host: hostOf(number), port, path, agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode!);
        },
      );
      outgoing.on("error", () => resolve(0));
      outgoing.end();
    });
  }

  async function startRouter(number: number): Promise<void> {
    if (isClosed) return;
    spawnRouter(number);
    const endMs = performance.now() + START_TIMEOUT_MS;
    while (!isClosed && (await readiness(number)) === 0) {
      if (performance.now() > endMs) throw new Error("a router did not start");
      if (routers[number]!.child!.exitCode !== null) spawnRouter(number);
      await sleep(START_POLL_MS);
    }
  }

  /** Ends a router with `signal` and starts it again. */
  async function replace(number: number, signal: NodeJS.Signals) {
    const router = routers[number]!;
    router.state = RouterState.Stopping;
    router.child?.kill(signal);
    const timer = setTimeout(
      () => router.child?.kill("SIGKILL"),
      Number(router.settings.stopGraceSeconds) * 1000,
    );
    await router.exited;
    clearTimeout(timer);
    router.state = RouterState.Starting;
    await startRouter(number);
    router.state = RouterState.Up;
  }

  for (let number = 0; number < count; number++) {
    const host = hostOf(number);
    const ports = {
      callers: await leasePort(host),
      ready: await leasePort(host),
      metrics: await leasePort(host),
    };
    const router: RouterProcess = {
      ports,
      settingsFile: join(directory, `vm-${number + 1}.json`),
      settings: {
        vm: `vm-${number + 1}`,
        dataCentre: "north",
        callers: `${host}:${ports.callers}`,
        ready: `${host}:${ports.ready}`,
        peers: `${host}:${peerPort}`,
        metrics: `${host}:${ports.metrics}`,
        seeds: [`127.0.0.1:${peerPort}`],
        platform: `127.0.0.1:${storePort}`,
        retryRatio: 0.2,
        retrySlack: 50,
        leaveMs: 300,
        stopGraceSeconds: STOP_GRACE_SECONDS,
        ...options.settings,
      },
      child: undefined,
      exited: Promise.resolve(),
      state: RouterState.Up,
      starts: 0,
      killTimesMs: [],
    };
    routers.push(router);
    writeSettings(router);
  }
  await Promise.all(routers.map((_router, number) => startRouter(number)));

  return {
    addressOf: (number) => ({
      host: hostOf(number),
      port: routers[number]!.ports.callers,
    }),
    sideAddressesOf(number) {
      const host = hostOf(number);
      const { ready, metrics } = routers[number]!.ports;
      return { ready: { host, port: ready }, metrics: { host, port: metrics } };
    },
    peakMemoryOf(number) {
      const status = readProcessFile(number, "status");
      const [, kilobytes = "0"] = /VmHWM:\s+(\d+) kB/.exec(status) ?? [];
      return Number(kilobytes) * BYTES_PER_KILOBYTE;
    },
    descriptorCountOf: (number) =>
      readdirSync(`/proc/${routers[number]!.child!.pid}/fd`).length,
    peerAddressOf: (number) => ({ host: hostOf(number), port: peerPort }),
    setSuspended: (number, isSuspended) =>
      void routers[number]!.child?.kill(isSuspended ? "SIGSTOP" : "SIGCONT"),
    isReady: async (number) => (await readiness(number)) === 200,
    startCount: (number) => routers[number]!.starts,
    killCount: (number) => routers[number]!.killTimesMs.length,
    killTimesOf: (number) => routers[number]!.killTimesMs,
    logOf: (number) => readFileSync(logFileOf(number), "utf8"),
    async kill(number) {
      const router = routers[number]!;
      if (router.state === RouterState.Starting) return;
      router.killTimesMs.push(performance.now());
      // A planned stop that is in progress starts the router again.
      if (router.state === RouterState.Stopping) router.child?.kill("SIGKILL");
      else await replace(number, "SIGKILL");
    },
    async restart(number) {
      if (routers[number]!.state !== RouterState.Up) return;
      await replace(number, "SIGTERM");
    },
    signal: (number, signal) => void routers[number]!.child?.kill(signal),
    isStarting: (number) => routers[number]!.state === RouterState.Starting,
    startingCount: () =>
      routers.filter(({ state }) => state === RouterState.Starting).length,
    reload(number, { settings, signals }) {
      const router = routers[number]!;
      router.settings = { ...router.settings, ...settings };
      writeSettings(router);
      // A process that is still loading has no handler yet.
      const isLoading = router.state === RouterState.Starting;
      if (signals && !isLoading) router.child?.kill("SIGHUP");
    },
    unexpectedExits: () => unexpectedExits,
    close() {
      isClosed = true;
      for (const { child } of routers) child?.kill("SIGKILL");
      rmSync(directory, { recursive: true, force: true });
    },
  };
}

/** Returns the loopback address of a router. */
function hostOf(router: number): string {
  return `127.0.0.${router + 1}`;
}
