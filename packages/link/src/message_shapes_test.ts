import {
  CallOutcome,
  createId,
  createSystemClock,
  Role,
} from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { Link, LinkIdentity } from "./create_link.ts";
import { openLink } from "./create_reconnecting_link.ts";
import { type Message, MessageKind } from "./messages.ts";
import { serveLinks } from "./serve_links.ts";

/** Limit of the control traffic of an entry process. */
const MAX_CONTROL_BYTES_PER_S = 18_000;
/** Request rate of an entry process at the target fleet size. */
const REQUESTS_PER_S = 44;
/** Leases that an entry backs: one per model of its data centre. */
const LEASES = 17;
/** A broker sends a heartbeat every 300 ms. */
const HEARTBEATS_PER_S = 1000 / 300;

const pool = "hive-ledger/assistant-large@cochin-1";
const permit = createId("permit");
const id = createId("ask");
const stamp = 123_456.789123;
const MESSAGES: Record<string, Message> = {
  ask: {
    kind: MessageKind.PermitRequest,
    id,
    request: createId("request"),
    className: "label-lines",
    client: "periyar-hives",
    promptTokens: 812,
    prefix: "0123456789abcdef",
    fingerprint: "fedcba9876543210",
    stamp,
    pool,
    avoid: [],
    retry: false,
    queueMs: 2000,
  },
  grant: { kind: MessageKind.Grant, id, permit, upstream: "runner-1", stamp },
  done: {
    kind: MessageKind.PermitReturn,
    permit,
    pool,
    upstream: "runner-1",
    outcome: CallOutcome.Complete,
    firstTokenMs: 123,
    totalMs: 2345,
    tokens: 212,
    streamed: true,
  },
  beat: {
    kind: MessageKind.Heartbeat,
    stamp,
    idle: false,
    pools: [],
    revision: 4711,
    listRevision: 815,
  },
  back: {
    kind: MessageKind.Backing,
    echo: stamp,
    stamp,
    listRevision: 815,
    listAgeMs: 1_234_567,
    vouches: true,
  },
};

test("permits and leases stay within the control traffic limit", async (t) => {
  const clock = createSystemClock();
  const key = "a shared key of the test";
  const identity = (vm: string): LinkIdentity => {
    return { vm, role: Role.Broker, incarnation: "1", key };
  };
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const serve = async (link: Link): Promise<void> => {
    await link.messages.observe((message) => link.send(message));
  };
  const links = serveLinks(server, identity("b"), { clock, serve });
  t.after(() => {
    links.close();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const link = await openLink(`127.0.0.1:${port}`, identity("a"), { clock });
  const bytes: Record<string, number> = {};
  const seen: Message[] = [];
  const count = Object.keys(MESSAGES).length;
  const all = link.messages.take(count).observe((message) => {
    seen.push(message);
  });
  for (const [name, message] of Object.entries(MESSAGES)) {
    const before = link.traffic().sentBytes;
    link.send(message);
    bytes[name] = link.traffic().sentBytes - before;
  }
  await all;
  assert.deepEqual(seen, Object.values(MESSAGES));
  const { ask, grant, done, beat, back } = bytes;
  const perSecond = REQUESTS_PER_S * (ask + grant + done) +
    HEARTBEATS_PER_S * LEASES * (beat + back);
  t.diagnostic(`${JSON.stringify(bytes)}, ${Math.round(perSecond)} B/s`);
  assert.ok(perSecond <= MAX_CONTROL_BYTES_PER_S, `${perSecond} B/s`);
  link.close();
});
