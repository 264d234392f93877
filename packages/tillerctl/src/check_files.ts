import { parseDocument } from "@rosemarytiller/document";
import {
  CheckError,
  formatProblem,
  parseChecked,
  type Problem,
} from "@rosemarytiller/jsonc";
import { parseSettings, routerSettingsSchema } from "@rosemarytiller/settings";
import { type CommandContext, ExitCode, UsageError } from "./command.ts";
import { readText } from "./read_text.ts";

type Parser = (text: string, file: string) => unknown;

/**
 * `tillerctl check`: validates documents and settings files. Returns
 * `ExitCode.Invalid` if any of them has a problem.
 */
export async function checkFiles(context: CommandContext): Promise<ExitCode> {
  const { input, flags, print } = context;
  const checks: [string, Parser][] = [
    ...input.map((file): [string, Parser] => [file, parseDocument]),
    ...(flags.settings ?? [])
      .map((file): [string, Parser] => [file, parseSettings]),
    ...(flags.router ?? [])
      .map((file): [string, Parser] => [file, parseRouterSettings]),
  ];
  if (checks.length === 0) {
    throw new UsageError(
      "Name a document, or a settings file with --settings or --router.",
    );
  }
  const results: { file: string; valid: boolean; problems: Problem[] }[] = [];
  for (const [file, parse] of checks) {
    const problems = findProblems(await readText(file), file, parse);
    results.push({ file, valid: problems.length === 0, problems });
  }
  if (flags.json) print(`${JSON.stringify(results)}\n`);
  else print(results.map(formatResult).join(""));
  const valid = results.every((result) => result.valid);
  return valid ? ExitCode.Ok : ExitCode.Invalid;
}

function parseRouterSettings(text: string, file: string): unknown {
  return parseChecked(text, { file, schema: routerSettingsSchema });
}

function findProblems(text: string, file: string, parse: Parser): Problem[] {
  try {
    parse(text, file);
    return [];
  } catch (error) {
    if (error instanceof CheckError) return [...error.problems];
    throw error;
  }
}

function formatResult(
  result: { file: string; problems: Problem[] },
): string {
  if (result.problems.length === 0) return `${result.file}: valid\n`;
  return result.problems
    .map((problem) => `${formatProblem(problem)}\n`).join("");
}
