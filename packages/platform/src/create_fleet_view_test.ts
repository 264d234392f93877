import { createFakeClock } from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleetView, PEER_SYNC_TIMEOUT_MS } from "./create_fleet_view.ts";

const SEED = Number(process.env.SEED ?? Date.now() % 1e9);

/** Text of a document that contains `mark`; an extra field makes it invalid. */
function createDocumentText(mark: string, valid = true): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: mark } },
    clients: { one: { keys: ["0".repeat(64)] } },
    upstreams: {},
    classes: [{ name: "all", tier: 1, firstTokenMs: 1, queueMs: 1 }],
    ...(valid ? {} : { extra: 1 }),
  });
}

const offer = fc.record({
  key: fc.constantFrom("a", "b"),
  revision: fc.integer({ min: 1, max: 6 }),
  mark: fc.constantFrom("x", "y", "z"),
  valid: fc.boolean(),
}).map(({ mark, valid, ...rest }) => ({
  ...rest,
  valid,
  text: createDocumentText(mark, valid),
}));

test("views converge in any order of offers and keep the newest revision", (t) => {
  t.diagnostic(`seed ${SEED}`);
  fc.assert(
    fc.property(
      fc.array(offer, { maxLength: 20 }).chain((offers) =>
        fc.tuple(
          fc.constant(offers),
          fc.shuffledSubarray(offers, { minLength: offers.length }),
        )
      ),
      (orders) => {
        const digests = orders.map((order) => {
          const view = createFleetView({ clock: createFakeClock() });
          for (const published of order) {
            const before = view.documents().get(published.key);
            view.offerDocument(published, "test");
            const after = view.documents().get(published.key);
            assert.ok((after?.revision ?? 0) >= (before?.revision ?? 0));
          }
          return view.digest().documents;
        });
        assert.deepEqual(digests[0], digests[1]);
        const best: Record<string, [number, string]> = {};
        for (const { key, revision, text, valid } of orders[0]) {
          if (!valid) continue;
          const candidate: [number, string] = [revision, hashText(text)];
          const current = best[key] ?? [0, ""];
          const isBetter = revision > current[0] ||
            (revision === current[0] && candidate[1] > current[1]);
          if (isBetter) best[key] = candidate;
        }
        assert.deepEqual(digests[0], best);
      },
    ),
    { seed: SEED },
  );
});

test("a refused document is not fetched again and blocks no other revision", () => {
  const view = createFleetView({ clock: createFakeClock() });
  const bad = createDocumentText("x", false);
  assert.equal(
    view.offerDocument({ key: "a", revision: 5, text: bad }, ""),
    false,
  );
  const digest = {
    ...view.digest(),
    documents: { a: [5, hashText(bad)] as [number, string] },
  };
  assert.deepEqual(view.findMissing(digest).keys, []);
  const good = { key: "a", revision: 4, text: createDocumentText("x") };
  assert.equal(view.offerDocument(good, ""), true);
  const later = { key: "a", revision: 6, text: createDocumentText("y") };
  assert.equal(view.offerDocument(later, ""), true);
});

test("a process that has data is ready after the peer sync timeout", () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  view.offerVms({ revision: 1, vms: [] });
  clock.advance(PEER_SYNC_TIMEOUT_MS);
  assert.equal(view.isReady(), false);
  view.offerDocument(
    { key: "a", revision: 1, text: createDocumentText("x") },
    "",
  );
  clock.advance(PEER_SYNC_TIMEOUT_MS - 1);
  assert.equal(view.isReady(), false);
  clock.advance(1);
  assert.equal(view.isReady(), true);
});

// Guards against a start during an outage of the platform that peers take for a
// response of the platform.
test("a process without a platform response reports none to its peers", () => {
  const clock = createFakeClock();
  const peer = createFleetView({ clock });
  peer.recordPlatformContact(0);
  clock.advance(20_000);
  const started = createFleetView({ clock });
  peer.recordPlatformContact(started.digest().platformAgeMs);
  assert.equal(peer.platformAgeMs(), 20_000);
  started.recordPlatformContact(peer.digest().platformAgeMs);
  assert.equal(started.platformAgeMs(), 20_000);
});
