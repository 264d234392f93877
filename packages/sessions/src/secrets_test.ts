import { openLink } from "@rosemarytiller/link";
import { createSystemClock, Role } from "@rosemarytiller/shared";
import { createStandInEngine } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { callChat, hashKey, TEST_KEY } from "./call_fleet.ts";
import { startFleet, waitUntil } from "./start_fleet.ts";

const LINK_KEY = "a-link-key-that-nobody-may-read";
const OTHER_LINK_KEY = "another-link-key-of-an-intruder";
const OTHER_KEY = "an-api-key-that-no-document-has";

test("no key appears in logs, status, timeline or answers", async (t) => {
  const level = process.env.ROSEMARYTILLER_LOG_LEVEL;
  // The processes of this fleet log at level 5 (trace), with every detail.
  process.env.ROSEMARYTILLER_LOG_LEVEL = "5";
  let output = "";
  const engine = await createStandInEngine();
  const document = JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" } },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams: {
      "runner-1": {
        kind: "model-runner",
        serves: ["small"],
        dataCentre: "north",
        vm: "runner-vm",
        address: engine.url,
        maxConcurrent: 8,
      },
    },
    classes: [{ name: "all", tier: 1, firstTokenMs: 430, queueMs: 5000 }],
  });
  const fleet = await startFleet({
    dataCentres: ["north", "north"],
    upstreamVms: { "runner-vm": "north" },
    document,
    settings: { linkKey: LINK_KEY },
    onOutput: (text) => output += text,
  });
  t.after(async () => {
    if (level === undefined) delete process.env.ROSEMARYTILLER_LOG_LEVEL;
    else process.env.ROSEMARYTILLER_LOG_LEVEL = level;
    await fleet.stop();
    await engine.close();
  });
  await fleet.waitUntilReady();

  const body = { model: "small", messages: [{ role: "user", content: "hi" }] };
  for (const key of [TEST_KEY, OTHER_KEY]) {
    const answer = await callChat(fleet.vms[0].url, body, { key });
    output += answer.text + JSON.stringify([...answer.headers]);
  }
  const rejectedLink = openLink(fleet.vms[0].brokerAddress, {
    vm: "vm-9",
    role: Role.Entry,
    incarnation: "1",
    key: OTHER_LINK_KEY,
  }, { clock: createSystemClock() });
  await assert.rejects(rejectedLink);
  // The error of an invalid document is logged with its position, not its text.
  const invalid = document.replace('"tier":1', '"tier":7');
  fleet.platform.publish("services/test", invalid);
  await waitUntil(
    () => output.includes("was refused") && output.includes("another link key"),
    "the refused document and the wrong link key are logged",
  );
  for (const vm of fleet.vms) {
    for (const address of [vm.entryAdmin, vm.brokerAddress]) {
      for (const path of ["status", "timeline", "live", "ready"]) {
        output += await (await fetch(`http://${address}/${path}`)).text();
      }
    }
  }
  assert.match(output, /vm-9\/entry has another link key/);
  assert.match(output, /request-answered/);
  const secrets = [LINK_KEY, OTHER_LINK_KEY, TEST_KEY, OTHER_KEY];
  for (const secret of [...secrets, ...secrets.map(hashKey)]) {
    assert.ok(!output.includes(secret), `${secret} appears in the output`);
  }
});
