import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { ClaimProfile } from "./arbitrary_claim_history.ts";
import { checkClaims } from "./check_claims.ts";

const seed = Number(process.env.SEED ?? 20261203);
const histories = Number(process.env.RUNS ?? 40);

for (const profile of Object.values(ClaimProfile)) {
  test(`a key runs at most once within the horizon (profile ${profile}, seed ${seed})`, async (t) => {
    const { ran, refused } = await checkClaims({ seed, histories, profile });
    t.diagnostic(`${ran} claimed calls ran, ${refused} claims were refused`);
    assert.ok(ran > histories / 8, `only ${ran} claimed calls ran`);
  });
}
