import {
  createStandInEngine,
  createStandInService,
  expectedTokens,
} from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callChat,
  callFleet,
  hashKey,
  readStream,
  TEST_KEY,
} from "./call_fleet.ts";
import { startFleet } from "./start_fleet.ts";

test("requests are served end to end by separate entry and broker processes", async (t) => {
  const engine = await createStandInEngine();
  const service = await createStandInService();
  const fleet = await startFleet({
    dataCentres: ["north", "south"],
    upstreamVms: { "runner-vm": "north", "service-vm": "south" },
    document: JSON.stringify({
      service: "test",
      dataCentres: { north: { region: "r" }, south: { region: "r" } },
      clients: { counter: { keys: [hashKey(TEST_KEY)] } },
      upstreams: {
        "runner-1": {
          kind: "model-runner",
          serves: ["small"],
          dataCentre: "north",
          vm: "runner-vm",
          address: engine.url,
          maxConcurrent: 8,
          coldConcurrent: 2,
        },
        "orders-1": {
          kind: "plain-service",
          serves: ["orders"],
          dataCentre: "south",
          vm: "service-vm",
          address: service.url,
          maxConcurrent: 8,
        },
      },
      classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 5000 }],
    }),
  });
  t.after(async () => {
    await fleet.stop();
    await engine.close();
    await service.close();
  });
  await fleet.waitUntilReady();

  const messages = [{ role: "user", content: "how much honey?" }];
  const expected = expectedTokens(JSON.stringify(messages), 12);
  for (const vm of fleet.vms) {
    const body = { model: "small", messages, max_tokens: 12 };
    const streamed = await callChat(vm.url, { ...body, stream: true });
    assert.equal(streamed.status, 200, streamed.text);
    assert.deepEqual(readStream(streamed.text), {
      tokens: expected,
      isComplete: true,
    });
    const whole = await callChat(vm.url, body);
    assert.equal(
      JSON.parse(whole.text).choices[0].message.content,
      expected.join(""),
    );
    const plain = await callFleet(`${vm.url}/v1/services/orders/a?b=1`, {
      method: "PUT",
      body: "ten jars",
    });
    assert.equal(plain.status, 200, plain.text);
    const { method, path, body: sent } = JSON.parse(plain.text);
    assert.deepEqual([method, path, sent], ["PUT", "/a?b=1", "ten jars"]);
    const models = await callFleet(`${vm.url}/v1/models`);
    assert.equal(JSON.parse(models.text).data[0].id, "small");
    const unknown = await callFleet(`${vm.url}/v1/models`, { key: "wrong" });
    assert.equal(unknown.status, 401);
    assert.equal(JSON.parse(unknown.text).run, "not-run");
  }
});
