import { test } from "node:test";
import { checkLeases } from "./check_leases.ts";

const RUNS = 60;

test("leaders together keep the limit, regain all of it and leak no permit", (t) => {
  const seed = Number(process.env.SEED ?? Date.now() % 2 ** 31);
  t.diagnostic(`seed ${seed}; repeat with SEED=${seed}`);
  checkLeases({ seed, runs: RUNS });
});
