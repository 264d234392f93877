import {
  type AdminSource,
  handleAdminRequest,
  type ProcessStatus,
} from "@rosemarytiller/admin";
import { createFakeClock, EventKind, Role } from "@rosemarytiller/shared";
import { createTimeline } from "@rosemarytiller/timeline";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import type { CommandFlags } from "./command.ts";
import { runCommand } from "./run_command.ts";

const LEDGER = fileURLToPath(
  new URL("../../../examples/hive-ledger.jsonc", import.meta.url),
);
/** An address on which nothing listens. */
const UNREACHABLE_ADDRESS = "127.0.0.1:1";

async function run(
  input: string[],
  flags: Partial<CommandFlags> = {},
): Promise<{ code: number; output: string; remarks: string }> {
  let output = "";
  let remarks = "";
  const code = await runCommand({
    input,
    flags: { json: false, ...flags },
    print: (text) => output += text,
    warn: (text) => remarks += text,
  });
  return { code, output, remarks };
}

const STATUS: ProcessStatus = {
  process: "vm-1/broker",
  role: Role.Broker,
  dataCentre: "kochi",
  ready: true,
  stopping: false,
  revisions: { "services/ledger": 3 },
  listRevision: 2,
  members: [{ name: "vm-1", state: "live" }],
  broker: {
    pools: [{
      pool: "ledger/small@kochi",
      queue: { labels: 2, summaries: 0 },
      upstreams: [
        { name: "runner-1", address: "http://127.0.0.1:9", limit: 8, live: 3 },
      ],
      backers: ["vm-1/entry"],
    }],
  },
};

/** Serves the admin endpoints of a process; returns its `host:port`. */
async function serveAdmin(
  t: TestContext,
  status: ProcessStatus,
): Promise<string> {
  const clock = createFakeClock(5000);
  const timeline = createTimeline({ process: status.process, clock });
  timeline.record(EventKind.ProcessStarted, "");
  timeline.record(EventKind.PermitGranted, "request-1", { class: "labels" });
  const source: AdminSource = {
    isReady: () => true,
    status: () => status,
    timeline,
  };
  const server = createServer((request, response) =>
    handleAdminRequest(request, response, source)
  ).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("check accepts an example and reports a problem with its line", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "check-"));
  t.after(() => rm(folder, { recursive: true }));
  const good = await run(["check", LEDGER]);
  assert.deepEqual([good.code, good.output], [0, `${LEDGER}: valid\n`]);
  const text = await readFile(LEDGER, "utf8");
  const file = join(folder, "faulty.jsonc");
  await writeFile(file, text.replace('"tier": 4', '"tier": 9'));
  const faulty = await run(["check", LEDGER, file]);
  assert.equal(faulty.code, 2);
  const line = text.slice(0, text.indexOf('"tier": 4')).split("\n").length;
  assert.ok(faulty.output.includes(`faulty.jsonc:${line}:`), faulty.output);
  const listed = JSON.parse(
    (await run(["check", file], { json: true })).output,
  );
  assert.equal(listed[0].valid, false);
  assert.equal(listed[0].problems[0].line, line);
});

test("explain shows classes, targets, pools and upstreams", async () => {
  const { code, output } = await run(["explain", LEDGER], {
    client: "label-press",
    model: "ledger-small",
    from: "kottayam",
  });
  assert.equal(code, 0);
  const golden = new URL("../golden/explain.txt", import.meta.url);
  assert.equal(output, await readFile(golden, "utf8"));
});

test("explain shows what is out of service and what is refused", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "explain-"));
  t.after(() => rm(folder, { recursive: true }));
  const file = join(folder, "out_of_service.jsonc");
  const text = await readFile(LEDGER, "utf8");
  const out = text.replace(
    '"kochi": { "region": "kerala" }',
    '"kochi": { "region": "kerala", "state": "out-of-service" }',
  ).replace('"vmsOutOfService": []', '"vmsOutOfService": ["runner-vm-3"]');
  await writeFile(file, out);
  const flags = { client: "label-press", model: "ledger-small" };
  const { output } = await run(["explain", file], flags);
  assert.match(output, /-.*kochi: not asked, data centre kochi is out-of-serv/);
  assert.match(output, /runner-3: VM runner-vm-3 is out of service/);
  const refused = await run(["explain", file], {
    client: "label-press",
    service: "payments",
  });
  assert.equal(refused.code, 1);
  assert.match(refused.output, /Refused: no-class\./);
});

test("invalid usage is reported and exits with 2", async () => {
  const cases: [string[], Partial<CommandFlags>, RegExp][] = [
    [[], {}, /Name a subcommand/],
    [["toString"], {}, /Name a subcommand/],
    [["check"], {}, /Name a document/],
    [["check", "/no/such/file"], {}, /Cannot read/],
    [["explain", LEDGER], { model: "ledger-small" }, /--client/],
    [
      ["explain", LEDGER],
      { client: "label-pres", model: "ledger-small" },
      /"label-press"/,
    ],
    [["status"], {}, /--admin/],
    [
      ["timeline"],
      { admin: [UNREACHABLE_ADDRESS], kind: ["permits"] },
      /no kind "permits"/,
    ],
    [["timeline"], { admin: [UNREACHABLE_ADDRESS], since: "soon" }, /--since/],
    [["timeline"], { admin: [UNREACHABLE_ADDRESS], format: "pdf" }, /format/],
  ];
  for (const [input, flags, expected] of cases) {
    const { code, output, remarks } = await run(input, flags);
    assert.equal(code, 2, `${input} ${remarks}`);
    assert.equal(output, "");
    assert.match(remarks, expected);
  }
});

test("status shows pools and reports processes that did not answer", async (t) => {
  const address = await serveAdmin(t, STATUS);
  const complete = await run(["status"], { admin: [address] });
  assert.equal(complete.code, 0);
  assert.equal(complete.remarks, "");
  const golden = new URL("../golden/status.txt", import.meta.url);
  assert.equal(complete.output, await readFile(golden, "utf8"));
  const partial = await run(["status"], {
    admin: [`${address},${UNREACHABLE_ADDRESS}`],
  });
  assert.equal(partial.code, 1);
  assert.match(partial.remarks, /127\.0\.0\.1:1 did not answer/);
  assert.equal(partial.output, complete.output);
});

test("status reports inconsistent revisions and processes that are not ready", async (t) => {
  const first = await serveAdmin(t, STATUS);
  const second = await serveAdmin(t, {
    ...STATUS,
    process: "vm-2/broker",
    revisions: { "services/ledger": 2 },
    ready: false,
  });
  const { code, output } = await run(["status"], {
    admin: [first, second],
    json: true,
  });
  assert.equal(code, 0);
  assert.deepEqual(JSON.parse(output).remarks, [
    "The processes do not have the same revisions in force.",
    "vm-2/broker is not ready.",
  ]);
});

test("timeline filters events and reports processes whose events are missing", async (t) => {
  const address = await serveAdmin(t, STATUS);
  const { code, output, remarks } = await run(["timeline"], {
    admin: [address, UNREACHABLE_ADDRESS],
    json: true,
    class: "labels",
  });
  assert.equal(code, 1);
  assert.match(remarks, /127\.0\.0\.1:1 did not answer/);
  const lines = output.trimEnd().split("\n").map((line) => JSON.parse(line));
  assert.deepEqual(lines.map(({ kind }) => kind), ["permit-granted"]);
});
