import process from "node:process";
import { test } from "node:test";
import { checkQueue } from "./check_queue.ts";

const SEED = Number(process.env.SEED ?? 20_261_203);

test(`the queue agrees with its reference model (seed ${SEED})`, () => {
  checkQueue({ seed: SEED, runs: 300 });
});
