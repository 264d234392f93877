import { type Clock, createSystemClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test } from "node:test";
import { createPeerNetwork, type PeerNetwork } from "./create_peer_network.ts";
import { type LoadEvent, LoadEventKind } from "./peer_messages.ts";

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const socket = createSocket("udp4").bind(0, "127.0.0.1", () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

/** Starts a VM for each data centre named, and waits until all are known. */
async function startNetworks(
  t: { after(action: () => void): void },
  dataCentres: readonly string[],
) {
  const port = await freePort();
  const system = createSystemClock();
  /** Timers that have not run and were not cancelled. */
  const timers = new Set<object>();
  const clock: Clock = {
    ...system,
    after(ms, action) {
      const timer = {};
      timers.add(timer);
      const cancel = system.after(ms, () => {
        timers.delete(timer);
        action();
      });
      return () => {
        timers.delete(timer);
        cancel();
      };
    },
  };
  const heard: LoadEvent[][] = dataCentres.map(() => []);
  /** Hosts whose data centre each VM knows. */
  const located = dataCentres.map(() => new Set<string>());
  let onChange = () => {};
  const networks: PeerNetwork[] = [];
  t.after(() => {
    for (const network of networks) network.close();
  });
  for (const [number, dataCentre] of dataCentres.entries()) {
    const network = createPeerNetwork({
      clock,
      host: `127.0.0.${number + 1}`,
      port,
      dataCentre,
      seeds: () => ["127.0.0.1"],
      describe: () => ({ revision: 0, confirmedAgeMs: 0, calls: [] }),
    });
    networks.push(network);
    await network.start({
      onBeat(member) {
        located[number]!.add(member.host);
        onChange();
      },
      onLoad(_member, events) {
        heard[number]!.push(...events);
        onChange();
      },
      onItems() {},
      onRestart() {},
      onMembership() {},
    });
  }
  function until(isTrue: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      onChange = () => isTrue() && resolve();
      onChange();
    });
  }
  const others = dataCentres.length - 1;
  await until(() => located.every((hosts) => hosts.size === others));
  return { networks, heard, until, timers };
}

test("the first two VMs of a data centre read the platform", async (t) => {
  const places = ["north", "north", "north", "south"];
  const { networks } = await startNetworks(t, places);
  assert.deepEqual(networks.map((one) => one.isReader()), [
    true,
    true,
    false,
    true,
  ]);
});

test("load events reach all VMs, in as many datagrams as they need", async (t) => {
  const { networks, heard, until } = await startNetworks(t, ["north", "south"]);
  const count = 200;
  for (let call = 0; call < count; call++) {
    networks[0]!.tell({ kind: LoadEventKind.FirstEvent, call, upstream: "u" });
  }
  await until(() => heard[1]!.length === count);
  assert.deepEqual(
    heard[1]!.map((event) => (event as { call: number }).call),
    Array.from({ length: count }, (_, call) => call),
  );
});

test("a closed network beats no more", async (t) => {
  const { networks, timers } = await startNetworks(t, ["north", "south"]);
  for (const network of networks) {
    network.close();
    network.beatNow();
  }
  assert.equal(timers.size, 0);
});
