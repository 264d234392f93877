import { leasePort } from "@rosemarytiller/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { callFleet } from "./call_fleet.ts";
import {
  createScriptedUpstream,
  UpstreamStep,
} from "./create_scripted_upstream.ts";
import { startTestEntry } from "./start_test_entry.ts";

const seed = Number(process.env.SEED ?? 20261203);

async function startService(t: TestContext, listener: RequestListener) {
  const service = createServer(listener).listen(0, "127.0.0.1");
  await once(service, "listening");
  const { port } = service.address() as AddressInfo;
  const server = await startTestEntry({
    engines: [],
    service: `http://127.0.0.1:${port}/base`,
  });
  t.after(async () => {
    await server.close();
    service.closeAllConnections();
    service.close();
  });
  return `${server.url}/v1/services/orders`;
}

test("a plain service's answer is forwarded unchanged", async (t) => {
  const received: Record<string, unknown>[] = [];
  const base = await startService(t, (request, response) => {
    const { method, url, headers } = request;
    received.push({ method, url, headers });
    response.writeHead(302, {
      "location": "/elsewhere",
      "set-cookie": ["a=1", "b=2"],
      "x-drop": "me",
      "connection": "x-drop",
    });
    response.end("moved");
  });
  const answer = await callFleet(`${base}/jars/1?size=2`, {
    method: "PATCH",
    body: "{}",
    redirect: "manual",
    headers: { "x-keep": "yes", "cookie": "c=3" },
  });
  assert.equal(answer.status, 302);
  assert.equal(answer.text, "moved");
  assert.equal(answer.headers.get("location"), "/elsewhere");
  assert.deepEqual(answer.headers.getSetCookie(), ["a=1", "b=2"]);
  assert.equal(answer.headers.get("x-drop"), null);
  const [{ method, url, headers }] = received;
  assert.deepEqual([method, url], ["PATCH", "/base/jars/1?size=2"]);
  const sent = headers as Record<string, string>;
  assert.equal(sent["x-keep"], "yes");
  assert.equal(sent.cookie, "c=3");
  assert.equal(sent.authorization, undefined, "the API key is not forwarded");
});

test("a path cannot leave the upstream's base path", async (t) => {
  const received: string[] = [];
  const base = await startService(t, (request, response) => {
    received.push(request.url!);
    response.end("ok");
  });
  await callFleet(`${base}//127.0.0.9/x`);
  await callFleet(`${base}/http://127.0.0.9/`);
  await callFleet(`${base}?q=1`);
  assert.deepEqual(received.splice(0), [
    "/base//127.0.0.9/x",
    "/base/http://127.0.0.9/",
    "/base/?q=1",
  ]);
  for (const path of ["/a/%2e%2E/%2e./b", "/..%2fb", "/.%2e%5Cb"]) {
    const answer = await callFleet(base + path);
    // fetch() itself resolves some of these paths before it sends the request.
    assert.ok([400, 404].includes(answer.status), `${path} ${answer.status}`);
  }
  assert.deepEqual(received, []);
});

test("an answer that is interrupted after its headers is not delivered as complete", async (t) => {
  const base = await startService(t, (_request, response) => {
    response.write("first half");
    setImmediate(() => response.destroy());
  });
  const answer = await callFleet(base);
  assert.ok(answer.isInterrupted);
});

const steps = fc.array(
  fc.constantFrom(
    UpstreamStep.Complete,
    UpstreamStep.ServiceUnavailable,
    UpstreamStep.InternalError,
    UpstreamStep.CloseBeforeHeaders,
    UpstreamStep.Truncate,
    UpstreamStep.ShortBody,
  ),
  { minLength: 1, maxLength: 4 },
);

test(`a non-idempotent call is sent once, seed ${seed}`, async (t) => {
  const upstream = await createScriptedUpstream();
  const server = await startTestEntry({ engines: [], service: upstream.url });
  t.after(async () => {
    await server.close();
    await upstream.close();
  });
  let count = 0;
  // A POST to a plain service is not repeatable in either class.
  const scenarios = fc.record({ steps, hasOnceHeader: fc.boolean() });
  await fc.assert(
    fc.asyncProperty(scenarios, async (scenario) => {
      upstream.setSteps(scenario.steps);
      upstream.runs.clear();
      const answer = await callFleet(`${server.url}/v1/services/orders/pay`, {
        method: "POST",
        body: JSON.stringify({ messages: [count++] }),
        headers: scenario.hasOnceHeader ? { "x-once": "yes" } : {},
      });
      const runs = [...upstream.runs.values()].reduce((a, b) => a + b, 0);
      assert.ok(runs <= 1, `ran ${runs} times`);
      const [first] = scenario.steps;
      if (first === UpstreamStep.CloseBeforeHeaders) {
        const { kind, run } = JSON.parse(answer.text);
        assert.deepEqual([kind, run], ["outcome-unknown", "may-have-run"]);
        return;
      }
      assert.equal(answer.status, EXPECTED_STATUSES[first] ?? 200);
      assert.equal(answer.isInterrupted, INTERRUPTED_STEPS.has(first));
    }),
    { seed, numRuns: 200 },
  );
});

const EXPECTED_STATUSES: Partial<Record<UpstreamStep, number>> = {
  [UpstreamStep.ServiceUnavailable]: 503,
  [UpstreamStep.InternalError]: 500,
};
const INTERRUPTED_STEPS = new Set([
  UpstreamStep.Truncate,
  UpstreamStep.ShortBody,
]);

test("a call that could not connect to any upstream reports not-run", async (t) => {
  const service = `http://127.0.0.1:${await leasePort()}`;
  const server = await startTestEntry({ engines: [], service });
  t.after(() => server.close());
  const answer = await callFleet(`${server.url}/v1/services/orders/pay`, {
    method: "POST",
    body: "{}",
    headers: { "x-once": "yes" },
  });
  assert.equal(JSON.parse(answer.text).run, "not-run", answer.text);
});
