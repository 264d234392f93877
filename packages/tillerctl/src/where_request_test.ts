import type { WhereAnswer } from "@rosemarytiller/router";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { CommandFlags } from "./command.ts";
import { runCommand } from "./run_command.ts";

const ANSWER: WhereAnswer = {
  vm: "vm-1",
  configurationVersion: 7,
  route: "digests",
  account: "press",
  urgency: 8,
  places: [{
    service: "engines",
    takenShare: 1,
    chosen: "u2",
    candidates: [
      {
        upstream: "u2",
        dataCentre: "south",
        excluded: undefined,
        calls: 3,
        queuedTokens: 900,
        newTokens: 4500,
        predictedMs: 170,
        costMs: 301,
        wouldWait: true,
        failureShare: 0,
        reportAgeMs: 120,
        inWarmUp: false,
      },
    ],
  }],
};

/** Runs `where` against a router with this response. */
async function ask(
  response: { status: number; body: unknown },
  options: { input?: string[]; flags?: Partial<CommandFlags> } = {},
) {
  const urls: string[] = [];
  const server = createServer((incoming, outgoing) => {
    urls.push(incoming.url!);
    outgoing.writeHead(response.status).end(JSON.stringify(response.body));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  let output = "";
  let remarks = "";
  const code = await runCommand({
    input: [
      "where",
      ...(options.input ??
        [`127.0.0.1:${port}`, "ledger.example", "/digest/1"]),
    ],
    flags: { json: false, ...options.flags },
    print: (text) => output += text,
    warn: (text) => remarks += text,
  });
  server.close();
  return { code, output, remarks, urls };
}

test("where shows the chosen upstream and the candidates", async () => {
  const { code, output, urls } = await ask({ status: 200, body: ANSWER }, {
    flags: { client: "press", tokens: "7000", parts: "common:2500" },
  });
  assert.equal(code, 0);
  assert.match(output, /service engines: would go to u2/);
  assert.match(output, /u2 in south: 3 calls, 900 tokens waiting; 4500 tokens/);
  assert.match(output, /would wait at the VM, load 120 ms old/);
  const query = new URL(urls[0]!, "http://router").searchParams;
  assert.deepEqual(Object.fromEntries(query), {
    host: "ledger.example",
    path: "/digest/1",
    account: "press",
    tokens: "7000",
    parts: "common:2500",
  });
});

test("where writes JSON with --json", async () => {
  const result = await ask({ status: 200, body: ANSWER }, {
    flags: { json: true },
  });
  assert.equal(JSON.parse(result.output).places[0].chosen, "u2");
});

test("where fails if the request would be refused", async () => {
  const [place] = ANSWER.places;
  const noRoom = { ...ANSWER, places: [{ ...place!, chosen: undefined }] };
  const result = await ask({ status: 200, body: noRoom });
  assert.equal(result.code, 1);
  assert.match(result.remarks, /no upstream can take it now/);
  const overShare = { ...ANSWER, places: [{ ...place!, takenShare: 0.25 }] };
  const cut = await ask({ status: 200, body: overShare });
  assert.equal(cut.code, 1);
  assert.match(cut.remarks, /25 % of the account's requests are taken/);
});

test("where reports bad questions and routers that do not answer", async () => {
  const bad = await ask({ status: 404, body: { error: "no route" } });
  assert.equal(bad.code, 2);
  assert.match(bad.remarks, /no route/);
  const missing = await ask({ status: 200, body: ANSWER }, { input: [] });
  assert.equal(missing.code, 2);
  const absent = await ask({ status: 200, body: ANSWER }, {
    input: ["127.0.0.1:1", "ledger.example", "/digest/1"],
  });
  assert.equal(absent.code, 1);
  assert.match(absent.remarks, /127\.0\.0\.1:1 did not answer/);
});
