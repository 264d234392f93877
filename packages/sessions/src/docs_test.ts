import { MetricName } from "@rosemarytiller/metrics";
import {
  ERROR_RESPONSES,
  ErrorKind,
  EventKind,
  LOG_PREFIXES,
} from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import {
  formatRouterMetrics,
  ROUTER_METRICS_HEADING,
} from "./format_router_metrics.ts";
import { readdir, readFile } from "node:fs/promises";
import { test } from "node:test";

const DOCS = new URL("../../../docs/", import.meta.url);

function readPage(name: string): Promise<string> {
  return readFile(new URL(name, DOCS), "utf8");
}

/**
 * Returns the cells of each table row whose first cell is one code span, by the
 * span's text.
 */
function readRows(page: string): Map<string, string[]> {
  const rows = new Map<string, string[]>();
  for (const line of page.split("\n")) {
    const cells = line.split(/(?<!\\)\|/).slice(1, -1)
      .map((cell) => cell.trim());
    const [, word] = /^`([^`]+)`$/.exec(cells[0] ?? "") ?? [];
    if (word) rows.set(word, cells);
  }
  return rows;
}

test("docs/ERRORS.md lists exactly the error kinds, each with its status and what to do", async () => {
  const page = await readPage("ERRORS.md");
  const table = page.slice(page.indexOf("## What to do"));
  const rows = readRows(table);
  for (const kind of Object.values(ErrorKind)) {
    const cells = rows.get(kind);
    assert.ok(cells, `docs/ERRORS.md has no row for ${kind}`);
    assert.equal(cells[1], String(ERROR_RESPONSES[kind].status), kind);
    for (const cell of cells) assert.notEqual(cell, "", kind);
  }
  assert.deepEqual([...rows.keys()].sort(), Object.values(ErrorKind).sort());
});

test("docs/METRICS.md lists exactly the StatsD metrics", async () => {
  const [statsd = ""] = (await readPage("METRICS.md"))
    .split(ROUTER_METRICS_HEADING);
  const rows = readRows(statsd);
  assert.deepEqual([...rows.keys()].sort(), Object.values(MetricName).sort());
});

test("docs/METRICS.md lists the router's metrics (npm run metrics writes them)", async () => {
  const [, written = ""] = (await readPage("METRICS.md"))
    .split(ROUTER_METRICS_HEADING);
  const [, expected = ""] = (await formatRouterMetrics())
    .split(ROUTER_METRICS_HEADING);
  assert.deepEqual(readRows(written), readRows(expected));
});

test("docs/LOGS.md lists exactly the log prefixes", async () => {
  const rows = readRows(await readPage("LOGS.md"));
  const prefixes = Object.values(LOG_PREFIXES).map((prefix) => `[${prefix}]`);
  assert.deepEqual([...rows.keys()].sort(), prefixes.sort());
});

test("docs/TIMELINE.md mentions each kind of event", async () => {
  const page = await readPage("TIMELINE.md");
  for (const kind of Object.values(EventKind)) {
    assert.ok(page.includes(`\`${kind}\``), kind);
  }
});

test("pages under docs name only files that exist", async () => {
  const files = await readdir(new URL("../", DOCS), { recursive: true })
    .then((names) => names.filter((name) => !name.includes("node_modules")));
  const known = new Set(files.map((file) => file.split("/").at(-1)));
  for (const name of await readdir(DOCS)) {
    if (!name.endsWith(".md")) continue;
    const text = await readPage(name);
    for (const [named] of text.matchAll(/\b[\w-]+\.(md|jsonc|ts)\b/g)) {
      assert.ok(known.has(named), `docs/${name} names ${named}`);
    }
  }
});
