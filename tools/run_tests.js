// Runs every compiled test file with Node's test runner. Tests listed in
// KNOWN-RED.txt may fail: they are printed and do not change the exit code.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { basename, resolve } from "node:path";
import process from "node:process";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const CONCURRENCY = 4;
/** Files of tests that run one at a time, after all others. */
const APART_PREFIX = "unruly_";
/** Time after which a test file fails whose process has not ended, in ms. */
const FILE_TIMEOUT_MS = 600_000;

function listTestFiles() {
  const files = [];
  const folders = readdirSync("packages").sort()
    .map((name) => `packages/${name}/dist`);
  for (const folder of [...folders, "platform/dist"]) {
    if (!existsSync(folder)) continue;
    for (const file of readdirSync(folder, { recursive: true }).sort()) {
      if (file.endsWith("_test.js")) files.push(resolve(folder, file));
    }
  }
  return files;
}

/** Reads test names from lines of the form `test: name of the test`. */
function readKnownFailures() {
  if (!existsSync("KNOWN-RED.txt")) return new Set();
  const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
  return new Set(
    lines.filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim()),
  );
}

const files = listTestFiles();
if (files.length === 0) {
  console.error("no test file was built");
  process.exit(1);
}
const knownFailureNames = readKnownFailures();
const failures = [];
const knownFailures = [];
let passed = 0;

/** Runs test files, this many at a time; resolves when all have ended. */
function runFiles(selected, concurrency) {
  const events = run({
    files: selected,
    concurrency,
    timeout: FILE_TIMEOUT_MS,
  });
  events.on("test:pass", () => passed++);
  events.on("test:fail", ({ name, details, file }) => {
    // A failed subtest fails its parent too; only the subtest is counted.
    if (details.error?.failureType === "subtestsFailed") return;
    (knownFailureNames.has(name) ? knownFailures : failures).push(
      `${name} (${file ?? ""})`,
    );
  });
  return new Promise((resolve) => {
    events.on("end", resolve);
    events.compose(new spec()).pipe(process.stdout, { end: false });
  });
}

const isApart = (file) => basename(file).startsWith(APART_PREFIX);
await runFiles(files.filter((file) => !isApart(file)), CONCURRENCY);
await runFiles(files.filter(isApart), 1);
for (const name of knownFailures) console.log(`known red: ${name}`);
for (const name of failures) console.log(`failed: ${name}`);
// Fails also if no test passed.
process.exitCode = failures.length > 0 || passed === 0 ? 1 : 0;
