import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  chooseUpstream,
  MAX_AFFINITY_EXTRA_LOAD,
  type UpstreamCandidate,
} from "./choose_upstream.ts";
import { createPlacements, MAX_PREFIXES } from "./create_placements.ts";

const SEED = Number(process.env.SEED ?? 20_261_203);

test("a preferred upstream is chosen while its extra load is in bounds", () => {
  const candidates = [
    { name: "a", outstanding: 0, limit: 8 },
    { name: "b", outstanding: 8 * MAX_AFFINITY_EXTRA_LOAD, limit: 8 },
    { name: "c", outstanding: 8 * MAX_AFFINITY_EXTRA_LOAD + 1, limit: 8 },
  ];
  const nameFor = (preferred: string) =>
    chooseUpstream(candidates, { preferred })?.name;
  assert.equal(nameFor("b"), "b");
  assert.equal(nameFor("c"), "a");
  assert.equal(nameFor("gone"), "a");
});

test("a full upstream is not chosen; a slow one counts as busier", () => {
  const full = { name: "full", outstanding: 4, limit: 4 };
  const options = { preferred: "full" };
  assert.equal(chooseUpstream([full], options), undefined);
  const slow = { name: "slow", outstanding: 0, limit: 8, firstTokenMs: 300 };
  const fast = { name: "fast", outstanding: 1, limit: 8, firstTokenMs: 100 };
  assert.equal(chooseUpstream([slow, fast])?.name, "fast");
});

test("the number of remembered prefixes is bounded", () => {
  const placements = createPlacements();
  for (let index = 0; index <= MAX_PREFIXES; index++) {
    placements.record(`prefix-${index}`, "a");
  }
  assert.equal(placements.find("prefix-0"), undefined);
  assert.equal(placements.find("prefix-1"), "a");
  placements.forget("a");
  assert.equal(placements.find("prefix-1"), undefined);
});

/** Chooses an upstream for a prompt with a prefix. */
type Policy = (
  candidates: readonly UpstreamCandidate[],
  prefix: string,
) => UpstreamCandidate | undefined;

interface Outcome {
  hitShare: number;
  /** 95th percentile of wait plus first-token time. */
  p95Ms: number;
  /** Calls of the busiest upstream, divided by the mean. */
  skew: number;
}

const UPSTREAMS = 6;
const LIMIT = 8;
const CACHED_PREFIXES = 40;
const PREFIXES = 300;
const CALLS = 20_000;
const LOAD = 0.75;
const HIT_MS = 40;
const MISS_MS = 160;
const DECODE_MS = 400;
const SLOW_FACTOR = 2;

/** Simulates the seed's calls with a policy; the first upstream is slow. */
function runCalls(policy: Policy, seed: number): Outcome {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const engines = Array.from({ length: UPSTREAMS }, (_, index) => ({
    name: `engine-${index}`,
    slowness: index === 0 ? SLOW_FACTOR : 1,
    ends: [] as number[],
    cache: new Set<string>(),
    calls: 0,
    firstTokenMs: 0,
  }));
  const meanMs = DECODE_MS + MISS_MS / 2;
  const gapMs = meanMs / (UPSTREAMS * LIMIT * LOAD);
  const firstTokenTimes: number[] = [];
  let hits = 0;
  let arrivedMs = 0;
  let nowMs = 0;
  for (let call = 0; call < CALLS; call++) {
    arrivedMs += -Math.log(1 - random()) * gapMs;
    nowMs = Math.max(nowMs, arrivedMs);
    const prefix = `prefix-${Math.floor(PREFIXES * random() ** 3)}`;
    const length = 0.5 + random();
    let chosen: UpstreamCandidate | undefined;
    while (!chosen) {
      for (const engine of engines) {
        engine.ends = engine.ends.filter((endMs) => endMs > nowMs);
      }
      chosen = policy(
        engines.map(({ name, ends, firstTokenMs }) => ({
          name,
          outstanding: ends.length,
          limit: LIMIT,
          firstTokenMs,
        })),
        prefix,
      );
      if (!chosen) {
        nowMs = Math.min(...engines.flatMap(({ ends }) => ends));
      }
    }
    const engine = engines.find(({ name }) => name === chosen.name)!;
    const hit = engine.cache.delete(prefix);
    engine.cache.add(prefix);
    if (engine.cache.size > CACHED_PREFIXES) {
      engine.cache.delete(engine.cache.values().next().value!);
    }
    const firstMs = (hit ? HIT_MS : MISS_MS) * engine.slowness;
    engine.firstTokenMs += (firstMs - engine.firstTokenMs) * 0.2;
    engine.ends.push(nowMs + firstMs + DECODE_MS * length * engine.slowness);
    engine.calls++;
    if (hit) hits++;
    firstTokenTimes.push(nowMs - arrivedMs + firstMs);
  }
  firstTokenTimes.sort((left, right) => left - right);
  return {
    hitShare: hits / CALLS,
    p95Ms: firstTokenTimes[Math.floor(CALLS * 0.95)],
    skew: Math.max(...engines.map(({ calls }) => calls)) * UPSTREAMS / CALLS,
  };
}

function createPolicies(): Record<string, Policy> {
  const generator = xoroshiro128plus(SEED + 1);
  const placements = createPlacements();
  let nextIndex = 0;
  const withCapacity = (candidates: readonly UpstreamCandidate[]) =>
    candidates.filter(({ outstanding, limit }) => outstanding < limit);
  return {
    "random": (candidates) => {
      const free = withCapacity(candidates);
      return free[Math.floor(uniformFloat64(generator) * free.length)];
    },
    "round robin": (candidates) => {
      const free = withCapacity(candidates);
      return free[nextIndex++ % free.length];
    },
    "least outstanding": (candidates) =>
      withCapacity(candidates).sort((left, right) =>
        left.outstanding - right.outstanding
      )[0],
    "chosen": (candidates, prefix) => {
      const preferred = placements.find(prefix);
      const chosen = chooseUpstream(candidates, { preferred });
      if (chosen) placements.record(prefix, chosen.name);
      return chosen;
    },
  };
}

test(`chooseUpstream beats simpler policies (seed ${SEED})`, (t) => {
  const outcomes: Record<string, Outcome> = {};
  for (const [name, policy] of Object.entries(createPolicies())) {
    outcomes[name] = runCalls(policy, SEED);
    const { hitShare, p95Ms, skew } = outcomes[name];
    t.diagnostic(
      `${name}: cache hits ${(hitShare * 100).toFixed(1)}%, ` +
        `95th percentile ${p95Ms.toFixed(0)} ms, skew ${skew.toFixed(2)}`,
    );
  }
  const { chosen, ...others } = outcomes;
  for (const [name, other] of Object.entries(others)) {
    assert.ok(chosen.hitShare > other.hitShare, name);
    assert.ok(chosen.p95Ms <= other.p95Ms, name);
  }
  assert.ok(chosen.skew <= 1 + 2 * MAX_AFFINITY_EXTRA_LOAD);
});
