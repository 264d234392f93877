import {
  type AskMessage,
  type GrantMessage,
  type Link,
  type Message,
  MessageKind,
  type RefuseMessage,
} from "@rosemarytiller/link";
import { createMetrics } from "@rosemarytiller/metrics";
import { createFleetView } from "@rosemarytiller/platform";
import { createQuarantine, MAX_WAITING } from "@rosemarytiller/policy";
import {
  CallOutcome,
  createFakeClock,
  ErrorKind,
} from "@rosemarytiller/shared";
import { createTimeline } from "@rosemarytiller/timeline";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPool } from "./create_pool.ts";

const POOL = "test/small@north";

const DOCUMENT = {
  service: "test",
  dataCentres: { north: { region: "r" } },
  clients: { counter: { keys: ["0".repeat(64)] } },
  upstreams: Object.fromEntries(["runner-1", "runner-2"].map((name) => [name, {
    kind: "model-runner",
    serves: ["small"],
    dataCentre: "north",
    vm: "runner-vm",
    address: "http://127.0.0.1:9",
    maxConcurrent: 2,
    coldConcurrent: 2,
  }])),
  classes: [
    {
      name: "high",
      tier: 1,
      match: { header: { name: "x-class", value: "high" } },
      firstTokenMs: 400,
      queueMs: 1000,
      floorShare: 0,
    },
    { name: "low", tier: 4, firstTokenMs: 400, queueMs: 60_000 },
  ],
};

type ShareOf = (upstream: string, limit: number) => number;

function createModel(shareOf: ShareOf = (_upstream, limit) => limit) {
  const clock = createFakeClock(1000);
  const view = createFleetView({ clock });
  const text = JSON.stringify(DOCUMENT);
  const key = "services/test";
  assert.ok(view.offerDocument({ key, revision: 1, text }, "test"));
  const sent: Message[] = [];
  const link = { send: (message: Message) => sent.push(message) };
  const quarantine = createQuarantine({
    now: clock.now,
    onChange: ({ fingerprint }) => pool.recheck(fingerprint),
  });
  const pool = createPool(POOL, {
    view,
    clock,
    timeline: createTimeline({ process: "test", clock }),
    metrics: createMetrics(undefined),
    shareOf,
    stampOf: () => 0,
    quarantine,
    random: () => 0.5,
  });
  let nextId = 0;
  function ask(fields: Partial<AskMessage> = {}): string {
    const id = `ask-${nextId++}`;
    const message: AskMessage = {
      kind: MessageKind.Ask,
      id,
      request: id,
      pool: POOL,
      className: "high",
      client: "counter",
      queueMs: fields.className === "low" ? 60_000 : 1000,
      promptTokens: 10,
      prefix: "",
      fingerprint: id,
      avoid: [],
      retry: false,
      stamp: 0,
      ...fields,
    };
    pool.ask(message, link as unknown as Link);
    return id;
  }
  function answerTo(id: string): GrantMessage | RefuseMessage | undefined {
    for (const message of sent) {
      if (message.kind === MessageKind.Grant && message.id === id) {
        return message;
      }
      if (message.kind === MessageKind.Refuse && message.id === id) {
        return message;
      }
    }
    return undefined;
  }
  function grantOf(id: string): GrantMessage {
    const answer = answerTo(id);
    assert.equal(answer?.kind, MessageKind.Grant, `${id} is not granted`);
    return answer as GrantMessage;
  }
  function finish(id: string, outcome: CallOutcome, firstTokenMs = 100): void {
    const { permit, upstream } = grantOf(id);
    pool.done({
      kind: MessageKind.Done,
      permit,
      pool: POOL,
      upstream,
      outcome,
      firstTokenMs,
      totalMs: 500,
      tokens: 1,
    });
  }
  return { pool, clock, ask, answerTo, grantOf, finish };
}

test("a wait that ends is refused at once, not at the next beat", () => {
  const model = createModel();
  for (let index = 0; index < 4; index++) model.grantOf(model.ask());
  const late = model.ask();
  model.clock.advance(999);
  assert.equal(model.answerTo(late), undefined);
  model.clock.advance(1);
  const answer = model.answerTo(late) as RefuseMessage;
  assert.equal(answer.error, ErrorKind.Overloaded);
  assert.ok(answer.retryAfterMs > 0);
});

test("a full queue sheds the lowest tier's newest first", () => {
  const model = createModel();
  const low = Array.from(
    { length: MAX_WAITING + 40 },
    () => model.ask({ className: "low" }),
  );
  const refused = (id: string) =>
    model.answerTo(id)?.kind === MessageKind.Refuse;
  const before = low.filter(refused);
  assert.ok(before.length > 0, "the bound is in force");
  assert.ok(before.every((id) => low.indexOf(id) >= MAX_WAITING));
  const high = Array.from({ length: 30 }, () => model.ask());
  assert.equal(high.filter(refused).length, 0);
  assert.ok(low.filter(refused).length > before.length);
});

test("the summary tells free room and the wait of each tier", () => {
  const model = createModel();
  assert.deepEqual(model.pool.summary(), {
    pool: POOL,
    free: 4,
    waitMs: [0, 0, 0, 0],
  });
  model.ask();
  assert.equal(model.pool.summary().free, 3);
  for (let index = 0; index < 13; index++) model.ask({ className: "low" });
  model.clock.advance(2000);
  const { free, waitMs } = model.pool.summary();
  assert.equal(free, 0);
  assert.equal(waitMs[0], 0);
  assert.ok(waitMs[3] >= 10_000, `${waitMs}`);
});

test("a suspect runs alone, and nothing joins it", () => {
  const model = createModel();
  const asks = Array.from(
    { length: 4 },
    (_, index) => model.ask({ fingerprint: `f${index}` }),
  );
  model.finish(asks[0], CallOutcome.Crashed);
  const { upstream } = model.grantOf(asks[0]);
  const twin = asks.find((id) =>
    id !== asks[0] && model.grantOf(id).upstream === upstream
  )!;
  const others = asks.filter((id) => id !== asks[0] && id !== twin);
  model.finish(twin, CallOutcome.Crashed);
  const again = model.ask({ fingerprint: "f0", avoid: [upstream] });
  const innocent = model.ask({ fingerprint: "g", avoid: [upstream] });
  model.finish(others[0], CallOutcome.Complete);
  assert.equal(model.answerTo(again), undefined, "the upstream is not idle");
  assert.equal(model.answerTo(innocent), undefined, "it is kept for f0");
  model.finish(others[1], CallOutcome.Complete);
  model.grantOf(again);
  assert.equal(model.answerTo(innocent), undefined);
  model.finish(again, CallOutcome.Complete);
  model.grantOf(innocent);
});

test("the second crash refuses all that ask for the same", () => {
  const model = createModel();
  const fingerprint = "crasher";
  const first = model.ask({ fingerprint });
  model.finish(first, CallOutcome.Crashed);
  const { upstream } = model.grantOf(first);
  const second = model.ask({ fingerprint, avoid: [upstream] });
  const waiting = model.ask({ fingerprint, avoid: [upstream] });
  assert.equal(model.answerTo(waiting), undefined, "one at a time");
  model.clock.advance(600);
  model.finish(second, CallOutcome.Crashed);
  for (const id of [waiting, model.ask({ fingerprint })]) {
    const answer = model.answerTo(id) as RefuseMessage;
    assert.equal(answer.error, ErrorKind.Quarantined);
    assert.ok(answer.retryAfterMs > 0);
  }
});

test("a crash told by calls and by a report counts once", () => {
  const model = createModel();
  const fingerprint = "f";
  const report = { running: 0, waiting: 0, ageMs: 0 };
  const first = model.ask({ fingerprint });
  const { upstream } = model.grantOf(first);
  model.pool.report(upstream, { ...report, running: 1, instance: "1" });
  model.clock.advance(100);
  model.finish(first, CallOutcome.Crashed);
  model.clock.advance(300);
  const again = model.ask({ fingerprint });
  model.grantOf(again);
  model.clock.advance(100);
  for (const name of ["runner-1", "runner-2"]) {
    model.pool.report(name, { ...report, instance: "2" });
  }
  model.finish(again, CallOutcome.Complete);
  model.grantOf(model.ask({ fingerprint }));
});

test("a new instance number alone marks what was in flight", () => {
  const model = createModel();
  const report = { running: 1, waiting: 0, ageMs: 0 };
  const first = model.ask({ fingerprint: "f" });
  const { upstream } = model.grantOf(first);
  model.pool.report(upstream, { ...report, instance: "1" });
  model.clock.advance(250);
  model.pool.report(upstream, { ...report, running: 0, instance: "2" });
  model.finish(first, CallOutcome.Crashed);
  model.clock.advance(600);
  const other = upstream === "runner-1" ? "runner-2" : "runner-1";
  const again = model.ask({ fingerprint: "f", avoid: [upstream] });
  assert.equal(model.grantOf(again).upstream, other);
  const beside = model.ask({ fingerprint: "g", avoid: [upstream] });
  assert.equal(model.answerTo(beside), undefined, "the suspect runs alone");
});

test("a share that runs out during a pump keeps the request waiting", () => {
  for (let readings = 0; readings < 12; readings++) {
    let left = Infinity;
    const { pool, ask, answerTo, finish } = createModel((_upstream, limit) =>
      left-- > 0 ? limit : 0
    );
    const running = Array.from({ length: 4 }, () => ask({ className: "low" }));
    const waiting = ask();
    left = readings;
    finish(running[0], CallOutcome.Complete);
    left = Infinity;
    pool.pump();
    assert.equal(answerTo(waiting)?.kind, MessageKind.Grant, `${readings}`);
  }
});
