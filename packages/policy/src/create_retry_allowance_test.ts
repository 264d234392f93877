import assert from "node:assert/strict";
import { test } from "node:test";
import { createRetryAllowance } from "./create_retry_allowance.ts";

const BOUNDS = { ratio: 0.2, slack: 60, windowMs: 10_000 };

function spendAll(
  allowance: ReturnType<typeof createRetryAllowance>,
  nowMs: number,
  vms: number,
): number {
  let spent = 0;
  while (spent < 10_000 && allowance.spend(nowMs, vms)) spent++;
  return spent;
}

test("retry storm: all VMs' allowances stay within the fleet's bound", () => {
  const vms = 9;
  let sum = 0;
  for (let vm = 0; vm < vms; vm++) {
    const allowance = createRetryAllowance(BOUNDS);
    for (let send = 0; send < 100; send++) allowance.onFirstSend(1000);
    sum += spendAll(allowance, 1000, vms);
  }
  assert.ok(sum > 0);
  assert.ok(sum <= BOUNDS.ratio * 100 * vms + BOUNDS.slack);
});

test("asking whether a retry is left spends none", () => {
  const allowance = createRetryAllowance(BOUNDS);
  for (let question = 0; question < 100; question++) {
    assert.ok(allowance.hasLeft(1000, 2));
  }
  assert.equal(spendAll(allowance, 1000, 2), 21);
  assert.equal(allowance.hasLeft(1000, 2), false);
});

test("a spent allowance is restored after a window", () => {
  const allowance = createRetryAllowance(BOUNDS);
  const first = spendAll(allowance, 1000, 2);
  assert.equal(spendAll(allowance, 2000, 2), 0);
  assert.equal(spendAll(allowance, 12_000, 2), first);
});

test("counts are dropped after a long gap in time", () => {
  const allowance = createRetryAllowance(BOUNDS);
  for (let send = 0; send < 1000; send++) allowance.onFirstSend(1000);
  const far = spendAll(allowance, 1_000_000, 2);
  assert.equal(far, Math.floor(0.7 * BOUNDS.slack / 2));
});
