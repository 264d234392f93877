import { hashKey } from "@rosemarytiller/sessions";
import {
  createStandInEngine,
  type StandInEngine,
} from "@rosemarytiller/standins";
import { Baseline, createBaselinePermits } from "./create_baseline_permits.ts";
import {
  generateLoad,
  type LoadClass,
  meanTokensPerRequest,
  type PlannedRequest,
} from "./generate_load.ts";
import type { BenchFlags } from "./main.ts";
import { type CallerResult, runCallers } from "./run_callers.ts";
import { type LocalFleet, startLocalFleet } from "./start_local_fleet.ts";

const DATA_CENTRES = ["north", "south"];
const ENGINES_PER_DATA_CENTRE = 2;
const ENGINE_CAPACITY = 8;
const FIRST_TOKEN_MS = 40;
const TOKEN_MS = 15;
/** Time until pool leaders include all VMs of a new fleet in their shares. */
const FLEET_JOIN_MS = 25_000;
/** Time until the load has filled the engines. */
const ENGINE_FILL_MS = 3000;
const LOAD_FACTORS = [0.5, 1, 1.5, 3];

interface BenchClass extends LoadClass {
  tier: number;
  firstTokenMs: number;
  queueMs: number;
  floorShare: number;
}

const CLASSES: BenchClass[] = [
  {
    name: "label",
    tier: 1,
    share: 0.2,
    minTokens: 10,
    maxTokens: 30,
    firstTokenMs: 430,
    queueMs: 380,
    floorShare: 0.02,
    clients: ["extractor"],
  },
  {
    name: "collection",
    tier: 2,
    share: 0.3,
    minTokens: 15,
    maxTokens: 45,
    firstTokenMs: 800,
    queueMs: 750,
    floorShare: 0.02,
    clients: ["desk", "desk", "desk", "office"],
  },
  {
    name: "ledger",
    tier: 3,
    share: 0.2,
    minTokens: 15,
    maxTokens: 45,
    firstTokenMs: 1500,
    queueMs: 1400,
    floorShare: 0.02,
    clients: ["office"],
  },
  {
    name: "summary",
    tier: 4,
    share: 0.3,
    minTokens: 30,
    maxTokens: 90,
    firstTokenMs: 4000,
    queueMs: 3500,
    floorShare: 0.05,
    clients: ["office", "archive"],
  },
];

/** Routing strategies that are compared. */
const STRATEGIES: Record<string, { baseline?: Baseline; tiers: boolean }> = {
  router: { tiers: true },
  "no-tiers": { tiers: false },
  random: { baseline: Baseline.Random, tiers: true },
  "round-robin": { baseline: Baseline.RoundRobin, tiers: true },
  "least-outstanding": { baseline: Baseline.LeastOutstanding, tiers: true },
};

interface Testbed {
  engines: StandInEngine[];
  fleet: LocalFleet;
  /** Service document with these data centres out of service. */
  formatDocumentWithout(out: readonly string[]): string;
}

/**
 * Compares the router with the baseline strategies under the same seeded loads,
 * and while a data centre is out of service. Prints one JSON line per run.
 */
export async function measurePolicy(flags: BenchFlags): Promise<void> {
  for (const load of LOAD_FACTORS) {
    for (const strategy of Object.keys(STRATEGIES)) {
      if (flags.only && !`${strategy}@${load}`.includes(flags.only)) continue;
      await measureLoad(strategy, load, flags);
    }
  }
  for (const strategy of Object.keys(STRATEGIES)) {
    // The flag's name for a data centre that goes out of service is "leave".
    if (flags.only && !`${strategy}@leave`.includes(flags.only)) continue;
    await measureDataCentreOut(strategy, flags);
  }
}

/** Requests per second that the engines can serve at full capacity. */
function maxRequestsPerSecond(): number {
  const tokens = meanTokensPerRequest(CLASSES);
  const callMs = FIRST_TOKEN_MS + (tokens - 1) * TOKEN_MS;
  const slots = DATA_CENTRES.length * ENGINES_PER_DATA_CENTRE * ENGINE_CAPACITY;
  return slots * 1000 / callMs;
}

function planLoad(load: number, flags: BenchFlags): PlannedRequest[] {
  const ratePerSecond = load * maxRequestsPerSecond();
  const { seed, seconds } = flags;
  return generateLoad(CLASSES, { seed, ratePerSecond, seconds });
}

async function measureLoad(
  strategy: string,
  load: number,
  flags: BenchFlags,
): Promise<void> {
  const testbed = await startTestbed(strategy, flags);
  await warmUp(testbed);
  const before = countTokens(testbed.engines);
  // Goodput is measured while load arrives, after the engines have filled.
  const goodputWindow = { from: before, to: before };
  setTimeout(
    () => goodputWindow.from = countTokens(testbed.engines),
    ENGINE_FILL_MS,
  );
  setTimeout(
    () => goodputWindow.to = countTokens(testbed.engines),
    flags.seconds * 1000,
  );
  const results = await runCallers(
    planLoad(load, flags),
    createCallerOptions(testbed),
  );
  const tokens = countTokens(testbed.engines);
  const wasted = tokens.wasted - before.wasted;
  const delivered = tokens.delivered - before.delivered;
  const windowSeconds = flags.seconds - ENGINE_FILL_MS / 1000;
  const possibleTokens = Math.min(load, 1) * maxRequestsPerSecond() *
    meanTokensPerRequest(CLASSES) * windowSeconds;
  report({
    way: strategy,
    load,
    seed: flags.seed,
    classes: summarizeByClass(results),
    goodput: round(
      (goodputWindow.to.delivered - goodputWindow.from.delivered) /
        possibleTokens,
    ),
    wasted: round(wasted / Math.max(1, wasted + delivered)),
    peak: Math.max(...testbed.engines.map((engine) => engine.counts.peak)),
  });
  await stopTestbed(testbed);
}

/** Takes one data centre out of service for the middle third of the run. */
async function measureDataCentreOut(
  strategy: string,
  flags: BenchFlags,
): Promise<void> {
  const testbed = await startTestbed(strategy, flags);
  await warmUp(testbed);
  const thirdMs = flags.seconds * 1000 / 3;
  const startsBefore = testbed.engines.map((engine) => engine.counts.started);
  let startsAtOut: number[] = [];
  let startsAtReturn: number[] = [];
  const readStartCounts = () =>
    testbed.engines.map((engine) => engine.counts.started);
  const { platform } = testbed.fleet;
  setTimeout(() => {
    platform.publish(
      "services/bench",
      testbed.formatDocumentWithout(["south"]),
    );
    setTimeout(() => startsAtOut = readStartCounts(), 1000);
  }, thirdMs);
  setTimeout(() => {
    startsAtReturn = readStartCounts();
    platform.publish("services/bench", testbed.formatDocumentWithout([]));
  }, 2 * thirdMs);
  const planned = planLoad(0.45, flags);
  const results = await runCallers(planned, createCallerOptions(testbed));
  const phases = [0, 1, 2].map((phase) =>
    results.filter(({ planned: { atMs } }) =>
      Math.floor(atMs / thirdMs) === phase
    )
  );
  const startsAtEnd = readStartCounts();
  const firstSouthEngine = ENGINES_PER_DATA_CENTRE;
  const countSouthStarts = (from: number[], to: number[]) =>
    to.slice(firstSouthEngine).reduce(
      (sum, value, index) => sum + value - from[firstSouthEngine + index],
      0,
    );
  report({
    way: strategy,
    load: "0.45, south out in the middle third",
    seed: flags.seed,
    before: summarizeByClass(phases[0]),
    out: summarizeByClass(phases[1]),
    after: summarizeByClass(phases[2]),
    southStartsBefore: countSouthStarts(startsBefore, startsAtOut),
    southStartsWhileOut: countSouthStarts(startsAtOut, startsAtReturn),
    southStartsAfter: countSouthStarts(startsAtReturn, startsAtEnd),
  });
  await stopTestbed(testbed);
}

async function startTestbed(
  strategy: string,
  flags: BenchFlags,
): Promise<Testbed> {
  const engines: StandInEngine[] = [];
  const upstreamVms: Record<string, string> = {};
  const upstreams: Record<string, object> = {};
  const { baseline, tiers } = STRATEGIES[strategy];
  for (const dataCentre of DATA_CENTRES) {
    for (let index = 0; index < ENGINES_PER_DATA_CENTRE; index++) {
      const engine = await createStandInEngine({
        capacity: ENGINE_CAPACITY,
        firstTokenMs: FIRST_TOKEN_MS,
        tokenMs: TOKEN_MS,
        reportLagMs: 200,
      });
      const name = `${dataCentre}-${index + 1}`;
      upstreamVms[`${name}-vm`] = dataCentre;
      upstreams[name] = {
        kind: "model-runner",
        serves: ["small"],
        dataCentre,
        vm: `${name}-vm`,
        address: engine.url,
        maxConcurrent: ENGINE_CAPACITY,
        coldConcurrent: 4,
      };
      engines.push(engine);
    }
  }
  const formatDocumentWithout = (out: readonly string[]) =>
    formatDocument({ upstreams, tiers, out });
  const fleet = await startLocalFleet({
    dataCentres: [...DATA_CENTRES, ...DATA_CENTRES],
    document: formatDocumentWithout([]),
    upstreamVms,
    createPermits: baseline &&
      createBaselinePermits(baseline, flags.seed),
  });
  return { engines, fleet, formatDocumentWithout };
}

async function stopTestbed(testbed: Testbed): Promise<void> {
  await testbed.fleet.stop();
  for (const engine of testbed.engines) await engine.close();
}

function formatDocument(
  options: {
    upstreams: Record<string, object>;
    tiers: boolean;
    out: readonly string[];
  },
): string {
  const clients = new Set(CLASSES.flatMap((entry) => entry.clients));
  return JSON.stringify({
    service: "bench",
    dataCentres: Object.fromEntries(
      DATA_CENTRES.map((name) => [name, {
        region: "one",
        state: options.out.includes(name) ? "out-of-service" : "in-service",
      }]),
    ),
    clients: Object.fromEntries(
      [...clients].map((name) => [name, { keys: [hashKey(apiKeyOf(name))] }]),
    ),
    upstreams: options.upstreams,
    classes: CLASSES.map((entry) => ({
      name: entry.name,
      tier: options.tiers ? entry.tier : 1,
      match: { header: { name: "x-class", value: entry.name } },
      firstTokenMs: entry.firstTokenMs,
      betweenTokensMs: 30,
      queueMs: entry.queueMs,
      totalMs: 60_000,
      floorShare: options.tiers ? entry.floorShare : 0,
    })),
  });
}

function apiKeyOf(client: string): string {
  return `bench-key-of-${client}`;
}

function createCallerOptions(testbed: Testbed) {
  const timeouts = new Map(
    CLASSES.map((entry) => [entry.name, entry.firstTokenMs * 2]),
  );
  return {
    urls: testbed.fleet.urls,
    apiKeyOf,
    firstTokenTimeoutMs: (className: string) => timeouts.get(className)!,
  };
}

/**
 * Waits FLEET_JOIN_MS, until leaders have their full share, then sends load for
 * 3 s to bring every engine to its warm limit.
 */
async function warmUp(testbed: Testbed): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, FLEET_JOIN_MS));
  const planned = generateLoad(CLASSES, {
    seed: 99,
    ratePerSecond: maxRequestsPerSecond() * 0.6,
    seconds: 3,
  });
  await runCallers(planned, createCallerOptions(testbed));
}

function countTokens(
  engines: readonly StandInEngine[],
): { delivered: number; wasted: number } {
  let delivered = 0;
  let wasted = 0;
  for (const { counts } of engines) {
    delivered += counts.tokensDelivered;
    wasted += counts.tokensWasted;
  }
  return { delivered, wasted };
}

interface ClassFigures {
  offered: number;
  /** Complete answers, as a share of the offered requests. */
  served: number;
  /** Complete answers within both targets, as a share of the offered. */
  attained: number;
  /** Complete answers within both targets, as a share of those served. */
  attainedOfServed: number;
  /** Responses with status 400 or above, as a share of the offered requests. */
  refused: number;
}

function summarizeByClass(
  results: readonly CallerResult[],
): Record<string, ClassFigures> {
  const figures: Record<string, ClassFigures> = {};
  for (const { name, firstTokenMs } of CLASSES) {
    const classResults = results.filter(({ planned }) =>
      planned.className === name
    );
    const complete = classResults.filter((result) => result.isComplete);
    const attained = complete.filter((result) =>
      result.firstTokenMs <= firstTokenMs && result.betweenTokensMs <= 30
    );
    const refused = classResults.filter(({ status }) => status >= 400);
    const count = Math.max(1, classResults.length);
    figures[name] = {
      offered: classResults.length,
      served: round(complete.length / count),
      attained: round(attained.length / count),
      attainedOfServed: round(attained.length / Math.max(1, complete.length)),
      refused: round(refused.length / count),
    };
  }
  return figures;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

function report(figures: Record<string, unknown>): void {
  console.log(JSON.stringify(figures));
}
