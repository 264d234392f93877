import { type Clock, createSystemClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { test } from "node:test";
import {
  createPeerNetwork,
  MEMBER_EXPIRY_MS,
  type PeerNetwork,
} from "./create_peer_network.ts";
import { type LoadEvent, LoadEventKind } from "./peer_messages.ts";

/** Address on which no VM of these tests listens. */
const PORT_HOLDER = "127.0.0.100";

/**
 * Binds a free UDP port of `PORT_HOLDER`. No other test gets the same port
 * until the socket is closed.
 */
async function holdPort(): Promise<Socket> {
  const holder = createSocket("udp4").bind(0, PORT_HOLDER);
  await once(holder, "listening");
  return holder;
}

/** Starts a VM in each data centre given; resolves once all know each other. */
async function startNetworks(
  t: { after(action: () => void): void },
  dataCentres: readonly string[],
) {
  const holder = await holdPort();
  const { port } = holder.address();
  const system = createSystemClock();
  const pendingTimers = new Set<object>();
  /** Time by which the clock of the VMs is ahead, in milliseconds. */
  let aheadMs = 0;
  /** Hosts whose process each VM lost, by VM. */
  const lost = dataCentres.map((): string[] => []);
  const clock: Clock = {
    ...system,
    now: () => system.now() + aheadMs,
    after(ms, action) {
      const timer = {};
      pendingTimers.add(timer);
      const cancel = system.after(ms, () => {
        pendingTimers.delete(timer);
        action();
      });
      return () => {
        pendingTimers.delete(timer);
        cancel();
      };
    },
  };
  const received: LoadEvent[][] = dataCentres.map(() => []);
  /** Hosts whose data centre each VM knows, by VM. */
  const located = dataCentres.map(() => new Set<string>());
  let onChange = () => {};
  const networks: PeerNetwork[] = [];
  t.after(() => {
    for (const network of networks) network.close();
    holder.close();
  });
  for (const [number, dataCentre] of dataCentres.entries()) {
    const network = createPeerNetwork({
      clock,
      host: `127.0.0.${number + 1}`,
      port,
      dataCentre,
      seeds: () => ["127.0.0.1"],
      heartbeatState: () => ({ revision: 0, confirmedAgeMs: 0, calls: [] }),
    });
    networks.push(network);
    await network.start({
      onHeartbeat(member) {
        located[number]!.add(member.host);
        onChange();
      },
      onLoadEvents(_member, events) {
        received[number]!.push(...events);
        onChange();
      },
      onItems() {},
      onStreamQuery: () => undefined,
      onProcessLost(host) {
        lost[number]!.push(host);
        onChange();
      },
      onMembership() {},
    });
  }
  function until(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      onChange = () => condition() && resolve();
      onChange();
    });
  }
  const others = dataCentres.length - 1;
  await until(() => located.every((hosts) => hosts.size === others));
  const advance = (ms: number) => void (aheadMs += ms);
  return { networks, received, until, pendingTimers, lost, advance };
}

test("the two lowest hosts of a data centre are readers", async (t) => {
  const dataCentres = ["north", "north", "north", "south"];
  const { networks } = await startNetworks(t, dataCentres);
  assert.deepEqual(networks.map((network) => network.isStoreReader()), [
    true,
    true,
    false,
    true,
  ]);
});

// Guards against a part of a fleet that takes itself for the whole.
test("a fleet is not whole from the loss of a VM until it is forgotten", async (t) => {
  const { networks } = await startNetworks(t, ["north", "south"]);
  assert.deepEqual(networks.map((network) => network.isWhole()), [true, true]);
  networks[1]!.close();
  const started = performance.now();
  while (networks[0]!.isWhole() && performance.now() < started + 5000) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  assert.equal(networks[0]!.isWhole(), false);
  assert.equal(networks[0]!.knownVmCount(), 2);
});

// Guards against calls that count as in progress for ever after their VM was
// lost for good.
test("a VM that does not come back is forgotten with its calls", async (t) => {
  const { networks, until, lost, advance } = await startNetworks(t, [
    "north",
    "south",
  ]);
  networks[1]!.close();
  advance(MEMBER_EXPIRY_MS + 1);
  await until(() => lost[0]!.length > 0);
  assert.deepEqual(lost[0], ["127.0.0.2"]);
  assert.equal(networks[0]!.knownVmCount(), 1);
});

test("in a small fleet, all VMs read the store", async (t) => {
  const { networks: few } = await startNetworks(t, ["north", "north", "south"]);
  assert.equal(few[0]!.hasStoreReaders(), false);
});

test("of twelve VMs in two data centres, four read the store", async (t) => {
  const dataCentres = Array.from(
    { length: 12 },
    (_, vm) => vm < 6 ? "north" : "south",
  );
  const { networks } = await startNetworks(t, dataCentres);
  assert.ok(networks.every((network) => network.hasStoreReaders()));
  const readers = networks.filter((network) => network.isStoreReader());
  assert.equal(readers.length, 4);
});

test("load events that exceed one datagram are split and all arrive", async (t) => {
  const { networks, received, until } = await startNetworks(t, [
    "north",
    "south",
  ]);
  const count = 200;
  for (let call = 0; call < count; call++) {
    networks[0]!.publishLoadEvent({
      kind: LoadEventKind.FirstEvent,
      call,
      upstream: "u",
    });
  }
  await until(() => received[1]!.length === count);
  assert.deepEqual(
    received[1]!.map((event) => (event as { call: number }).call),
    Array.from({ length: count }, (_, call) => call),
  );
});

test("a heartbeat requested after close starts no timer", async (t) => {
  const { networks, pendingTimers } = await startNetworks(t, [
    "north",
    "south",
  ]);
  for (const network of networks) {
    network.close();
    network.sendHeartbeatNow();
  }
  assert.equal(pendingTimers.size, 0);
});
