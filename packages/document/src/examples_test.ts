import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { classifyRequest } from "./classify_request.ts";
import { parseDocument } from "./parse_document.ts";

const EXAMPLES = new URL("../../../examples/", import.meta.url);

function readExample(file: string) {
  return parseDocument(readFileSync(new URL(file, EXAMPLES), "utf8"), file);
}

test("the example documents are valid and have the expected classes", () => {
  const hive = readExample("hive-ledger.jsonc");
  const printers = readExample("printer-fleet.jsonc");
  const label = { "x-task": "label" };
  const ticket = { "x-task": "ticket" };
  const cases = [
    [hive, "labels", { model: "ledger-small", headers: label }],
    [hive, "collection-queries", { model: "ledger-small", headers: {} }],
    [hive, "season-summaries", { model: "ledger-large", headers: {} }],
    [hive, "member-accounts", { service: "members", headers: {} }],
    [hive, "payment-entries", { service: "payments", headers: {} }],
    [printers, "toner-questions", { model: "counter-small", headers: {} }],
    [printers, "repair-summaries", { model: "repair-large", headers: {} }],
    [printers, "work-tickets", { service: "orders", headers: ticket }],
    [printers, "supply-orders", { service: "orders", headers: {} }],
  ] as const;
  for (const [document, name, traits] of cases) {
    const client = document === hive ? "accounts-office" : "supply-desk";
    const found = classifyRequest(document, { client, ...traits });
    assert.equal(found?.name, name);
  }
  assert.equal(hive.classes.at(-1)?.idempotent, false);
  assert.equal(printers.classes.at(-1)?.idempotent, false);
});
