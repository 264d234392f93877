import type { ProcessStatus } from "@rosemarytiller/admin";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import { createStandInEngine } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { hashKey, TEST_KEY } from "./call_fleet.ts";
import { callStream } from "./run_load.ts";
import { type Fleet, startFleet, waitReady, waitUntil } from "./start_fleet.ts";

/** Time in which a change must be in force everywhere. */
const IN_FORCE_MS = 4000;
const KEY = "services/test";

let fleet: Fleet;
let engine: Awaited<ReturnType<typeof createStandInEngine>>;
/** What was seen to go back: the promise is that nothing does. */
const reversions: string[] = [];
let watching: NodeJS.Timeout;

/** A valid document; `mark`, a region name, makes its text differ. */
function textOf(mark: string): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" }, south: { region: mark } },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams: {
      "runner-1": {
        kind: "model-runner",
        serves: ["small"],
        dataCentre: "north",
        vm: "runner-vm-1",
        address: engine.url,
        maxConcurrent: 8,
      },
    },
    classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 10_000 }],
  });
}

async function readStatus(address: string): Promise<ProcessStatus | undefined> {
  try {
    const signal = AbortSignal.timeout(500);
    const answer = await fetch(`http://${address}/status`, { signal });
    return await answer.json() as ProcessStatus;
  } catch {
    return undefined;
  }
}

function listAddresses(vms = fleet.vms): string[] {
  return vms.flatMap((vm) => [vm.entryAdmin, vm.brokerAddress]);
}

/** Waits until all processes agree on a text; tells how long it took. */
async function waitInForce(
  revision: number,
  text: string,
  vms = fleet.vms,
): Promise<number> {
  const startedMs = performance.now();
  await waitUntil(
    async () => {
      const all = await Promise.all(listAddresses(vms).map(readStatus));
      return all.every((status) =>
        status?.revisions[KEY] === revision &&
        status.digests?.[KEY] === hashText(text)
      );
    },
    `revision ${revision} is in force`,
    { timeoutMs: IN_FORCE_MS },
  );
  return performance.now() - startedMs;
}

/** Asks all processes all the time and notes what goes back. */
function watchReversions(): NodeJS.Timeout {
  const highest = new Map<string, number>();
  async function look(address: string): Promise<void> {
    const status = await readStatus(address);
    // A process that is not ready serves nobody by what it has.
    if (!status?.ready) return;
    const revision = status.revisions[KEY] ?? 0;
    const before = highest.get(address) ?? 0;
    if (revision < before) {
      reversions.push(`${status.process}: ${revision} after ${before}`);
    }
    highest.set(address, Math.max(before, revision));
  }
  return setInterval(() => listAddresses().forEach(look), 50);
}

function restart(vm: Fleet["vms"][number]): void {
  vm.entry.kill("SIGKILL");
  vm.broker.kill("SIGKILL");
  vm.restart("broker");
  vm.restart("entry");
}

async function checkCalls(url: string): Promise<void> {
  const call = { model: "small", tokens: 5, prompt: "how much honey?" };
  const answer = await callStream(url, call);
  assert.ok(answer.isWhole, `${answer.status} ${answer.text}`);
}

before(async () => {
  engine = await createStandInEngine();
  fleet = await startFleet({
    dataCentres: ["north", "north", "south"],
    upstreamVms: { "runner-vm-1": "north" },
    document: textOf("first"),
    replicas: 2,
    // The third VM knows one replica only, the second.
    replicasOf: (vm) => vm === "vm-3" ? [1] : [0, 1],
    relayed: true,
  });
  await fleet.ready();
  watching = watchReversions();
});

after(async () => {
  clearInterval(watching);
  await fleet.stop();
  await engine.close();
});

afterEach(() => assert.deepEqual(reversions, []));

test("a change reaches all past a stale replica and past one that is down", async (t) => {
  for (const fault of ["stale", "down"]) {
    const faults = { [fault]: true };
    fleet.platform.setFaults(faults, 1);
    const text = textOf(fault);
    const spentMs = await waitInForce(fleet.platform.publish(KEY, text), text);
    t.diagnostic(`${fault}: in force after ${spentMs.toFixed(0)} ms`);
    fleet.platform.setFaults({ [fault]: false }, 1);
  }
});

test("an invalid document changes nothing and stops no later one", async () => {
  const bad = fleet.platform.publish(KEY, `{ "service": "test" }`);
  const good = textOf("after-the-fault");
  await waitInForce(fleet.platform.publish(KEY, good), good);
  assert.ok(fleet.platform.backup().documentRevision > bad);
});

test("two operators racing at two replicas end with one text everywhere", async () => {
  const revision = fleet.platform.backup().documentRevision + 1;
  const texts = [textOf("left"), textOf("right")];
  for (const [replica, text] of texts.entries()) {
    fleet.platform.publishAt(replica, { key: KEY, revision, text });
  }
  const [winner] = texts.sort((left, right) =>
    hashText(left) > hashText(right) ? -1 : 1
  );
  await waitInForce(revision, winner);
  const later = textOf("later");
  const next = fleet.platform.publish(KEY, later, revision + 1);
  await waitInForce(next, later);
});

test("a restored platform brings nothing old back, nor does a new process", async () => {
  const backup = fleet.platform.backup();
  const kept = textOf("kept");
  const revision = fleet.platform.publish(KEY, kept);
  await waitInForce(revision, kept);
  fleet.platform.restore(backup);
  restart(fleet.vms[2]);
  await waitReady(fleet.vms[2].entryAdmin);
  await waitInForce(revision, kept);
  const next = textOf("published-after-the-restore");
  await waitInForce(fleet.platform.publish(KEY, next, revision + 1), next);
});

test("processes start from peers while the platform is down", async (t) => {
  const text = textOf("before-the-outage");
  const revision = fleet.platform.publish(KEY, text);
  await waitInForce(revision, text);
  fleet.platform.setFaults({ down: true });
  const startedMs = performance.now();
  restart(fleet.vms[1]);
  await waitReady(fleet.vms[1].entryAdmin);
  const spentMs = performance.now() - startedMs;
  t.diagnostic(`ready after ${spentMs.toFixed(0)} ms`);
  await waitInForce(revision, text);
  for (const vm of fleet.vms) await checkCalls(vm.url);
  fleet.platform.setFaults({ down: false });
  const later = textOf("after-the-outage");
  const next = fleet.platform.publish(KEY, later);
  const recoveredMs = await waitInForce(next, later);
  t.diagnostic(`after the outage: in force after ${recoveredMs.toFixed(0)} ms`);
});

test("a process that slept brings no old revision back", async () => {
  const [vm] = fleet.vms;
  vm.broker.kill("SIGSTOP");
  vm.entry.kill("SIGSTOP");
  const text = textOf("published-in-the-sleep");
  const revision = fleet.platform.publish(KEY, text);
  await waitInForce(revision, text, fleet.vms.slice(1));
  vm.broker.kill("SIGCONT");
  vm.entry.kill("SIGCONT");
  await waitInForce(revision, text);
});

test("a VM cut off from peers and platform catches up when links heal", async () => {
  fleet.platform.setFaults({ down: true }, 1);
  fleet.betweenGroups(["vm-3"], ["vm-1", "vm-2"], "cut");
  const text = textOf("published-in-the-partition");
  const revision = fleet.platform.publish(KEY, text);
  await waitInForce(revision, text, fleet.vms.slice(0, 2));
  const cutOff = await readStatus(fleet.vms[2].brokerAddress);
  assert.equal(cutOff?.revisions[KEY], revision - 1);
  fleet.betweenGroups(["vm-3"], ["vm-1", "vm-2"], "heal");
  await waitInForce(revision, text);
  fleet.platform.setFaults({ down: false }, 1);
});
