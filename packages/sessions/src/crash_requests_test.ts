import {
  CRASH_MARK,
  createStandInEngine,
  expectedTokens,
  type StandInEngine,
} from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callChat,
  type CallerAnswer,
  hashKey,
  TEST_KEY,
} from "./call_fleet.ts";
import { startFleet, waitUntil } from "./start_fleet.ts";

/** Crashes that one request may cause. */
const MAX_CRASHES = 2;
const ENGINES = 4;
const NEIGHBOURS = 12;
const TOKENS = 60;
/** Shorter than the neighbours have run when the crash comes. */
const QUEUE_MS = 200;

function documentFor(engines: readonly StandInEngine[]): string {
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" } },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams: Object.fromEntries(
      engines.map((engine, index) => [`runner-${index}`, {
        kind: "model-runner",
        serves: ["small"],
        dataCentre: "north",
        vm: "runner-vm",
        address: engine.url,
        maxConcurrent: 8,
        coldConcurrent: 8,
      }]),
    ),
    classes: [{ name: "all", tier: 1, firstTokenMs: 400, queueMs: QUEUE_MS }],
  });
}

function messagesOf(text: string) {
  return [{ role: "user", content: text }];
}

function textOf(answer: CallerAnswer): string {
  return JSON.parse(answer.text).choices[0].message.content;
}

test("a request that crashes upstreams takes two of them at most", async (t) => {
  const engines: StandInEngine[] = [];
  for (let index = 0; index < ENGINES; index++) {
    engines.push(await createStandInEngine({ tokenMs: 10 }));
  }
  const fleet = await startFleet({
    dataCentres: ["north", "north", "north"],
    upstreamVms: { "runner-vm": "north" },
    document: documentFor(engines),
  });
  t.after(async () => {
    await fleet.stop();
    for (const engine of engines) await engine.close();
  });
  await fleet.ready();
  const running = () =>
    engines.reduce((sum, engine) => sum + engine.running(), 0);
  const crashes = () =>
    engines.reduce((sum, engine) => sum + engine.counts.crashes, 0);

  for (const { url } of fleet.vms) {
    const body = { model: "small", messages: messagesOf("first") };
    await waitUntil(
      async () => (await callChat(url, body)).status === 200,
      "a leader has its share",
    );
  }
  const neighbours = Array.from(
    { length: NEIGHBOURS },
    (_, index) =>
      callChat(fleet.vms[index % 3].url, {
        model: "small",
        messages: messagesOf(`neighbour ${index}`),
        max_tokens: TOKENS,
      }),
  );
  await waitUntil(() => running() === NEIGHBOURS, "the neighbours run");
  const runningMs = performance.now();
  await waitUntil(
    () => performance.now() - runningMs > QUEUE_MS,
    "the neighbours have run for longer than they might have waited",
  );

  const body = { model: "small", messages: messagesOf(CRASH_MARK) };
  const answers: CallerAnswer[] = [];
  for (let round = 0; round < 6; round++) {
    answers.push(await callChat(fleet.vms[round % 3].url, body));
  }
  assert.ok(crashes() >= 1 && crashes() <= MAX_CRASHES, `${crashes()} crashes`);
  assert.notEqual(JSON.parse(answers[0].text).run, "not-run");
  for (const answer of answers.slice(2)) {
    assert.equal(answer.status, 422, answer.text);
    assert.equal(JSON.parse(answer.text).run, "not-run");
    assert.ok(Number(answer.headers.get("retry-after")) > 0);
  }

  for (const [index, answer] of (await Promise.all(neighbours)).entries()) {
    assert.equal(answer.status, 200, answer.text);
    const prompt = JSON.stringify(messagesOf(`neighbour ${index}`));
    assert.equal(textOf(answer), expectedTokens(prompt, TOKENS).join(""));
  }
  const after = await callChat(fleet.vms[0].url, {
    model: "small",
    messages: messagesOf("after"),
  });
  assert.equal(after.status, 200, after.text);
});

test("the same crashing request sent at once through all VMs", async (t) => {
  const engines: StandInEngine[] = [];
  for (let index = 0; index < ENGINES; index++) {
    engines.push(await createStandInEngine());
  }
  const fleet = await startFleet({
    dataCentres: ["north", "north", "north"],
    upstreamVms: { "runner-vm": "north" },
    document: documentFor(engines),
  });
  t.after(async () => {
    await fleet.stop();
    for (const engine of engines) await engine.close();
  });
  await fleet.ready();
  const body = { model: "small", messages: messagesOf(CRASH_MARK) };
  const answers = await Promise.all(
    Array.from(
      { length: 9 },
      (_, round) => callChat(fleet.vms[round % 3].url, body),
    ),
  );
  for (const answer of answers) assert.ok(answer.status >= 400, answer.text);
  const crashed = engines.filter(({ counts }) => counts.crashes > 0).length;
  assert.ok(crashed <= MAX_CRASHES, `${crashed} engines crashed`);
});
