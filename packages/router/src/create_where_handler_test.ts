import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createConfigurationIndex } from "./create_configuration_index.ts";
import { createRegistry } from "./create_registry.ts";
import { createUpstreamChoice } from "./create_upstream_choice.ts";
import {
  createWhereHandler,
  Exclusion,
  type WhereAnswer,
} from "./create_where_handler.ts";
import { RouteKind } from "./enums.ts";
import { createNoopLog } from "./event_log.ts";
import type { Configuration } from "./ports.ts";

const CONFIGURATION: Configuration = {
  version: 7,
  routes: [{
    name: "digests",
    host: "ledger.example",
    prefix: "/digest/",
    kind: RouteKind.Stream,
    timeoutMs: 5000,
    targetMs: 1200,
    tier: 2,
    targets: [{ service: "engines", weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    isResumable: false,
    maxPauseMs: 800,
  }],
  services: [{
    name: "engines",
    healthPath: "/health",
    maxConnections: 100,
    warmUpMs: 0,
    warmUpCallsPerSecond: 0,
    engine: {
      slots: 16,
      memoryTokens: 300_000,
      bytesPerToken: 1000,
      fetchBytesPerMs: 0,
      keepsBackups: false,
    },
  }],
  accounts: [{ name: "press", tier: undefined, keys: ["secret"] }],
  limits: {
    maxHeaderBytes: 1000,
    maxBodyBytes: 1000,
    headerTimeoutMs: 1000,
    idleTimeoutMs: 1000,
  },
};

/** A router in "north" of a large fleet with four engines, one in "south". */
function createTestHandler() {
  const clock = createFakeClock(10_000);
  const registry = createRegistry({ clock, log: createNoopLog() });
  const index = createConfigurationIndex(CONFIGURATION);
  registry.setServices(index.findService);
  for (
    const [number, dataCentre] of ["north", "north", "north", "south"].entries()
  ) {
    registry.set(`u${number}`, {
      id: `u${number}`,
      service: "engines",
      host: "127.0.0.1",
      port: number + 1,
      dataCentre,
      slots: 16,
      isDraining: false,
      warmUpMs: 0,
      startedMs: undefined,
      softwareVersion: "v1",
    });
  }
  const network = {
    knownVmCount: () => 30,
    localVmCount: () => 10,
    isLargeFleet: () => true,
  };
  let counted = 0;
  const upstreamLimits = {
    isShared: () => false,
    canAdmit: () => true,
    onSent: () => void counted++,
  };
  const handle = createWhereHandler({
    clock,
    vm: "vm-1",
    dataCentre: "north",
    index: () => index,
    registry,
    upstreamLimits,
    choice: createUpstreamChoice({
      clock,
      registry,
      network,
      upstreamLimits,
      leavingCosts: { callMs: 4, kilobyteMs: 3 },
      dataCentre: "north",
    }),
    admission: { takenShare: () => 0.25 },
    isLargeFleet: network.isLargeFleet,
  });

  function ask(query: Record<string, string>) {
    let status = 0;
    let body = "";
    const response = {
      writeHead: (value: number) => status = value,
      end: (text: string) => body = text,
    };
    const url = `/where?${new URLSearchParams(query)}`;
    handle({ url } as never, response as never);
    return { status, answer: JSON.parse(body) as WhereAnswer };
  }
  return { clock, registry, ask, counted: () => counted };
}

const QUESTION = {
  host: "ledger.example",
  path: "/digest/1",
  account: "press",
  tokens: "7000",
  output: "50",
  parts: "common:2500,session:3800,own:700",
};

test("the upstream of least cost is named, with what rules out the others", () => {
  const { registry, ask } = createTestHandler();
  registry.find("u2")!.model.addCached([{ id: "common", tokens: 2500 }]);
  const { status, answer } = ask(QUESTION);
  assert.equal(status, 200);
  assert.deepEqual(
    [answer.route, answer.account, answer.configurationVersion],
    ["digests", "press", 7],
  );
  const [place] = answer.places;
  assert.equal(place!.chosen, "u2");
  assert.equal(place!.takenShare, 0.25);
  assert.equal(place!.candidates[0]!.newTokens, 4500);
  const exclusions = new Map(
    place!.candidates.map(({ upstream, excluded }) => [upstream, excluded]),
  );
  assert.equal(exclusions.get("u0"), undefined);
  assert.equal(exclusions.get("u3"), Exclusion.UnknownLoad);
});

test("an upstream of a data centre that is out is ruled out", () => {
  const { registry, ask } = createTestHandler();
  registry.setDataCentre("north", true);
  const [place] = ask(QUESTION).answer.places;
  assert.equal(place!.chosen, undefined);
  const candidate = place!.candidates.find(({ upstream }) => upstream === "u0");
  assert.equal(candidate!.excluded, Exclusion.Unavailable);
});

test("a question changes nothing", () => {
  const { registry, ask, counted } = createTestHandler();
  const before = ask(QUESTION).answer;
  assert.deepEqual(ask(QUESTION).answer, before);
  for (const upstream of registry.all()) {
    assert.equal(upstream.model.callCount(), 0);
  }
  assert.equal(counted(), 0);
});

const BAD_QUESTIONS: [Record<string, string>, number, RegExp][] = [
  [{ path: "/digest/1" }, 400, /no "host"/],
  [{ ...QUESTION, host: "other.example" }, 404, /no route/],
  [{ ...QUESTION, account: "nobody" }, 404, /no account "nobody"/],
  [{ ...QUESTION, tokens: "many" }, 400, /"tokens" has no whole number/],
  [{ ...QUESTION, parts: "common:-1" }, 400, /"parts" has no whole number/],
];

test("a bad question gets a clear error", () => {
  const { ask } = createTestHandler();
  for (const [query, status, text] of BAD_QUESTIONS) {
    const result = ask(query);
    assert.equal(result.status, status);
    assert.match((result.answer as unknown as { error: string }).error, text);
  }
});
