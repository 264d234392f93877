import { MetricName, type Metrics } from "@rosemarytiller/metrics";
import { CallOutcome, ErrorKind, TillerError } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptResult } from "./attempt.ts";
import type { Call } from "./call.ts";
import { countAttempt } from "./count_attempt.ts";

const CALL = {
  arrivedMs: 1000,
  requestClass: { name: "labels", firstTokenMs: 430 },
} as Call;

function measure(result: Partial<AttemptResult>): string[] {
  const lines: string[] = [];
  function note(name: MetricName, value: number, tags = {}): void {
    lines.push(`${name} ${value} ${Object.values(tags).join(" ")}`);
  }
  const metrics: Metrics = {
    count: note,
    gauge: note,
    timing: note,
    close() {},
  };
  countAttempt(metrics, CALL, {
    startedMs: 1400,
    result: {
      outcome: CallOutcome.Complete,
      firstTokenMs: 20,
      totalMs: 90,
      tokens: 7,
      ...result,
    },
  });
  return lines;
}

test("time to first token is measured from the arrival of the request", () => {
  assert.deepEqual(measure({}), [
    "attempts.ended 1 labels complete",
    "tokens.delivered 7 labels",
    "requests.first_token_ms 420 labels",
    "requests.first_token_target 1 labels true",
  ]);
  assert.match(measure({ firstTokenMs: 31 }).join(), /target 1 labels false/);
});

test("tokens of an incomplete response count as wasted", () => {
  const error = new TillerError(ErrorKind.IncompleteAnswer, "cut off");
  assert.deepEqual(measure({ error, outcome: CallOutcome.Crashed }), [
    "attempts.ended 1 labels crashed",
    "tokens.wasted 7 labels",
  ]);
});
