import type { LoadEvent } from "@rosemarytiller/peers";
import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createStreamOrigins } from "./create_stream_origins.ts";

function createTestOrigins() {
  const clock = createFakeClock();
  const published: LoadEvent[] = [];
  const queries: string[] = [];
  const origins = createStreamOrigins({
    clock,
    dataCentre: "north",
    network: {
      publishLoadEvent: (event) => void published.push(event),
      queryStream: (id) => void queries.push(id),
    },
  });
  return { clock, origins, published, queries };
}

/** Lets all pending promises settle. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

const ORIGIN = { id: "a", softwareVersion: "v1", keepMs: 1000 };

test("an own stream is published and known without a query", async () => {
  const { origins, published, queries } = createTestOrigins();
  origins.publish(ORIGIN);
  assert.equal(published.length, 1);
  assert.equal(await origins.find("a"), "v1");
  assert.equal(queries.length, 0);
});

test("a query is repeated until a peer replies", async () => {
  const { clock, origins, queries } = createTestOrigins();
  const found = origins.find("a");
  clock.advance(60);
  await settle();
  assert.deepEqual(queries, ["a", "a"]);
  origins.onPeerOrigin(ORIGIN);
  assert.equal(await found, "v1");
});

test("a stream that no peer knows is not found", async () => {
  const { clock, origins, queries } = createTestOrigins();
  const found = origins.find("a");
  for (let query = 0; query < 4; query++) {
    clock.advance(60);
    await settle();
  }
  assert.equal(await found, undefined);
  assert.equal(queries.length, 4);
});

test("a stream expires with its caller's deadline", () => {
  const { clock, origins } = createTestOrigins();
  origins.publish(ORIGIN);
  clock.advance(400);
  assert.equal(origins.replyTo("a")?.keepMs, 600);
  clock.advance(600);
  assert.equal(origins.replyTo("a"), undefined);
});

test("the oldest streams are dropped beyond the limit", () => {
  const { origins } = createTestOrigins();
  for (let number = 0; number <= 50_000; number++) {
    origins.onPeerOrigin({ ...ORIGIN, id: String(number) });
  }
  assert.equal(origins.replyTo("0"), undefined);
  assert.ok(origins.replyTo("1"));
});
