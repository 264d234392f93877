import type { PublishedVm } from "@rosemarytiller/link";
import {
  createRelay,
  createStandInPlatform,
  type Relay,
  type StandInPlatform,
} from "@rosemarytiller/standins";
import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** One VM of a test fleet: an entry and a broker as real processes. */
export interface FleetVm {
  name: string;
  dataCentre: string;
  /** Base URL for callers. */
  url: string;
  entryAdmin: string;
  brokerAddress: string;
  entry: ChildProcess;
  broker: ChildProcess;
  /** Starts a role again after its end. */
  restart(role: "entry" | "broker"): void;
}

/** A fleet of real processes around a stand-in platform. */
export interface Fleet {
  platform: StandInPlatform;
  vms: FleetVm[];
  /** Publishes the list of all VMs, with changes. */
  publishVms(change?: (vm: PublishedVm) => PublishedVm | undefined): void;
  /** The relay by which one VM's processes reach another VM's broker. */
  relay(from: string, to: string): Relay;
  /** Cuts, freezes or heals all relays between two groups of VMs. */
  betweenGroups(
    left: readonly string[],
    right: readonly string[],
    action: "cut" | "freeze" | "heal",
  ): void;
  /** Resolves when every entry is ready. */
  ready(): Promise<void>;
  stop(): Promise<void>;
}

/** How a test fleet is laid out. */
export interface FleetOptions {
  /** Data centre of each VM, in order. */
  dataCentres: string[];
  /** Text of the service document. */
  document: string;
  /** VMs of upstreams by name, with their data centre. */
  upstreamVms?: Record<string, string>;
  /** Replicas of the platform; one unless said. */
  replicas?: number;
  /** Replicas that a VM is told of; all unless said. */
  replicasOf?: (vm: string) => number[];
  /** Settings beside the addresses. */
  settings?: Record<string, unknown>;
  /** Takes what the processes write, in place of this process's output. */
  onOutput?: (text: string) => void;
  /** Whether links between VMs go through relays. */
  relayed?: boolean;
}

const MAIN = fileURLToPath(import.meta.resolve("rosemarytiller"))
  .replace(/index\.js$/, "main.js");

/** Ports that the kernel hands to no outgoing connection. */
const FIRST_PORT = 10_100;
const LAST_PORT = 32_000;

/** Finds a port on which a process started next can listen. */
export async function freePort(): Promise<number> {
  while (true) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    const server = createServer().listen(port, "127.0.0.1");
    try {
      await once(server, "listening");
    } catch {
      continue;
    }
    server.close();
    await once(server, "close");
    return port;
  }
}

/** Starts a fleet; its processes end with `stop`. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const platform = await createStandInPlatform({
    replicas: options.replicas,
  });
  const folder = await mkdtemp(join(tmpdir(), "rosemarytiller-"));
  const children = new Set<ChildProcess>();

  function run(role: string, file: string): ChildProcess {
    const { onOutput } = options;
    const output = onOutput ? "pipe" : "inherit";
    const child = spawn(process.execPath, [MAIN, role, "--settings", file], {
      stdio: ["ignore", output, output],
    });
    child.stdout?.on("data", (chunk) => onOutput!(String(chunk)));
    child.stderr?.on("data", (chunk) => onOutput!(String(chunk)));
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
  }

  const relays = new Map<string, Relay>();
  const brokerPorts = new Map<string, number>();

  /** Starts the relays from one VM to all others. */
  async function startRelays(from: string): Promise<Record<string, string>> {
    const addresses: Record<string, string> = {};
    if (!options.relayed) return addresses;
    for (const [to, port] of brokerPorts) {
      if (to === from) continue;
      const relay = await createRelay(`127.0.0.1:${port}`);
      relays.set(`${from} ${to}`, relay);
      addresses[to] = relay.address;
    }
    return addresses;
  }

  async function startVm(name: string, dataCentre: string): Promise<FleetVm> {
    const [entry, entryAdmin] = [await freePort(), await freePort()];
    const broker = brokerPorts.get(name)!;
    const file = join(folder, `${name}.jsonc`);
    const settings = {
      vm: name,
      dataCentre,
      platform: options.replicasOf?.(name).map((at) => platform.urls[at]) ??
        platform.urls,
      linkKey: "a link key for the test fleet",
      entry: { port: entry },
      entryAdmin: { port: entryAdmin },
      broker: { port: broker },
      linkAddresses: await startRelays(name),
      ...options.settings,
    };
    await writeFile(file, JSON.stringify(settings, null, 2));
    const vm: FleetVm = {
      name,
      dataCentre,
      url: `http://127.0.0.1:${entry}`,
      entryAdmin: `127.0.0.1:${entryAdmin}`,
      brokerAddress: `127.0.0.1:${broker}`,
      entry: run("entry", file),
      broker: run("broker", file),
      restart(role) {
        vm[role] = run(role, file);
      },
    };
    return vm;
  }

  for (const index of options.dataCentres.keys()) {
    brokerPorts.set(`vm-${index + 1}`, await freePort());
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

  platform.publish("services/test", options.document);
  publishVms();

  return {
    platform,
    vms,
    publishVms,
    relay: (from, to) => relays.get(`${from} ${to}`)!,
    betweenGroups(left, right, action) {
      for (const one of left) {
        for (const other of right) {
          relays.get(`${one} ${other}`)![action]();
          relays.get(`${other} ${one}`)![action]();
        }
      }
    },
    async ready() {
      for (const vm of vms) await waitReady(vm.entryAdmin);
    },
    async stop() {
      const ends = [...children].map((child) => once(child, "exit"));
      for (const child of children) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
      await Promise.all(ends);
      for (const relay of relays.values()) await relay.close();
      await platform.close();
      await rm(folder, { recursive: true });
    },
  };
}

/** Polls a readiness endpoint until it says ready. */
export async function waitReady(address: string): Promise<void> {
  await waitUntil(async () => {
    const answer = await fetch(`http://${address}/ready`).catch(() => null);
    return answer?.status === 200;
  }, "a process became ready");
}

/** Polls a condition until it holds; fails after a generous bound. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  what: string,
  options: { timeoutMs?: number } = {},
): Promise<void> {
  const untilMs = performance.now() + (options.timeoutMs ?? 30_000);
  while (!(await condition())) {
    if (performance.now() > untilMs) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}
