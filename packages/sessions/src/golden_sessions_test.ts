import type { ProcessStatus } from "@rosemarytiller/admin";
import { EventKind } from "@rosemarytiller/shared";
import { CRASH_PROMPT_MARKER } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { once } from "node:events";
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { after, before, test } from "node:test";
import { callChat, TEST_KEY } from "./call_fleet.ts";
import {
  type GoldenFleet,
  startGoldenFleet,
  TOKEN_MS,
  VISITOR_KEY,
} from "./golden_fleet.ts";
import {
  recordSession,
  type SessionRecord,
  type SessionRequest,
} from "./record_session.ts";
import { waitUntil } from "./start_fleet.ts";

// Rewrites the golden files before the comparison, which then passes.
const UPDATE = process.env.ROSEMARYTILLER_UPDATE_GOLDEN === "1";
const GOLDEN_FOLDER = new URL("../golden/", import.meta.url);
/**
 * Number of tokens and time between two of them in a stream that must still run
 * when the test acts on it, even on a busy machine.
 */
const SLOW_TOKENS = 40;
const SLOW_TOKEN_MS = 25;
const MESSAGES = [{ role: "user", content: "how much honey?" }];

function createChatRequest(
  body: Record<string, unknown> = {},
  rest: Partial<SessionRequest> = {},
): SessionRequest {
  return {
    path: "/v1/chat/completions",
    key: TEST_KEY,
    headers: { "content-type": "application/json" },
    body: { model: "small", messages: MESSAGES, max_tokens: 3, ...body },
    ...rest,
  };
}

type Session = (record: SessionRecord, golden: GoldenFleet) => Promise<void>;

/** Sessions by name, in the order in which they run on one fleet. */
const SESSIONS: Record<string, Session> = {
  async "streamed answer"(record, { fleet }) {
    await record.call(fleet.vms[0].url, createChatRequest({ stream: true }));
  },

  async "unstreamed answer"(record, { fleet }) {
    await record.call(fleet.vms[1].url, createChatRequest());
  },

  async "list of models"(record, { fleet }) {
    const key = TEST_KEY;
    await record.call(fleet.vms[0].url, {
      method: "GET",
      path: "/v1/models",
      key,
    });
  },

  async "unknown model"(record, { fleet }) {
    await record.call(fleet.vms[0].url, createChatRequest({ model: "huge" }));
  },

  async "unknown route"(record, { fleet }) {
    await record.call(
      fleet.vms[0].url,
      createChatRequest({}, { path: "/v2/chat" }),
    );
  },

  async "wrong key"(record, { fleet }) {
    await record.call(
      fleet.vms[0].url,
      createChatRequest({}, { key: "some-other-key" }),
    );
  },

  async "no class"(record, { fleet }) {
    await record.call(
      fleet.vms[0].url,
      createChatRequest({}, { key: VISITOR_KEY }),
    );
  },

  async "malformed body"(record, { fleet }) {
    await record.call(
      fleet.vms[0].url,
      createChatRequest({}, { body: '{"model": ' }),
    );
  },

  async "plain service"(record, { fleet }) {
    await record.call(fleet.vms[1].url, {
      method: "PUT",
      path: "/v1/services/orders/jars?size=1",
      key: TEST_KEY,
      headers: { "content-type": "text/plain" },
      body: "ten jars",
    });
  },

  async "repeated idempotency key"(record, { fleet, service }) {
    const order = (body: string): SessionRequest => ({
      path: "/v1/services/orders/jars",
      key: TEST_KEY,
      headers: { "content-type": "text/plain", "idempotency-key": "order-17" },
      body,
    });
    await record.call(fleet.vms[0].url, order("ten jars"));
    record.note("its caller sends it again, through another VM");
    await record.call(fleet.vms[1].url, order("ten jars"));
    record.note("another order under the same key");
    await record.call(fleet.vms[1].url, order("two jars"));
    record.note(`runs counted by the service: ${service.runs.get("order-17")}`);
  },

  async "overloaded"(record, { fleet, engines }) {
    record.note("two long answers fill the only upstream allowed");
    const controller = new AbortController();
    const longCalls = [1, 2].map(() =>
      occupyEngine(fleet.vms[0].url, controller)
    );
    await waitUntil(
      () => engines.north.running() === 2,
      "the engine has no free capacity",
    );
    await record.call(
      fleet.vms[0].url,
      createChatRequest({}, { headers: NORTH_HEADERS }),
    );
    controller.abort();
    await Promise.all(longCalls);
    await waitUntil(() => engines.north.running() === 0, "the engine is idle");
  },

  async "resumed stream"(record, { fleet, engines }) {
    record.note("the connection breaks at the first data");
    let broken = false;
    engines.north.setOptions({ tokenMs: SLOW_TOKEN_MS });
    await record.call(
      fleet.vms[0].url,
      createChatRequest({ stream: true, max_tokens: SLOW_TOKENS }),
      {
        onChunk() {
          if (broken) return;
          broken = true;
          engines.north.breakConnections();
        },
      },
    );
    engines.north.setOptions({ tokenMs: TOKEN_MS });
  },

  async "cancelled by the caller"(record, { fleet, engines }) {
    const { counts } = engines.north;
    const before = counts.cancelled;
    const body = { stream: true, max_tokens: 2000 };
    await record.callAndDisconnect(fleet.vms[0].url, createChatRequest(body));
    await waitUntil(
      () => counts.cancelled === before + 1,
      "the engine has cancelled the call",
    );
    record.note("the engine has stopped the call");
  },

  async "data centre out of service"(record, golden) {
    const { fleet } = golden;
    await setNorthState(golden, "out-of-service");
    record.note("operators take the data centre north out of service");
    await record.call(fleet.vms[0].url, createChatRequest());
    await record.call(
      fleet.vms[0].url,
      createChatRequest({}, { headers: NORTH_HEADERS }),
    );
    await setNorthState(golden, "in-service");
    record.note("operators bring it back");
    await record.call(fleet.vms[0].url, createChatRequest());
  },

  async "planned stop in the middle of a stream"(record, { fleet, engines }) {
    const [vm] = fleet.vms;
    const exit = once(vm.entry, "exit");
    engines.north.setOptions({ tokenMs: SLOW_TOKEN_MS });
    const stream = record.call(
      vm.url,
      createChatRequest({ stream: true, max_tokens: SLOW_TOKENS }),
      { beforeTimeline: exit },
    );
    await waitUntil(
      async () => (await readStatus(vm.entryAdmin)).entry!.requests > 0,
      "the stream has begun",
    );
    vm.entry.kill("SIGTERM");
    await stream;
    const [code] = await exit;
    record.note(`told to stop in the stream, the entry ended with ${code}`);
  },

  async "crashing prompt"(record, { fleet, engines }) {
    const messages = [{ role: "user", content: CRASH_PROMPT_MARKER }];
    record.note("the prompt crashes each engine that runs it");
    // Which broker refuses depends on when it receives the report of a crash
    // that another broker saw, so these events differ from run to run.
    const hiddenKinds = [EventKind.PermitAsked, EventKind.PermitRefused];
    await record.call(fleet.vms[1].url, createChatRequest({ messages }), {
      hiddenKinds,
    });
    record.note("its caller sends it again");
    await record.call(fleet.vms[1].url, createChatRequest({ messages }));
    const { north, south } = engines;
    const crashes = north.counts.crashes + south.counts.crashes;
    record.note(`engines crashed: ${crashes}`);
  },
};

const NORTH_HEADERS = { "content-type": "application/json", "x-task": "north" };

/**
 * Occupies one slot of the engine in the data centre north until `controller`
 * aborts.
 */
async function occupyEngine(
  url: string,
  controller: AbortController,
): Promise<void> {
  const body = { model: "small", messages: MESSAGES, max_tokens: 100_000 };
  const { signal } = controller;
  await callChat(url, body, { signal, headers: { "x-task": "north" } })
    .catch(() => {});
}

/**
 * Sets the state of the data centre north and waits until all processes have
 * the same new revision.
 */
async function setNorthState(
  golden: GoldenFleet,
  north: string,
): Promise<void> {
  const { fleet } = golden;
  golden.publish({ north });
  const revisions = new Set<number>();
  await waitUntil(async () => {
    revisions.clear();
    for (const vm of fleet.vms) {
      for (const address of [vm.entryAdmin, vm.brokerAddress]) {
        const status = await readStatus(address);
        revisions.add(status.revisions["services/test"]);
      }
    }
    return revisions.size === 1 && !usedRevisions.has([...revisions][0]);
  }, "all processes use the new document");
  usedRevisions.add([...revisions][0]);
}

/** Revisions that all processes have used so far; the first one is 1. */
const usedRevisions = new Set([1]);

async function readStatus(address: string): Promise<ProcessStatus> {
  const answer = await fetch(`http://${address}/status`);
  return await answer.json() as ProcessStatus;
}

let golden: GoldenFleet;
before(async () => void (golden = await startGoldenFleet()));
after(() => golden.stop());

for (const [name, session] of Object.entries(SESSIONS)) {
  test(`golden session: ${name}`, async () => {
    const record = recordSession(name, golden.fleet);
    await session(record, golden);
    const file = new URL(`${name.replaceAll(" ", "_")}.txt`, GOLDEN_FOLDER);
    if (UPDATE) await writeFile(file, record.text());
    assert.equal(
      record.text(),
      await readFile(file, "utf8"),
      "the session differs from its golden file; if this is intended, set " +
        "ROSEMARYTILLER_UPDATE_GOLDEN=1 and review the diff",
    );
  });
}
