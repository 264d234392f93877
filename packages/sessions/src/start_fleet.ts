import type { PublishedVm } from "@rosemarytiller/link";
import {
  createRelay,
  createStandInPlatform,
  leasePort,
  type Relay,
  releasePort,
  type StandInPlatform,
} from "@rosemarytiller/standins";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { addRunClockProcess, createRunClock } from "./create_run_clock.ts";

/** One VM of a test fleet: an entry and a broker as real processes. */
export interface FleetVm {
  name: string;
  dataCentre: string;
  /** Base URL for callers. */
  url: string;
  /** `host:port` of the entry's admin server. */
  entryAdmin: string;
  /** `host:port` of the broker. */
  brokerAddress: string;
  entry: ChildProcess;
  broker: ChildProcess;
  /**
   * Starts a new process for a role whose process was stopped, and stores it in
   * `entry` or `broker`.
   */
  restart(role: "entry" | "broker"): void;
}

/** Entries and brokers as real processes, with a stand-in platform. */
export interface Fleet {
  platform: StandInPlatform;
  vms: FleetVm[];
  /**
   * Publishes the list of all VMs. `change` may replace a VM, or remove it
   * (undefined).
   */
  publishVms(change?: (vm: PublishedVm) => PublishedVm | undefined): void;
  /**
   * Returns the relay from the processes of VM `from` to the broker of VM `to`;
   * there is one only with `hasRelays`.
   */
  relay(from: string, to: string): Relay;
  /**
   * Cuts, freezes or heals all relays between two groups of VMs, in both
   * directions.
   */
  setRelays(
    left: readonly string[],
    right: readonly string[],
    action: "cut" | "freeze" | "heal",
  ): void;
  /**
   * Resolves when every entry is ready and every broker listens. Rejects like
   * `waitReady`.
   */
  waitUntilReady(): Promise<void>;
  /**
   * Resolves when the process with an admin address is ready. Rejects like
   * `waitUntil` after 30 s, and as soon as a process of the fleet has exited
   * that was not signalled.
   */
  waitReady(address: string): Promise<void>;
  /**
   * Kills all processes, closes the relays and the platform, deletes the
   * settings files and ends the leases of the ports.
   */
  stop(): Promise<void>;
}

/** VMs, service document and network of a test fleet. */
export interface FleetOptions {
  /** Data centre of each VM, in order. */
  dataCentres: string[];
  /** Text of the service document. */
  document: string;
  /** VMs of upstreams by name, with their data centre. */
  upstreamVms?: Record<string, string>;
  /** Number of platform replicas; one by default. */
  replicas?: number;
  /** Indexes of the replicas in a VM's settings; all by default. */
  replicaIndexes?: (vm: string) => number[];
  /** Settings of each VM; they override the generated ones. */
  settings?: Record<string, unknown>;
  /**
   * Receives what the processes write; by default it goes to this process's
   * output.
   */
  onOutput?: (text: string) => void;
  /**
   * Whether links between VMs go through relays, which can cut or freeze them.
   */
  hasRelays?: boolean;
}

const MAIN_FILE = fileURLToPath(import.meta.resolve("rosemarytiller"))
  .replace(/index\.js$/, "main.js");

/** Length in characters of the output that a failed start reports. */
const REPORTED_OUTPUT_LENGTH = 4000;

/**
 * Starts a fleet and publishes its document and VM list. Resolves before its
 * processes are ready; they run until `stop`.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const platform = await createStandInPlatform({
    replicas: options.replicas,
  });
  const folder = await mkdtemp(join(tmpdir(), "rosemarytiller-"));
  const children = new Set<ChildProcess>();
  const ports: number[] = [];
  /** Descriptions of the processes that exited without being signalled. */
  const unexpectedExits: string[] = [];

  async function leaseFleetPort(): Promise<number> {
    const port = await leasePort();
    ports.push(port);
    return port;
  }

  function startProcess(name: string, role: string): ChildProcess {
    const child = spawn(
      process.execPath,
      [MAIN_FILE, role, "--settings", settingsFile(name)],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    let lastOutput = "";
    for (const stream of ["stdout", "stderr"] as const) {
      child[stream].on("data", (chunk) => {
        const text = String(chunk);
        lastOutput = (lastOutput + text).slice(-REPORTED_OUTPUT_LENGTH);
        if (options.onOutput) options.onOutput(text);
        else process[stream].write(text);
      });
    }
    children.add(child);
    const removeFromRunClocks = addRunClockProcess(child.pid!);
    child.once("exit", () => {
      children.delete(child);
      removeFromRunClocks();
    });
    child.once("close", (code, signal) => {
      if (child.killed) return;
      unexpectedExits.push(
        `${name}/${role} exited with ${code ?? signal}:\n${lastOutput}`,
      );
    });
    return child;
  }

  function settingsFile(name: string): string {
    return join(folder, `${name}.jsonc`);
  }

  const relays = new Map<string, Relay>();
  const brokerPorts = new Map<string, number>();

  /**
   * Starts a relay to each other VM's broker; returns their addresses by VM.
   */
  async function startRelays(from: string): Promise<Record<string, string>> {
    const addresses: Record<string, string> = {};
    if (!options.hasRelays) return addresses;
    for (const [to, port] of brokerPorts) {
      if (to === from) continue;
      const relay = await createRelay(`127.0.0.1:${port}`);
      relays.set(`${from} ${to}`, relay);
      addresses[to] = relay.address;
    }
    return addresses;
  }

  async function startVm(name: string, dataCentre: string): Promise<FleetVm> {
    const entry = await leaseFleetPort();
    const entryAdmin = await leaseFleetPort();
    const broker = brokerPorts.get(name)!;
    const settings = {
      vm: name,
      dataCentre,
      platform: options.replicaIndexes?.(name).map((at) => platform.urls[at]) ??
        platform.urls,
      linkKey: "a link key for the test fleet",
      entry: { port: entry },
      entryAdmin: { port: entryAdmin },
      broker: { port: broker },
      linkAddresses: await startRelays(name),
      ...options.settings,
    };
    await writeFile(settingsFile(name), JSON.stringify(settings, null, 2));
    const vm: FleetVm = {
      name,
      dataCentre,
      url: `http://127.0.0.1:${entry}`,
      entryAdmin: `127.0.0.1:${entryAdmin}`,
      brokerAddress: `127.0.0.1:${broker}`,
      entry: startProcess(name, "entry"),
      broker: startProcess(name, "broker"),
      restart(role) {
        vm[role] = startProcess(name, role);
      },
    };
    return vm;
  }

  for (const index of options.dataCentres.keys()) {
    brokerPorts.set(`vm-${index + 1}`, await leaseFleetPort());
  }
  const vms: FleetVm[] = [];
  for (const [index, dataCentre] of options.dataCentres.entries()) {
    vms.push(await startVm(`vm-${index + 1}`, dataCentre));
  }

  function publishVms(
    change: (vm: PublishedVm) => PublishedVm | undefined = (vm) => vm,
  ): void {
    const published: PublishedVm[] = [];
    for (const vm of vms) {
      published.push({
        name: vm.name,
        dataCentre: vm.dataCentre,
        region: "",
        kind: "entry",
        state: "live",
        broker: vm.brokerAddress,
        entryAdmin: vm.entryAdmin,
      });
    }
    const upstreamVms = Object.entries(options.upstreamVms ?? {});
    for (const [name, dataCentre] of upstreamVms) {
      published.push({
        name,
        dataCentre,
        region: "",
        kind: "upstream",
        state: "live",
        broker: "",
        entryAdmin: "",
      });
    }
    platform.setVms(published.flatMap((vm) => change(vm) ?? []));
  }

  /** Polls the readiness endpoint until its answer is as wanted. */
  async function waitForAnswer(
    address: string,
    isWanted: (answer: Response) => boolean,
  ): Promise<void> {
    await waitUntil(async () => {
      const [unexpectedExit] = unexpectedExits;
      if (unexpectedExit) throw new Error(unexpectedExit);
      const answer = await fetch(`http://${address}/ready`).catch(() => null);
      return answer !== null && isWanted(answer);
    }, `the process at ${address} is ready`);
  }

  function waitReady(address: string): Promise<void> {
    return waitForAnswer(address, ({ status }) => status === 200);
  }

  platform.publish("services/test", options.document);
  publishVms();

  return {
    platform,
    vms,
    publishVms,
    relay: (from, to) => relays.get(`${from} ${to}`)!,
    setRelays(left, right, action) {
      for (const one of left) {
        for (const other of right) {
          relays.get(`${one} ${other}`)![action]();
          relays.get(`${other} ${one}`)![action]();
        }
      }
    },
    async waitUntilReady() {
      for (const vm of vms) await waitReady(vm.entryAdmin);
      for (const vm of vms) await waitForAnswer(vm.brokerAddress, () => true);
    },
    waitReady,
    async stop() {
      const exits = [...children].map((child) => once(child, "exit"));
      for (const child of children) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
      await Promise.all(exits);
      for (const relay of relays.values()) await relay.close();
      await platform.close();
      await rm(folder, { recursive: true });
      for (const port of ports.splice(0)) releasePort(port);
    },
  };
}

/** Longest wait in real time, as a multiple of the timeout on the run clock. */
const MAX_WAIT_FACTOR = 10;

/**
 * Polls a condition every 20 ms until it holds. Throws after `timeoutMs` on a
 * run clock, by default 30 s, and at the latest after `MAX_WAIT_FACTOR` times
 * that. `description` completes "waiting until" in the error.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  description: string,
  options: { timeoutMs?: number } = {},
): Promise<void> {
  const { timeoutMs = 30_000 } = options;
  const runClock = createRunClock();
  const endMs = performance.now() + timeoutMs * MAX_WAIT_FACTOR;
  while (!(await condition())) {
    if (runClock() > timeoutMs || performance.now() > endMs) {
      throw new Error(`timed out waiting until ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}
