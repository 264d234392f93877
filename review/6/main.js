// Payments at a small deployment while runners of the ledger fail part of their
// requests with a 503 of their own, without saying that they did not run them.
import process from "node:process";
import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { connect, newId } from "../rig/client.js";
import { sleep, startFleet } from "../rig/fleet.js";
import { startRunner } from "../rig/runner.js";
import { startStore } from "../rig/store.js";

const HERE = import.meta.dirname;

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "pay.example";
const KEY = "key-of-hall";
/** The site's largest dose of runners that fail: share, x and for_s. */
const GREY = { share: 1.0, x: 0.45, fromMs: 2000, forMs: 4000 };
const TRAFFIC_MS = 8000;
const PAYMENTS_PER_S = 15;
const WORK_MS = 60;
const PROMISES = new Set([408, 421, 429, 503]);

const file = join(HERE, "record.txt");
writeFileSync(file, "");
const startMs = Date.now();
const note = (entry) =>
  appendFileSync(
    file,
    `${JSON.stringify({ ms: Date.now() - startMs, ...entry })}\n`,
  );

const CONFIGURATION = {
  version: 3,
  routes: [{
    name: "payout-post",
    host: HOST,
    prefix: "/pay/",
    kind: "non_idempotent",
    timeout_ms: 2000,
    goal_ms: 300,
    priority: 2,
    service: "ledger",
    max_attempts: 1,
    public: false,
  }],
  services: [{ name: "ledger", health_path: "/health", max_connections: 110 }],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 1048576,
    header_timeout_ms: 10000,
    idle_timeout_ms: 15000,
  },
  tenants: [{ name: "hall", api_keys: [KEY] }],
};

async function main() {
  const store = await startStore("127.0.31.100");
  store.put("op/config", CONFIGURATION);
  /** Attempts that a runner began to run, and the payments that it booked. */
  const runs = new Map();
  const booked = new Map();
  let greyFromMs = Infinity;
  const isGrey = () => {
    const ms = Date.now() - greyFromMs;
    return ms >= 0 && ms < GREY.forMs;
  };
  let greyRuns = 0;
  let greyFailures = 0;
  /** Never lets more than the dose's part of the requests fail. */
  const mayFail = () => {
    greyRuns++;
    if (greyFailures + 1 > GREY.x * greyRuns) return false;
    greyFailures++;
    return true;
  };
  const runners = [];
  for (let number = 0; number < 4; number++) {
    const runner = await startRunner({
      id: `i-ledger${number}`,
      host: "127.0.31.101",
      record: note,
      async behave(call) {
        const body = await call.body;
        if (body === undefined) return;
        call.note("runs");
        runs.set(call.attempt, [...runs.get(call.attempt) ?? [], runner.id]);
        await sleep(WORK_MS);
        if (call.isOver) return;
        const payment = body.toString();
        booked.set(payment, (booked.get(payment) ?? 0) + 1);
        // It has run the request, and fails while it writes the answer.
        const fails = isGrey() && mayFail();
        if (fails) call.answer(503, "the ledger could not confirm the entry");
        else call.answer(200, `booked ${payment}`);
      },
    });
    runners.push(runner);
    store.put(`servers/${runner.id}`, runner.entry("ledger"));
  }
  const fleet = await startFleet({ count: 3, store, base: 31 });
  let broken = 0;
  let twice = 0;
  try {
    await fleet.waitReady();
    await sleep(500);
    if (HAS_TROUBLE) greyFromMs = Date.now() + GREY.fromMs;
    note({ what: "traffic begins", trouble: HAS_TROUBLE });

    /** A client's payment: one retry, on a new connection, after a promise. */
    const pay = async (number) => {
      const payment = `payment-${number}`;
      for (let attempt = 0; attempt < 2; attempt++) {
        const client = connect(fleet.address((number + attempt) % 3));
        const id = newId("p");
        note({ what: "client sends", payment, attempt: id });
        const result = await client.request({
          path: `/pay/${number}`,
          host: HOST,
          id,
          body: payment,
          deadlineMs: 4000,
          headers: { Authorization: `Bearer ${KEY}` },
        });
        client.close();
        const ran = runs.get(id)?.length ?? 0;
        const isBroken = PROMISES.has(result.status) && ran > 0;
        if (isBroken) broken++;
        note({
          what: "client got",
          payment,
          attempt: id,
          status: result.status,
          seal: result.headers?.["rosemarytiller-response-seal"],
          ran,
          isBroken,
        });
        if (!PROMISES.has(result.status)) return;
        await sleep(Number(result.headers["retry-after"] ?? 0) * 1000);
      }
    };
    const pending = [];
    const count = TRAFFIC_MS / 1000 * PAYMENTS_PER_S;
    for (let number = 0; number < count; number++) {
      pending.push(pay(number));
      await sleep(1000 / PAYMENTS_PER_S);
    }
    await Promise.all(pending);
    await sleep(500);
    for (const times of booked.values()) if (times > 1) twice++;
    const result = {
      what: "result",
      attempts: runs.size,
      refusedThoughRun: broken,
      paymentsBookedTwice: twice,
      greyRuns,
      greyFailures,
    };
    note(result);
    console.log(JSON.stringify(result));
  } finally {
    await fleet.close();
    for (const runner of runners) runner.close();
    store.close();
  }
  if (runs.size < 60) return 2;
  return broken > 0 ? 1 : 0;
}

main().then((code) => process.exit(code), (error) => {
  note({ what: "the case could not run", error: error.stack });
  console.error(error);
  process.exit(2);
});
