import type { ProcessStatus } from "@rosemarytiller/admin";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import { createStandInEngine } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { hashKey, TEST_KEY } from "./call_fleet.ts";
import { callStream } from "./start_load.ts";
import { type Fleet, startFleet, waitUntil } from "./start_fleet.ts";

/**
 * Time on the run clock in which a change must take effect in all processes.
 */
const MAX_PROPAGATION_MS = 4000;
const KEY = "services/test";

let fleet: Fleet;
let engine: Awaited<ReturnType<typeof createStandInEngine>>;
/**
 * Cases in which a process returned to an older revision; there must be none.
 */
const reversions: string[] = [];
let reversionTimer: NodeJS.Timeout;

/** Formats a valid document; each region name gives a different text. */
function formatDocument(region: string): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" }, south: { region } },
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

/**
 * Waits until all processes of the VMs report the revision with the digest of
 * this text; returns the time in milliseconds.
 */
async function waitInEffect(
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
    `revision ${revision} is in effect`,
    { timeoutMs: MAX_PROPAGATION_MS },
  );
  return performance.now() - startedMs;
}

/**
 * Polls all processes every 50 ms and records each return to an older revision.
 */
function watchReversions(): NodeJS.Timeout {
  const highest = new Map<string, number>();
  async function checkRevision(address: string): Promise<void> {
    // Polls overlap, and an older response may be handled after a newer one, so
    // only revisions seen before this request was sent count.
    const before = highest.get(address) ?? 0;
    const status = await readStatus(address);
    // A process that is not ready serves no request with its revision.
    if (!status?.ready) return;
    const revision = status.revisions[KEY] ?? 0;
    if (revision < before) {
      reversions.push(`${status.process}: ${revision} after ${before}`);
    }
    highest.set(address, Math.max(highest.get(address) ?? 0, revision));
  }
  return setInterval(() => listAddresses().forEach(checkRevision), 50);
}

function restart(vm: Fleet["vms"][number]): void {
  vm.entry.kill("SIGKILL");
  vm.broker.kill("SIGKILL");
  vm.restart("broker");
  vm.restart("entry");
}

async function checkCall(url: string): Promise<void> {
  const call = { model: "small", tokens: 5, prompt: "how much honey?" };
  const answer = await callStream(url, call);
  assert.ok(answer.isComplete, `${answer.status} ${answer.text}`);
}

before(async () => {
  engine = await createStandInEngine();
  fleet = await startFleet({
    dataCentres: ["north", "north", "south"],
    upstreamVms: { "runner-vm-1": "north" },
    document: formatDocument("first"),
    replicas: 2,
    // The third VM is configured with the second replica only.
    replicaIndexes: (vm) => vm === "vm-3" ? [1] : [0, 1],
    hasRelays: true,
  });
  await fleet.waitUntilReady();
  reversionTimer = watchReversions();
});

after(async () => {
  clearInterval(reversionTimer);
  await fleet.stop();
  await engine.close();
});

afterEach(() => assert.deepEqual(reversions, []));

test("a change reaches all processes while a platform replica is stale or down", async (t) => {
  for (const fault of ["stale", "down"]) {
    const faults = { [fault]: true };
    fleet.platform.setFaults(faults, 1);
    const text = formatDocument(fault);
    const tookMs = await waitInEffect(fleet.platform.publish(KEY, text), text);
    t.diagnostic(`${fault}: in effect after ${tookMs.toFixed(0)} ms`);
    fleet.platform.setFaults({ [fault]: false }, 1);
  }
});

test("an invalid document is ignored and does not block a later revision", async () => {
  const bad = fleet.platform.publish(KEY, `{ "service": "test" }`);
  const good = formatDocument("after-the-fault");
  await waitInEffect(fleet.platform.publish(KEY, good), good);
  assert.ok(fleet.platform.backup().documentRevision > bad);
});

test("documents published under one revision at two replicas converge to one text", async () => {
  const revision = fleet.platform.backup().documentRevision + 1;
  const texts = [formatDocument("left"), formatDocument("right")];
  for (const [replica, text] of texts.entries()) {
    fleet.platform.publishAt(replica, { key: KEY, revision, text });
  }
  const [winner] = texts.sort((left, right) =>
    hashText(left) > hashText(right) ? -1 : 1
  );
  await waitInEffect(revision, winner);
  const later = formatDocument("later");
  const next = fleet.platform.publish(KEY, later, revision + 1);
  await waitInEffect(next, later);
});

test("restoring a platform backup reverts no process, not even a restarted one", async () => {
  const backup = fleet.platform.backup();
  const kept = formatDocument("kept");
  const revision = fleet.platform.publish(KEY, kept);
  await waitInEffect(revision, kept);
  fleet.platform.restore(backup);
  restart(fleet.vms[2]);
  await fleet.waitReady(fleet.vms[2].entryAdmin);
  await waitInEffect(revision, kept);
  const next = formatDocument("published-after-the-restore");
  await waitInEffect(fleet.platform.publish(KEY, next, revision + 1), next);
});

test("processes start with configuration from their peers while the platform is down", async (t) => {
  const text = formatDocument("before-the-outage");
  const revision = fleet.platform.publish(KEY, text);
  await waitInEffect(revision, text);
  fleet.platform.setFaults({ down: true });
  t.after(() => fleet.platform.setFaults({ down: false }));
  const startedMs = performance.now();
  restart(fleet.vms[1]);
  await fleet.waitReady(fleet.vms[1].entryAdmin);
  const tookMs = performance.now() - startedMs;
  t.diagnostic(`ready after ${tookMs.toFixed(0)} ms`);
  await waitInEffect(revision, text);
  for (const vm of fleet.vms) await checkCall(vm.url);
  fleet.platform.setFaults({ down: false });
  const later = formatDocument("after-the-outage");
  const next = fleet.platform.publish(KEY, later);
  const recoveredMs = await waitInEffect(next, later);
  t.diagnostic(
    `after the outage: in effect after ${recoveredMs.toFixed(0)} ms`,
  );
});

test("a process resumed after SIGSTOP does not bring back an old revision", async (t) => {
  const [vm] = fleet.vms;
  t.after(() => {
    vm.broker.kill("SIGCONT");
    vm.entry.kill("SIGCONT");
  });
  vm.broker.kill("SIGSTOP");
  vm.entry.kill("SIGSTOP");
  const text = formatDocument("published-while-stopped");
  const revision = fleet.platform.publish(KEY, text);
  await waitInEffect(revision, text, fleet.vms.slice(1));
  vm.broker.kill("SIGCONT");
  vm.entry.kill("SIGCONT");
  await waitInEffect(revision, text);
});

test("a VM partitioned from peers and platform catches up when its links are restored", async (t) => {
  fleet.platform.setFaults({ down: true }, 1);
  t.after(() => fleet.platform.setFaults({ down: false }, 1));
  fleet.setRelays(["vm-3"], ["vm-1", "vm-2"], "cut");
  const text = formatDocument("published-in-the-partition");
  const revision = fleet.platform.publish(KEY, text);
  await waitInEffect(revision, text, fleet.vms.slice(0, 2));
  const partitioned = await readStatus(fleet.vms[2].brokerAddress);
  assert.equal(partitioned?.revisions[KEY], revision - 1);
  fleet.setRelays(["vm-3"], ["vm-1", "vm-2"], "heal");
  await waitInEffect(revision, text);
});
