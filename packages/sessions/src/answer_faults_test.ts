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
import { startCallServer } from "./start_call_server.ts";

const seed = Number(process.env.SEED ?? 20261203);
const FAST_STEPS = Object.values(UpstreamStep)
  .filter((step) => step !== UpstreamStep.Silent);

async function startPair(requestClass: Record<string, unknown> = {}) {
  const upstream = await createScriptedUpstream();
  const engines = [upstream.url, upstream.url, upstream.url];
  const server = await startCallServer({
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

interface Session {
  stream: boolean;
  once: boolean;
  steps: UpstreamStep[];
}

const sessions = fc.record({
  stream: fc.boolean(),
  once: fc.boolean(),
  steps: fc.array(fc.constantFrom(...FAST_STEPS), { maxLength: 6 }),
});

/** Checks one answer against what the upstream counted. */
function checkAnswer(
  answer: CallerAnswer,
  session: Session,
  facts: { prompt: string; runs: number },
): void {
  const tokens = expectedTokens(facts.prompt, SCRIPTED_TOKENS);
  if (session.once) assert.ok(facts.runs <= 1, `ran ${facts.runs} times`);
  if (answer.status !== 200) {
    const { run } = JSON.parse(answer.text);
    if (run === "not-run") assert.equal(facts.runs, 0, "said not-run");
    return;
  }
  assert.ok(facts.runs > 0, "answered without a run");
  if (!session.stream) {
    const { content } = JSON.parse(answer.text).choices[0].message;
    assert.equal(content, tokens.join(""));
    return;
  }
  const [text, problem] = answer.text.split("event: error\ndata: ");
  const read = readStream(text);
  assert.deepEqual(read.tokens, tokens.slice(0, read.tokens.length));
  if (read.whole) assert.equal(read.tokens.length, SCRIPTED_TOKENS);
  else assert.equal(JSON.parse(problem).run, "may-have-run");
}

test(`answers are whole and "run" is true over any faults, seed ${seed}`, async (t) => {
  const { upstream, server, close } = await startPair();
  t.after(close);
  let count = 0;
  let whole = 0;
  await fc.assert(
    fc.asyncProperty(sessions, async (session) => {
      upstream.script(session.steps);
      const messages = [{ role: "user", content: `question ${count++}` }];
      const before = sum(upstream.runs);
      const answer = await callChat(server.url, {
        model: "small",
        messages,
        stream: session.stream,
      }, { headers: session.once ? { "x-once": "yes" } : {} });
      const runs = sum(upstream.runs) - before;
      if (answer.status === 200) whole++;
      checkAnswer(answer, session, { prompt: JSON.stringify(messages), runs });
      assert.equal(server.live(), 0, "a permit was not returned");
    }),
    { seed, numRuns: 300, includeErrorInReport: true },
  );
  assert.ok(whole > 100, `only ${whole} of 300 sessions were answered`);
});

function sum(runs: Map<string, number>): number {
  let total = 0;
  for (const count of runs.values()) total += count;
  return total;
}

const RESUMED_STEPS = [
  UpstreamStep.CloseAfterHead,
  UpstreamStep.Truncate,
  UpstreamStep.EndWithoutMark,
  UpstreamStep.BadJson,
  UpstreamStep.Gap,
];

for (const step of RESUMED_STEPS) {
  test(`a stream is resumed after ${step}`, async (t) => {
    const { upstream, server, close } = await startPair();
    t.after(close);
    upstream.script([step]);
    const messages = [{ role: "user", content: "how much honey?" }];
    const body = { model: "small", messages, stream: true };
    const answer = await callChat(server.url, body);
    const expected = expectedTokens(JSON.stringify(messages), SCRIPTED_TOKENS);
    assert.deepEqual(readStream(answer.text), {
      tokens: expected,
      whole: true,
    });
    assert.equal(upstream.resumes(), 1);
    assert.equal(sum(upstream.runs), 1);
  });
}

test("a silent upstream does not hold the caller", async (t) => {
  const { upstream, server, close } = await startPair({
    queueMs: 100,
    totalMs: 300,
  });
  t.after(close);
  for (const stream of [true, false]) {
    upstream.script([UpstreamStep.Silent]);
    const messages = [{ role: "user", content: "anyone?" }];
    const body = { model: "small", messages, stream };
    const answer = await callChat(server.url, body);
    assert.equal(answer.status, 504, answer.text);
    assert.equal(JSON.parse(answer.text).run, "may-have-run");
  }
});
