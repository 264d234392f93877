import { createFakeClock } from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFleetView, START_WAIT_MS } from "./create_fleet_view.ts";

const SEED = Number(process.env.SEED ?? Date.now() % 1e9);

/** Text of a document that differs by `mark` and may be invalid. */
function textOf(mark: string, valid = true): string {
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
  text: textOf(mark, valid),
}));

test("views that saw the same offers in any order agree and never go back", (t) => {
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
          const mine: [number, string] = [revision, hashText(text)];
          const other = best[key] ?? [0, ""];
          const isBetter = revision > other[0] ||
            (revision === other[0] && mine[1] > other[1]);
          if (isBetter) best[key] = mine;
        }
        assert.deepEqual(digests[0], best);
      },
    ),
    { seed: SEED },
  );
});

test("a refused document is not asked for again and stops no later one", () => {
  const view = createFleetView({ clock: createFakeClock() });
  const bad = textOf("x", false);
  assert.equal(
    view.offerDocument({ key: "a", revision: 5, text: bad }, ""),
    false,
  );
  const digest = {
    ...view.digest(),
    documents: { a: [5, hashText(bad)] as [number, string] },
  };
  assert.deepEqual(view.missing(digest).keys, []);
  const good = { key: "a", revision: 4, text: textOf("x") };
  assert.equal(view.offerDocument(good, ""), true);
  const later = { key: "a", revision: 6, text: textOf("y") };
  assert.equal(view.offerDocument(later, ""), true);
});

test("a process with data serves once compared or after the wait", () => {
  const clock = createFakeClock();
  const view = createFleetView({ clock });
  view.offerVms({ revision: 1, vms: [] });
  clock.advance(START_WAIT_MS);
  assert.equal(view.isReady(), false);
  view.offerDocument({ key: "a", revision: 1, text: textOf("x") }, "");
  clock.advance(START_WAIT_MS - 1);
  assert.equal(view.isReady(), false);
  clock.advance(1);
  assert.equal(view.isReady(), true);
});
