import type { AccountDemand, Member } from "@rosemarytiller/peers";
import { CallRank } from "@rosemarytiller/policy";
import { createFakeClock, TillerError } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type AdmittedRequest,
  createAccountAdmission,
} from "./create_account_admission.ts";
import { LogEvent } from "./enums.ts";
import { createNoopLog } from "./event_log.ts";

/** A VM with ten engines, all busy once `setBusy(true)` is called. */
function createTestAdmission(options: { reports?: AccountDemand[] } = {}) {
  const clock = createFakeClock(10_000);
  const events: LogEvent[] = [];
  let isBusy = false;
  let position = 0;
  const engine = {
    entry: { dataCentre: "north" },
    model: {
      queuedPrefillTokens: () => isBusy ? 100_000 : 0,
      tokensPerMs: () => 50,
      prefillUtilization: () => 0,
    },
  };
  const admission = createAccountAdmission({
    clock,
    log: { ...createNoopLog(), info: (event) => void events.push(event) },
    dataCentre: "north",
    registry: { eligible: () => Array(10).fill(engine) },
    network: {
      isLargeFleet: () => false,
      reachableMembers: () => [
        {
          dataCentre: "south",
          heartbeat: { accountDemand: options.reports },
        } as Member,
      ],
    },
    random: () => (position += 0.618_034) % 1,
  });

  function admit(
    account: string,
    fields: Record<string, unknown> = {},
  ): TillerError | undefined {
    try {
      admission.admit({
        service: { name: "engines", engine: {} },
        account: { name: account },
        rank: CallRank.Loose,
        request: { metadata: { prompt: { promptTokens: 1000 } } },
        ...fields,
      } as AdmittedRequest);
      return undefined;
    } catch (error) {
      assert.ok(error instanceof TillerError);
      return error;
    }
  }

  /** Sends requests each 50 ms; returns the share of each account that passed. */
  function send(seconds: number, counts: Record<string, number>) {
    const passed: Record<string, number> = {};
    const steps = seconds * 20;
    for (let step = 0; step < steps; step++) {
      for (const [account, count] of Object.entries(counts)) {
        for (let sent = 0; sent < count; sent++) {
          if (admit(account)) continue;
          passed[account] = (passed[account] ?? 0) + 1 / steps / count;
        }
      }
      clock.advance(50);
    }
    return passed;
  }
  return {
    admission,
    admit,
    send,
    events,
    setBusy: (value: boolean) => isBusy = value,
  };
}

// Load: one account sends 20 times its usual while the engines are busy.
test("only the account that asks for far more than usual is refused", () => {
  const { send, setBusy, events, admission } = createTestAdmission();
  send(20, { a: 1, b: 1, c: 1 });
  setBusy(true);
  send(2, { a: 1, b: 1, c: 20 });
  const passed = send(3, { a: 1, b: 1, c: 20 });
  assert.ok(passed.a! > 0.99 && passed.b! > 0.99, JSON.stringify(passed));
  assert.ok(passed.c! < 0.5, JSON.stringify(passed));
  assert.equal(admission.contendedCount(), 1);
  setBusy(false);
  send(5, { a: 1, b: 1, c: 1 });
  assert.deepEqual(events, [
    LogEvent.ContentionBegan,
    LogEvent.ContentionEnded,
  ]);
});

test("nothing is refused while engines are free", () => {
  const { send } = createTestAdmission();
  send(20, { a: 1, b: 1 });
  const passed = send(5, { a: 1, b: 20 });
  assert.ok(passed.a! > 0.999 && passed.b! > 0.999);
});

test("demand that other VMs report counts", () => {
  const reports: AccountDemand[] = [
    ["engines", 1, "hot", 2_000_000, 20_000],
    ["others", 1, "a", 2_000_000, 20_000],
    ["engines", 0, "a", 2_000_000, 20_000],
  ];
  const { send, setBusy } = createTestAdmission({ reports });
  send(20, { a: 1, hot: 1 });
  setBusy(true);
  send(2, { a: 1, hot: 1 });
  const passed = send(3, { a: 1, hot: 1 });
  assert.ok(passed.a! > 0.99, JSON.stringify(passed));
  assert.ok(passed.hot! < 0.5, JSON.stringify(passed));
});

test("relayed requests, resumed streams and plain services pass", () => {
  const { admit, send, setBusy } = createTestAdmission();
  send(20, { a: 1, b: 1 });
  setBusy(true);
  send(3, { a: 40, b: 1 });
  const prompt = { promptTokens: 1000 };
  const requests = [
    { request: { metadata: { prompt, lastEventId: "3" } } },
    { request: { metadata: { prompt }, relay: {} } },
    { service: { name: "engines", engine: undefined } },
    { account: undefined },
  ];
  for (const fields of requests) {
    for (let count = 0; count < 20; count++) {
      assert.equal(admit("a", fields), undefined);
    }
  }
});

test("refused requests are told when to come, spread over a time", () => {
  const { admit, send, setBusy } = createTestAdmission();
  send(20, { a: 1, b: 1 });
  setBusy(true);
  send(3, { a: 40, b: 1 });
  const delays = new Set<number>();
  for (let count = 0; count < 50; count++) {
    const error = admit("a");
    if (error) delays.add(Math.round(error.retryAfterMs! / 100));
  }
  assert.ok(Math.min(...delays) >= 3 && Math.max(...delays) <= 12);
  assert.ok(delays.size > 5, [...delays].join(" "));
});
