import { expectedTokens } from "@rosemarytiller/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { callChat, type CallerAnswer, readStream } from "./call_fleet.ts";
import {
  createScriptedUpstream,
  SCRIPTED_TOKENS,
  UpstreamStep,
} from "./create_scripted_upstream.ts";
import { startTestEntry } from "./start_test_entry.ts";

const seed = Number(process.env.SEED ?? 20261203);
/** Steps that end at once; a call with `Hang` lasts until its deadline. */
const TERMINATING_STEPS = Object.values(UpstreamStep)
  .filter((step) => step !== UpstreamStep.Hang);

async function startEntryAndUpstream(
  requestClass: Record<string, unknown> = {},
) {
  const upstream = await createScriptedUpstream();
  const engines = [upstream.url, upstream.url, upstream.url];
  const server = await startTestEntry({
    engines,
    service: upstream.url,
    requestClass,
  });
  async function close(): Promise<void> {
    await server.close();
    await upstream.close();
  }
  return { upstream, server, close };
}

interface Scenario {
  stream: boolean;
  isNonIdempotent: boolean;
  steps: UpstreamStep[];
}

const scenarios = fc.record({
  stream: fc.boolean(),
  isNonIdempotent: fc.boolean(),
  steps: fc.array(fc.constantFrom(...TERMINATING_STEPS), { maxLength: 6 }),
});

/** Checks one answer against the number of runs that the upstream counted. */
function checkAnswer(
  answer: CallerAnswer,
  scenario: Scenario,
  observed: { prompt: string; runs: number },
): void {
  const tokens = expectedTokens(observed.prompt, SCRIPTED_TOKENS);
  if (scenario.isNonIdempotent) {
    assert.ok(observed.runs <= 1, `ran ${observed.runs} times`);
  }
  if (answer.status !== 200) {
    const { run } = JSON.parse(answer.text);
    if (run === "not-run") {
      assert.equal(observed.runs, 0, "the answer says not-run");
    }
    return;
  }
  assert.ok(observed.runs > 0, "answered although the upstream ran nothing");
  if (!scenario.stream) {
    const { content } = JSON.parse(answer.text).choices[0].message;
    assert.equal(content, tokens.join(""));
    return;
  }
  const [text, problem] = answer.text.split("event: error\ndata: ");
  const read = readStream(text);
  assert.deepEqual(read.tokens, tokens.slice(0, read.tokens.length));
  if (read.isComplete) assert.equal(read.tokens.length, SCRIPTED_TOKENS);
  else assert.equal(JSON.parse(problem).run, "may-have-run");
}

test(`answers are complete and "run" is accurate under random upstream faults, seed ${seed}`, async (t) => {
  const { upstream, server, close } = await startEntryAndUpstream();
  t.after(close);
  let count = 0;
  let answered = 0;
  await fc.assert(
    fc.asyncProperty(scenarios, async (scenario) => {
      upstream.setSteps(scenario.steps);
      const messages = [{ role: "user", content: `question ${count++}` }];
      const before = sumRuns(upstream.runs);
      const answer = await callChat(server.url, {
        model: "small",
        messages,
        stream: scenario.stream,
      }, { headers: scenario.isNonIdempotent ? { "x-once": "yes" } : {} });
      const runs = sumRuns(upstream.runs) - before;
      if (answer.status === 200) answered++;
      checkAnswer(answer, scenario, { prompt: JSON.stringify(messages), runs });
      assert.equal(server.openPermits(), 0, "a permit was not returned");
    }),
    { seed, numRuns: 300, includeErrorInReport: true },
  );
  assert.ok(answered > 100, `only ${answered} of 300 requests were answered`);
});

function sumRuns(runs: Map<string, number>): number {
  let total = 0;
  for (const count of runs.values()) total += count;
  return total;
}

const RESUMABLE_STEPS = [
  UpstreamStep.CloseAfterHeaders,
  UpstreamStep.Truncate,
  UpstreamStep.EndWithoutDone,
  UpstreamStep.BadJson,
  UpstreamStep.Gap,
];

for (const step of RESUMABLE_STEPS) {
  test(`a stream is resumed after ${step}`, async (t) => {
    const { upstream, server, close } = await startEntryAndUpstream();
    t.after(close);
    upstream.setSteps([step]);
    const messages = [{ role: "user", content: "how much honey?" }];
    const body = { model: "small", messages, stream: true };
    const answer = await callChat(server.url, body);
    const expected = expectedTokens(JSON.stringify(messages), SCRIPTED_TOKENS);
    assert.deepEqual(readStream(answer.text), {
      tokens: expected,
      isComplete: true,
    });
    assert.equal(upstream.resumeCount(), 1);
    assert.equal(sumRuns(upstream.runs), 1);
  });
}

test("a call to an upstream that never responds ends at its deadline", async (t) => {
  const { upstream, server, close } = await startEntryAndUpstream({
    queueMs: 100,
    totalMs: 300,
  });
  t.after(close);
  for (const stream of [true, false]) {
    upstream.setSteps([UpstreamStep.Hang]);
    const messages = [{ role: "user", content: "anyone?" }];
    const body = { model: "small", messages, stream };
    const answer = await callChat(server.url, body);
    assert.equal(answer.status, 504, answer.text);
    assert.equal(JSON.parse(answer.text).run, "may-have-run");
  }
});
