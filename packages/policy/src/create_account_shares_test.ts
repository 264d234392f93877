import assert from "node:assert/strict";
import { test } from "node:test";
import { createAccountShares } from "./create_account_shares.ts";

const STEP_MS = 50;
const TOKENS = 1000;
const ACCOUNTS = 24;
/** Accounts that usually ask for five times as much as the others. */
const LARGE_ACCOUNTS = 3;

interface PlayOptions {
  vms: number;
  /** Accounts that ask for a multiple of their usual from second 20 on. */
  hot: number;
  factor: number;
  /** Demand in usual times, as a share of the room. */
  usualLoad?: number;
  /** VMs from this number on hear nothing of the others from second 20 on. */
  cutFrom?: number;
  /** Seconds at which a VM restarts, in turn. */
  restarts?: number[];
}

/** Requests of one account, as the callers see them from second 21 on. */
interface Outcome {
  asked: number;
  taken: number;
}

/**
 * Plays 30 s on the decisions alone. Engines are busy while the VMs take more
 * than their room; reports of the VMs are half a second old.
 */
function play(options: PlayOptions) {
  const { vms, hot, factor, usualLoad = 0.8 } = options;
  const { cutFrom = vms, restarts = [] } = options;
  const create = (nowMs: number) => createAccountShares(nowMs);
  const shares = Array.from({ length: vms }, () => create(0));
  const outcomes: Outcome[] = [];
  const weightOf = (account: number) => account < LARGE_ACCOUNTS ? 5 : 1;
  let weights = 0;
  for (let account = 0; account < ACCOUNTS; account++) {
    outcomes.push({ asked: 0, taken: 0 });
    weights += weightOf(account);
  }
  /** Requests of a step in usual times, per unit of weight. */
  const usualRequests = vms * 2 / weights;
  const room = vms * 2 * TOKENS / usualLoad;
  const owed = new Array(ACCOUNTS).fill(0);
  let backlog = 0;
  let turn = 0;
  let takenInLastSeconds = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += STEP_MS) {
    const isHot = nowMs >= 20_000;
    if (restarts.includes(nowMs / 1000)) {
      shares[turn++ % vms] = create(nowMs);
    }
    if (nowMs % 500 === 0) {
      const rates = shares.map((one) => one.ownRates(nowMs));
      for (const [vm, one] of shares.entries()) {
        const isCut = isHot && vm >= cutFrom;
        const others = rates.filter((_rates, other) =>
          other !== vm && (!isCut && (other < cutFrom || !isHot))
        );
        one.setReportedRates(others.flat());
      }
    }
    const busyEngines = backlog > 0 ? 10 : 0;
    for (const one of shares) one.update({ engines: 10, busyEngines }, nowMs);
    let takenTokens = 0;
    for (let account = 0; account < ACCOUNTS; account++) {
      // The last accounts are hot, which are small ones.
      const isAccountHot = isHot && account >= ACCOUNTS - hot;
      owed[account] += usualRequests * weightOf(account) *
        (isAccountHot ? factor : 1);
      for (; owed[account] >= 1; owed[account]--) {
        const one = shares[turn++ * 7 % vms]!;
        const name = `account-${account}`;
        one.onArrival(name, TOKENS, nowMs);
        // A fixed sequence in place of random numbers.
        const draw = (turn * 0.618_034) % 1;
        const isTaken = draw < one.takenShare(name, nowMs);
        if (isTaken) takenTokens += TOKENS;
        if (nowMs < 21_000) continue;
        outcomes[account]!.asked++;
        if (isTaken) outcomes[account]!.taken++;
      }
    }
    if (nowMs >= 25_000) takenInLastSeconds += takenTokens;
    backlog = Math.max(0, backlog + takenTokens - room);
  }
  const shareOf = (list: Outcome[]) => {
    let asked = 0;
    let taken = 0;
    for (const outcome of list) {
      asked += outcome.asked;
      taken += outcome.taken;
    }
    return taken / asked;
  };
  return {
    others: shareOf(outcomes.slice(0, ACCOUNTS - hot)),
    hot: shareOf(outcomes.slice(ACCOUNTS - hot)),
    usedRoom: takenInLastSeconds / (room * 5000 / STEP_MS),
  };
}

// Load: one to five accounts send 20 times their usual, at 9 to 73 VMs.
for (const [vms, hot] of [[9, 1], [9, 5], [22, 2], [73, 1], [73, 5]] as const) {
  test(`${hot} hot accounts cost the others nothing at ${vms} VMs`, () => {
    const result = play({ vms, hot, factor: 20 });
    const text = JSON.stringify(result);
    assert.ok(result.others >= 0.95, text);
    assert.ok(result.hot < 0.6, text);
    assert.ok(result.usedRoom > 0.9, text);
  });
}

// Load: usual demand, below the room.
test("nothing is refused below the room, whatever an account sends", () => {
  const result = play({ vms: 9, hot: 1, factor: 6, usualLoad: 0.4 });
  assert.deepEqual([result.others, result.hot], [1, 1]);
});

// Load: all accounts send twice their usual.
test("accounts are hardly cut when all of them ask for more", () => {
  const result = play({ vms: 9, hot: ACCOUNTS, factor: 2, usualLoad: 0.8 });
  assert.ok(result.hot > 0.8, JSON.stringify(result));
});

// Failure: a third of the VMs is cut off from the others.
test("the others keep their requests while a third of the VMs is cut off", () => {
  const result = play({ vms: 21, hot: 2, factor: 20, cutFrom: 14 });
  assert.ok(result.others >= 0.9, JSON.stringify(result));
});

// Failure: VMs restart one by one and know no usual rates.
test("the others keep their requests while VMs restart one by one", () => {
  const restarts = [20, 21, 22, 23, 24, 25, 26, 27, 28];
  const result = play({ vms: 22, hot: 2, factor: 20, restarts });
  assert.ok(result.others >= 0.9, JSON.stringify(result));
});
