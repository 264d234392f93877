import { CallEnd, type LoadEvent } from "@rosemarytiller/peers";
import { CallRank, urgencyOf } from "@rosemarytiller/policy";
import {
  createFakeClock,
  ErrorKind,
  TillerError,
} from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createPlacer,
  type PlaceJob,
  type Placement,
} from "./create_placer.ts";
import { createRegistry } from "./create_registry.ts";
import { createSilentLog } from "./event_log.ts";
import type { ServiceDefinition } from "./ports.ts";

const ENGINES: ServiceDefinition = {
  name: "engines",
  maxConnections: 100,
  coldMs: 0,
  coldPerSecond: 0,
  engine: {
    slots: 16,
    memoryTokens: 300_000,
    bytesPerToken: 1000,
    keepsCopies: false,
  },
};

function createTestPlacer(
  engines: number,
  options: { isLarge?: boolean; farFrom?: number } = {},
) {
  const { isLarge = false, farFrom = engines } = options;
  const clock = createFakeClock(10_000);
  const registry = createRegistry({ clock, log: createSilentLog() });
  registry.setServices(() => ENGINES);
  for (let engine = 0; engine < engines; engine++) {
    registry.set(`u${engine}`, {
      id: `u${engine}`,
      service: "engines",
      host: "127.0.0.1",
      port: engine + 1,
      dataCentre: engine < farFrom ? "north" : "south",
      slots: 16,
      isDraining: false,
      coldMs: 0,
      bornMs: undefined,
    });
  }
  const told: LoadEvent[] = [];
  const placer = createPlacer({
    clock,
    registry,
    dataCentre: "north",
    network: {
      tell: (event) => void told.push(event),
      knownCount: () => 1,
      nearCount: () => 1,
      isLarge: () => isLarge,
    },
  });
  return { clock, registry, placer, told };
}

function jobOf(
  rank: CallRank,
  options: { tokens: number; arrivedMs: number; targetMs: number },
): PlaceJob {
  const { tokens, arrivedMs, targetMs } = options;
  return {
    service: ENGINES,
    urgency: urgencyOf(1, rank),
    rank,
    prompt: {
      promptTokens: tokens,
      outputTokens: 50,
      likelyOutputTokens: 50,
      parts: [],
    },
    maxPauseMs: 800,
    targetMs,
    arrivedMs,
    giveUpMs: arrivedMs + 5000,
    avoid: new Set(),
  };
}

/** Places jobs and notes how each ended. */
function placeAll(
  placer: ReturnType<typeof createTestPlacer>["placer"],
  jobs: PlaceJob[],
) {
  const placed: (Placement | undefined)[] = [];
  const refused: (TillerError | undefined)[] = [];
  const { signal } = new AbortController();
  const ends = jobs.map((job, at) =>
    placer.place(job, signal).then(
      (placement) => void (placed[at] = placement),
      (error) => void (refused[at] = error),
    )
  );
  return { placed, refused, ends };
}

const DIGEST = { tokens: 9000, targetMs: 1200 };
const LABEL = { tokens: 600, targetMs: 300 };

test("burst of long prompts: the surplus is refused, with a time to come back", async () => {
  const { clock, placer } = createTestPlacer(1);
  const arrivedMs = clock.now();
  const jobs = Array.from(
    { length: 30 },
    () => jobOf(CallRank.Loose, { ...DIGEST, arrivedMs }),
  );
  const { placed, refused, ends } = placeAll(placer, jobs);
  for (let step = 0; step < 400; step++) {
    clock.advance(5);
    await Promise.resolve();
  }
  await Promise.all(ends);
  const taken = placed.filter(Boolean).length;
  assert.ok(taken >= 5 && taken <= 15, `${taken} taken`);
  for (const error of refused.filter(Boolean)) {
    assert.equal(error!.kind, ErrorKind.Overloaded);
    assert.ok(error!.retryAfterMs! > 0);
  }
  assert.equal(taken + refused.filter(Boolean).length, jobs.length);
});

test("burst of long prompts: an urgent call does not wait behind held ones", async () => {
  const { clock, placer } = createTestPlacer(1);
  const arrivedMs = clock.now();
  const loose = Array.from(
    { length: 10 },
    () => jobOf(CallRank.Loose, { ...DIGEST, arrivedMs }),
  );
  placeAll(placer, loose);
  assert.ok(placer.heldCount() > 0);
  const label = jobOf(CallRank.Tight, { ...LABEL, arrivedMs });
  const { placed } = placeAll(placer, [label]);
  await Promise.resolve();
  assert.ok(placed[0]);
  assert.equal(placed[0]!.heldMs, 0);
});

test("a call that is given up while it is held leaves", async () => {
  const { clock, placer } = createTestPlacer(1);
  const arrivedMs = clock.now();
  const jobs = [1, 2, 3].map(() =>
    jobOf(CallRank.Loose, { ...DIGEST, arrivedMs })
  );
  placeAll(placer, jobs);
  const held = placer.heldCount();
  const controller = new AbortController();
  const last = placer.place(jobs[0]!, controller.signal);
  assert.equal(placer.heldCount(), held + 1);
  controller.abort();
  await assert.rejects(last, { kind: ErrorKind.DeadlineExceeded });
  assert.equal(placer.heldCount(), held);
});

test("each call is told to others: start, first event and end", async () => {
  const { clock, placer, told } = createTestPlacer(2);
  const job = jobOf(CallRank.Tight, { ...LABEL, arrivedMs: clock.now() });
  const placement = await placer.place(job, new AbortController().signal);
  assert.deepEqual(placer.ownCalls(), [[placement.upstream.entry.id, [1]]]);
  placement.onFirstEvent();
  placement.release(CallEnd.Whole);
  placement.release(CallEnd.Failed);
  assert.deepEqual(told.map(({ kind }) => kind), [1, 2, 3]);
  assert.deepEqual(placer.ownCalls(), []);
});

test("with no upstream the refusal says so, after a short wait", async () => {
  const { clock, placer } = createTestPlacer(0);
  const job = jobOf(CallRank.Tight, { ...LABEL, arrivedMs: clock.now() });
  const { refused, ends } = placeAll(placer, [job]);
  clock.advance(LABEL.targetMs / 2);
  await Promise.all(ends);
  assert.equal(refused[0]!.kind, ErrorKind.NoUpstream);
});

test("burst in a large fleet: engines whose load is not known are left alone", () => {
  const options = { isLarge: true, farFrom: 1 };
  const { clock, placer } = createTestPlacer(8, options);
  const arrivedMs = clock.now();
  const jobs = Array.from(
    { length: 8 },
    () => jobOf(CallRank.Loose, { ...DIGEST, arrivedMs }),
  );
  placeAll(placer, jobs);
  assert.ok(placer.heldCount() > 0);
  assert.deepEqual(placer.ownCalls().map(([id]) => id), ["u0"]);
});

test("a large fleet without an engine beside a VM uses the others, spread", () => {
  const options = { isLarge: true, farFrom: 0 };
  const { clock, placer } = createTestPlacer(8, options);
  const arrivedMs = clock.now();
  const jobs = Array.from(
    { length: 8 },
    () => jobOf(CallRank.Tight, { ...LABEL, arrivedMs }),
  );
  placeAll(placer, jobs);
  assert.ok(placer.ownCalls().length > 1);
});
