import assert from "node:assert/strict";
import { test } from "node:test";
import { z } from "zod";
import { CheckError, parseChecked, type Problem } from "./parse_checked.ts";

const schema = z.strictObject({
  name: z.string(),
  parts: z.record(z.string(), z.strictObject({ queueMs: z.int().max(10) })),
});

function problemsOf(text: string): readonly Problem[] {
  try {
    parseChecked(text, { file: "f", schema });
  } catch (error) {
    assert.ok(error instanceof CheckError);
    return error.problems;
  }
  return assert.fail("no problem was reported");
}

test("every problem is reported with its line, field and fix", () => {
  const problems = problemsOf(`{
  // The name is missing.
  "parts": {
    "a": { "queueMs": 11 },
    "b": { "queuMs": 1, "queueMs": 2 },
    "b": { "queueMs": 3 }
  }
}`);
  const brief = problems.map(({ line, field, mend }) => [line, field, mend]);
  assert.deepEqual(brief, [
    [1, "name", "write a value (string)"],
    [4, "parts.a.queueMs", "use at most 10"],
    [6, "parts.b", "keep one of the two"],
  ]);
  const unknown = problemsOf(`{
  "name": "n", "parts": {
    "b": { "queuMs": 1, "queueMs": 2 } } }`);
  assert.equal(unknown[0].line, 3);
  assert.equal(unknown[0].field, "parts.b.queuMs");
  assert.equal(unknown[0].mend, 'did you mean "queueMs"?');
});

test("every syntax error is reported", () => {
  const problems = problemsOf(`{ "name": "n" "parts": {} \n,, }`);
  assert.ok(problems.length > 1);
  assert.equal(problems[0].line, 1);
  assert.equal(problems.at(-1)?.line, 2);
});
