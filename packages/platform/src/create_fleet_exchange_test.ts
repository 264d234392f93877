import type { Link, Message } from "@rosemarytiller/link";
import { handleMessage } from "@rosemarytiller/link";
import { createFakeClock, Role } from "@rosemarytiller/shared";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleetExchange } from "./create_fleet_exchange.ts";
import { createFleetView } from "./create_fleet_view.ts";

const SEED = Number(process.env.SEED ?? Date.now() % 1e9);

function createDocumentText(mark: string): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: mark } },
    clients: { one: { keys: ["0".repeat(64)] } },
    upstreams: {},
    classes: [{ name: "all", tier: 1, firstTokenMs: 1, queueMs: 1 }],
  });
}

/** Brokers linked in a ring; `isLost` decides whether a message is dropped. */
function createRing(count: number, isLost: () => boolean) {
  const clock = createFakeClock();
  let sent = 0;
  const nodes = Array.from({ length: count }, () => {
    const view = createFleetView({ clock });
    const role = Role.Broker;
    return { view, exchange: createFleetExchange(view, { clock, role }) };
  });
  function connect(left: number, right: number): void {
    const sides = [left, right].map((index) => ({ ...nodes[index], index }));
    const links: Link[] = sides.map((_, side) => ({
      vm: `vm-${sides[1 - side].index}`,
      role: Role.Broker,
      send(message: Message) {
        sent++;
        if (isLost()) return;
        const receiver = sides[1 - side];
        clock.after(5, () => {
          handleMessage(receiver.exchange.handlers, message, links[1 - side]);
        });
      },
    } as unknown as Link));
    sides.forEach((side, index) => side.exchange.addLink(links[index]));
  }
  for (let index = 0; index < count; index++) {
    connect(index, (index + 1) % count);
  }
  return { clock, nodes, sentMessages: () => sent };
}

test("processes converge on the highest revision despite loss and conflicts", (t) => {
  t.diagnostic(`seed ${SEED}`);
  const offers = fc.array(
    fc.record({
      node: fc.integer({ min: 0, max: 4 }),
      revision: fc.integer({ min: 1, max: 4 }),
      mark: fc.constantFrom("x", "y", "z"),
    }),
    { minLength: 1, maxLength: 8 },
  );
  fc.assert(
    fc.property(offers, fc.infiniteStream(fc.boolean()), (list, losses) => {
      let lossy = true;
      const ring = createRing(5, () => lossy && losses.next().value!);
      for (const { node, revision, mark } of list) {
        const published = {
          key: "a",
          revision,
          text: createDocumentText(mark),
        };
        ring.nodes[node].view.offerDocument(published, "test");
        ring.clock.advance(20);
      }
      lossy = false;
      ring.clock.advance(10_000);
      const digests = ring.nodes.map(({ view }) => view.digest().documents);
      for (const digest of digests) assert.deepEqual(digest, digests[0]);
      const highest = Math.max(...list.map(({ revision }) => revision));
      assert.equal(digests[0].a[0], highest);
    }),
    { seed: SEED, numRuns: 50 },
  );
});

test("synchronized processes send only their regular digests", () => {
  const ring = createRing(5, () => false);
  ring.nodes[0].view.offerDocument(
    { key: "a", revision: 1, text: createDocumentText("x") },
    "test",
  );
  ring.clock.advance(5000);
  const before = ring.sentMessages();
  ring.clock.advance(10_000);
  assert.ok(ring.sentMessages() - before <= 5 * 2 * 10);
});

test("a starting process receives its peer's data and becomes ready", () => {
  const ring = createRing(2, () => false);
  const [running, starting] = ring.nodes.map(({ view }) => view);
  running.offerDocument({
    key: "a",
    revision: 2,
    text: createDocumentText("x"),
  }, "");
  running.offerVms({ revision: 1, vms: [] });
  ring.clock.advance(5000);
  assert.equal(starting.isReady(), true);
  assert.equal(starting.revision(), 2);
});
