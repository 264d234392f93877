import { describeFields } from "@rosemarytiller/jsonc";
import { documentSchema } from "@rosemarytiller/document";
import { parseSettings, settingsSchema } from "@rosemarytiller/settings";
import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import { formatFieldsPage } from "./format_fields_page.ts";

test("docs/FIELDS.md is up to date (npm run fields writes it)", async () => {
  const page = new URL("../../../docs/FIELDS.md", import.meta.url);
  assert.equal(await readFile(page, "utf8"), formatFieldsPage());
});

test("every field of the document and of the VM settings has a description", () => {
  for (const schema of [documentSchema, settingsSchema]) {
    for (const { field, description } of describeFields(schema)) {
      assert.notEqual(description, "", field);
    }
  }
});

test("the example settings are valid and a host name in place of an IP address is refused", async () => {
  const file = new URL("../../../examples/vm-1.jsonc", import.meta.url);
  const text = await readFile(file, "utf8");
  assert.equal(parseSettings(text, "vm-1.jsonc").vm, "vm-1");
  const named = text.replace('"host": "127.0.0.1"', '"host": "vm-1.example"');
  assert.throws(() => parseSettings(named, "f"), /entry\.host.*IP number/);
});
