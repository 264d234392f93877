// Runs every compiled test file with Node's test runner and passes its verdict on.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import process from "node:process";

const files = [];
for (const name of readdirSync("packages").sort()) {
  let built = [];
  try {
    built = readdirSync(`packages/${name}/dist`, { recursive: true });
  } catch {
    continue;
  }
  for (const file of built.sort()) {
    if (!file.endsWith("_test.js")) continue;
    files.push(`packages/${name}/dist/${file}`);
  }
}
if (files.length === 0) {
  console.error("no test file was built");
  process.exit(1);
}
const result = spawnSync(
  process.execPath,
  ["--test", "--test-concurrency=6", "--test-reporter=spec", ...files],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
