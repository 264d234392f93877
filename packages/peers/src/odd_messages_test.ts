import { createSystemClock } from "@rosemarytiller/shared";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { isDeepStrictEqual } from "node:util";
import { gzipSync } from "node:zlib";
import { createPeerNetwork } from "./create_peer_network.ts";
import { pullFacts } from "./exchange_facts.ts";
import { pullConfiguration, pullPublished } from "./exchange_published.ts";
import {
  encodeHeartbeat,
  encodeLoadEvent,
  type LoadEvent,
  LoadEventKind,
  PeerMessageKind,
} from "./peer_messages.ts";

const packr = new Packr({ useRecords: false });
/** Address of the VM that is tested, and of the one that writes to it. */
const HOST = "127.0.0.1";
const PEER = "127.0.0.9";
/** Number of the process that writes to the VM. */
const INCARNATION = 7;
/** Levels that fit in a datagram. */
const DEEP = 60_000;

const SOUND_HEARTBEAT = encodeHeartbeat({
  dataCentre: "north",
  revision: 3,
  confirmedAgeMs: 5,
  members: [],
  calls: [["i-1", [4]]],
});
const SOUND_EVENT: LoadEvent = {
  kind: LoadEventKind.Stalled,
  upstream: "i-1",
};

/** Values that are odd in any place. */
const ODD_VALUES: unknown[] = [
  null,
  true,
  -1.5,
  NaN,
  1e308,
  2n ** 64n - 1n,
  "text",
  Buffer.from([1]),
  [null],
  [[[[[]]]]],
  { __proto__: null, constructor: 1 },
  new Map([["__proto__", 1]]),
  new Date(0),
];

/** Lists datagrams that are no messages, by what is odd about them. */
function listOddDatagrams(): Buffer[] {
  const list: Buffer[] = [
    Buffer.alloc(0),
    Buffer.from([0xc1]),
    Buffer.alloc(DEEP, 0x91),
    Buffer.alloc(DEEP, 0x81),
    Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff]),
    Buffer.from([0xdf, 0xff, 0xff, 0xff, 0xff]),
    Buffer.from([0xc6, 0xff, 0xff, 0xff, 0xff]),
    // An array of a message whose content is nested.
    Buffer.concat([Buffer.from([0x93, 1, 7]), Buffer.alloc(DEEP, 0x91)]),
  ];
  for (const value of ODD_VALUES) {
    list.push(packr.pack(value), packr.pack([value, INCARNATION, []]));
    for (const kind of [1, 2, 3, 4]) {
      list.push(
        packr.pack([kind, value, []]),
        packr.pack([kind, INCARNATION, value]),
        packr.pack([kind, INCARNATION, [value]]),
      );
    }
    for (const at of SOUND_HEARTBEAT.keys()) {
      const heartbeat = SOUND_HEARTBEAT.with(at, value);
      list.push(
        packr.pack([PeerMessageKind.Heartbeat, INCARNATION, heartbeat]),
      );
    }
    for (let kind = 0; kind < 11; kind++) {
      const event = [kind, value, value, value, value, value, value, value];
      list.push(packr.pack([PeerMessageKind.Load, INCARNATION, [event]]));
    }
    for (const name of ["era", "head", "isWhole", "items", "after"]) {
      const push = { era: 0, head: 1, isWhole: false, items: [], after: 0 };
      list.push(packr.pack([
        PeerMessageKind.Items,
        INCARNATION,
        { ...push, [name]: value },
      ]));
    }
    for (const name of ["key", "revision", "value"]) {
      const item = { key: "a", revision: 1, value: Buffer.from("1") };
      const items = [{ ...item, [name]: value }];
      const push = { era: 0, head: 1, isWhole: false, items, after: 0 };
      list.push(packr.pack([PeerMessageKind.Items, INCARNATION, push]));
    }
  }
  return list;
}

/** Uses each field as the router does; throws for one of another type. */
function useEvent(event: LoadEvent): void {
  if ("upstream" in event) event.upstream.toLowerCase();
  if ("call" in event) event.call.toFixed();
  if ("parts" in event) {
    for (const [id, tokens] of event.parts) id.concat(tokens.toFixed());
  }
  if ("values" in event) event.values.join("").concat("");
  if ("keepMs" in event) event.softwareVersion.concat(event.keepMs.toFixed());
}

async function bind(host: string, port = 0): Promise<Socket> {
  const socket = createSocket("udp4").bind(port, host);
  await once(socket, "listening");
  return socket;
}

// Guards against a datagram that ends the VM, or after which it no longer
// receives from its peers.
test("datagrams that are no messages are ignored, and others are applied", async (t) => {
  const peer = await bind(PEER);
  const { port } = peer.address();
  const heard: LoadEvent[] = [];
  const refusals: string[] = [];
  let revision = 0;
  const network = createPeerNetwork({
    clock: createSystemClock(),
    host: HOST,
    port,
    dataCentre: "north",
    seeds: () => [],
    heartbeatState: () => ({ revision: 0, confirmedAgeMs: 0, calls: [] }),
  });
  t.after(() => {
    network.close();
    peer.close();
  });
  await network.start({
    onHeartbeat({ heartbeat }) {
      revision = heartbeat.revision + heartbeat.confirmedAgeMs;
      heartbeat.dataCentre.concat(...heartbeat.members);
      for (const [upstream, calls] of heartbeat.calls) {
        upstream.concat(...calls.map((call) => call.toFixed()));
      }
      for (const [subject, value] of heartbeat.callLimits ?? []) {
        subject.concat(value.toFixed());
      }
      heartbeat.lostServices?.includes("a");
    },
    onLoadEvents(_member, events) {
      for (const event of events) useEvent(event);
      heard.push(...events);
    },
    onItems(_member, { items, head, after }) {
      assert.ok(head >= 0 && after >= 0);
      for (const { key, revision, value } of items) {
        key.startsWith(revision.toFixed());
        assert.ok(value === undefined || value instanceof Uint8Array);
      }
    },
    onStreamQuery: (id) => void id.concat(""),
    onProcessLost() {},
    onMembership() {},
    onRefused: (host, reason) => refusals.push(`${host}: ${reason}`),
  });
  const send = (bytes: Uint8Array) =>
    new Promise((resolve) => peer.send(bytes, port, HOST, resolve));
  for (const bytes of listOddDatagrams()) {
    await send(bytes);
    heard.length = 0;
    const isHeard = () =>
      heard.some((event) => isDeepStrictEqual(event, SOUND_EVENT));
    while (!isHeard()) {
      const event = encodeLoadEvent(SOUND_EVENT);
      await send(packr.pack([PeerMessageKind.Load, INCARNATION, [event]]));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  revision = -1;
  await send(
    packr.pack([PeerMessageKind.Heartbeat, INCARNATION, SOUND_HEARTBEAT]),
  );
  while (revision !== 8) await new Promise((resolve) => setImmediate(resolve));
  assert.ok(refusals.length > 0);
  assert.ok(refusals.every((text) => text.startsWith(PEER)));
});

// Guards against a peer's response that is taken for items or facts.
test("a pull of a body that is none rejects", async () => {
  let body: Buffer = Buffer.alloc(0);
  const server = createServer((_incoming, response) => {
    response.writeHead(200, { "Content-Encoding": "gzip" });
    response.end(gzipSync(body));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, () => resolve());
  });
  const peer = { host: HOST, port: (server.address() as AddressInfo).port };
  const item = { key: "a", revision: 1, value: Buffer.from("1") };
  const changes = { era: 0, head: 1, isWhole: true, items: [item] };
  const fact = { values: ["a"], remainingMs: 5 };
  const accepted: string[] = [];
  const expectRefused = async (
    bytes: Buffer,
    pulls: Record<string, () => Promise<unknown>>,
  ) => {
    body = bytes;
    for (const [name, pull] of Object.entries(pulls)) {
      const isRefused = await pull().then(() => false, () => true);
      if (!isRefused) accepted.push(`${name} ${bytes.toString("hex")}`);
    }
  };
  const pulls = {
    changes: () => pullPublished(peer, 0),
    configuration: () => pullConfiguration(peer),
    facts: () => pullFacts(peer),
  };
  try {
    for (const bytes of [Buffer.alloc(0), Buffer.alloc(2e6, 0x91)]) {
      await expectRefused(bytes, pulls);
    }
    for (const value of ODD_VALUES) {
      await expectRefused(packr.pack(value), pulls);
      for (const name of ["head", "isWhole", "items"]) {
        if (name === "isWhole" && value === true) continue;
        const odd = { ...changes, [name]: value };
        await expectRefused(packr.pack(odd), { changes: pulls.changes });
      }
      for (const name of ["key", "revision", "value"]) {
        if (name === "key" && value === "text") continue;
        // A removal has no value.
        const isValue = value === null || Buffer.isBuffer(value);
        if (name === "value" && isValue) continue;
        const odd = { ...item, [name]: value };
        await expectRefused(packr.pack(odd), {
          configuration: pulls.configuration,
        });
        await expectRefused(packr.pack({ ...changes, items: [odd] }), {
          changes: pulls.changes,
        });
      }
      await expectRefused(packr.pack([{ ...fact, values: value }]), {
        facts: pulls.facts,
      });
      if (typeof value === "number" && !Number.isNaN(value)) continue;
      await expectRefused(packr.pack([{ ...fact, remainingMs: value }]), {
        facts: pulls.facts,
      });
    }
    assert.deepEqual(accepted, []);
    body = packr.pack(changes);
    assert.equal((await pulls.changes()).items[0]?.key, "a");
    body = packr.pack(item);
    assert.equal((await pulls.configuration()).revision, 1);
    body = packr.pack([fact]);
    assert.deepEqual(await pulls.facts(), [fact]);
  } finally {
    server.close();
    server.closeAllConnections();
  }
});
