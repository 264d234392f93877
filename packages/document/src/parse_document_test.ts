import { CheckError } from "@rosemarytiller/jsonc";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseDocument } from "./parse_document.ts";

const upstream = {
  kind: "model-runner",
  serves: ["small"],
  dataCentre: "north",
  vm: "vm",
  address: "http://127.0.0.1:1",
  maxConcurrent: 4,
};
const requestClass = { name: "a", tier: 1, firstTokenMs: 1, queueMs: 10 };
const base = {
  service: "s",
  dataCentres: { north: { region: "r" } },
  clients: { one: { keys: ["0".repeat(64)] } },
  upstreams: { "u-1": upstream },
  classes: [{ ...requestClass, match: { models: ["small"] } }],
};

function fieldsOf(change: Record<string, unknown>): string[] {
  try {
    const text = JSON.stringify({ ...base, ...change }, null, 2);
    parseDocument(text, "f");
  } catch (error) {
    assert.ok(error instanceof CheckError, String(error));
    for (const problem of error.problems) {
      assert.ok(problem.line > 1 && problem.mend, problem.message);
    }
    return error.problems.map((problem) => problem.field);
  }
  return [];
}

function classesOf(...changes: Record<string, unknown>[]) {
  const named = changes.map((change, index) => ({
    ...requestClass,
    name: `class-${index}`,
    ...change,
  }));
  return { classes: named };
}

test("inconsistencies between fields are reported", () => {
  const models = { models: ["small"] };
  const cases: [string[], Record<string, unknown>][] = [
    [[], {}],
    [["classes[1].match"], classesOf({}, { match: models })],
    [["classes[1].match"], classesOf({ match: models }, { match: models })],
    [[], classesOf({ match: models }, {})],
    [
      ["classes[1].match"],
      classesOf({ match: models }, { match: { ...models, clients: ["one"] } }),
    ],
    [
      ["classes[1].name"],
      classesOf({ name: "x", match: models }, { name: "x" }),
    ],
    [["classes[0].queueMs"], classesOf({ totalMs: 10 })],
    [
      ["classes[0].match.models[0]"],
      classesOf({ match: { models: ["smal"] } }),
    ],
    [
      ["upstreams.u-1.coldConcurrent"],
      { upstreams: { "u-1": { ...upstream, coldConcurrent: 5 } } },
    ],
    [
      ["upstreams.u-1.address"],
      { upstreams: { "u-1": { ...upstream, address: "http://a.example:1" } } },
    ],
    [
      ["upstreams.u-2.serves[0]"],
      {
        upstreams: {
          "u-1": upstream,
          "u-2": { ...upstream, kind: "plain-service" },
        },
      },
    ],
    [
      ["clients.two.keys[0]"],
      { clients: { ...base.clients, two: base.clients.one } },
    ],
  ];
  for (const [expected, change] of cases) {
    assert.deepEqual(fieldsOf(change), expected, JSON.stringify(change));
  }
});

test("the sum of a document's floor shares is bounded", () => {
  const shares = [0.25, 0.25, 0.01].map((floorShare, index) => ({
    floorShare,
    match: index < 2 ? { header: { name: "x", value: `${index}` } } : {},
  }));
  assert.deepEqual(fieldsOf(classesOf(...shares)), ["classes[2].floorShare"]);
  assert.deepEqual(fieldsOf(classesOf(...shares.slice(0, 2))), []);
});
