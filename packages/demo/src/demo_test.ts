import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const MAIN = fileURLToPath(new URL("./main.js", import.meta.url));
const DOCUMENT = fileURLToPath(
  new URL("../../../examples/hive-ledger.jsonc", import.meta.url),
);

function startDemo(page: string, ...flags: string[]): ChildProcess {
  return spawn(
    process.execPath,
    [MAIN, "--page", page, ...flags],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
}

test("with --exit, the fleet answers the samples and the demo exits with 0", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "demo-"));
  t.after(() => rm(folder, { recursive: true }));
  const page = join(folder, "timeline.html");
  const demo = startDemo(page, "--exit", "--document", DOCUMENT);
  let output = "";
  demo.stdout!.on("data", (chunk) => output += chunk);
  const [code] = await once(demo, "close");
  assert.equal(code, 0, output);
  for (const name of ["labels", "season-summaries", "payment-entries"]) {
    assert.match(output, new RegExp(`^${name} .* yes$`, "m"));
  }
  assert.match(await readFile(page, "utf8"), /attempt-started/);
});

test("the demo exits with 1 if an answer is incomplete", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "demo-"));
  t.after(() => rm(folder, { recursive: true }));
  const document = join(folder, "out_of_service.jsonc");
  // Both data centres that serve the payments service are out of service.
  const text = (await readFile(DOCUMENT, "utf8")).replaceAll(
    /"(kottayam|alappuzha)": \{ "region": "kerala" \}/g,
    '"$1": { "region": "kerala", "state": "out-of-service" }',
  );
  await writeFile(document, text);
  const page = join(folder, "timeline.html");
  const demo = startDemo(page, "--exit", "--document", document);
  let output = "";
  demo.stdout!.on("data", (chunk) => output += chunk);
  const [code] = await once(demo, "close");
  assert.equal(code, 1, output);
  assert.match(output, /^payment-entries .* 503 .* NO$/m);
  assert.match(output, /^member-accounts .* yes$/m);
});

/** Chunk of a chat completions stream, as client libraries read it. */
interface CompletionChunk {
  choices: {
    index: number;
    delta: { content?: string };
    finish_reason?: string | null;
  }[];
}

/**
 * Reads a chat completions stream as client libraries do: up to `[DONE]`, with
 * an error unless a chunk before it says why the completion finished.
 */
async function readCompletion(
  response: Response,
): Promise<{ content: string; finishReason: string; last: CompletionChunk }> {
  let text = "";
  const decoder = new TextDecoder();
  for await (const bytes of response.body!) {
    text += decoder.decode(bytes, { stream: true });
  }
  let content = "";
  let finishReason: string | undefined;
  let last: CompletionChunk | undefined;
  for (const event of text.split("\n\n")) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) continue;
    if (data === "[DONE]") {
      if (!finishReason) throw new Error("missing finish_reason");
      return { content, finishReason, last: last! };
    }
    last = JSON.parse(data) as CompletionChunk;
    const [choice] = last.choices;
    content += choice.delta.content ?? "";
    finishReason = choice.finish_reason ?? finishReason;
  }
  throw new Error("the stream ended without [DONE]");
}

// Guards against streams that client libraries reject as unfinished.
test("a client library reads the demo's stream to a finish_reason", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "demo-"));
  t.after(() => rm(folder, { recursive: true }));
  const page = join(folder, "timeline.html");
  const demo = startDemo(page, "--document", DOCUMENT);
  t.after(async () => {
    const exit = once(demo, "exit");
    demo.kill("SIGINT");
    await exit;
  });
  let output = "";
  for await (const chunk of demo.stdout!) {
    output += chunk;
    if (/^curl .*\n/m.test(output)) break;
  }
  const command = /^curl .*$/m.exec(output)![0];
  const url = /http:\S+/.exec(command)![0];
  const headers = [...command.matchAll(/-H '([^:]+): ([^']*)'/g)]
    .map(([, name, value]): [string, string] => [name, value]);
  const body = / -d '([^']*)'/.exec(command)![1];
  const response = await fetch(url, { method: "POST", headers, body });
  assert.equal(response.status, 200);
  const { content, finishReason, last } = await readCompletion(response);
  assert.notEqual(content, "");
  assert.equal(finishReason, "stop");
  assert.deepEqual(last.choices, [
    { index: 0, delta: {}, finish_reason: "stop" },
  ]);
});

test("SIGINT stops the demo and its processes", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "demo-"));
  t.after(() => rm(folder, { recursive: true }));
  const demo = startDemo(
    join(folder, "timeline.html"),
    "--document",
    DOCUMENT,
  );
  let output = "";
  for await (const chunk of demo.stdout!) {
    output += chunk;
    if (output.includes("curl ")) break;
  }
  const url = /http:\/\/127\.0\.0\.1:\d+/.exec(output)![0];
  assert.equal((await fetch(`${url}/v1/models`)).status, 401);
  demo.kill("SIGINT");
  const [code] = await once(demo, "exit");
  assert.equal(code, 0);
  await assert.rejects(fetch(`${url}/v1/models`));
});
