import { CheckError } from "@rosemarytiller/jsonc";
import { checkFiles } from "./check_files.ts";
import {
  type Command,
  type CommandContext,
  ExitCode,
  UsageError,
} from "./command.ts";
import { explainRequest } from "./explain_request.ts";
import { showStatus } from "./show_status.ts";
import { showTimeline } from "./show_timeline.ts";
import { traceRequest } from "./trace_request.ts";
import { whereRequest } from "./where_request.ts";

const COMMANDS: Record<string, Command> = {
  check: checkFiles,
  explain: explainRequest,
  status: showStatus,
  timeline: showTimeline,
  trace: traceRequest,
  where: whereRequest,
};

/**
 * Runs the subcommand that the first argument names. Errors are written as a
 * warning and returned as an exit code, never thrown.
 */
export async function runCommand(context: CommandContext): Promise<ExitCode> {
  const [name, ...input] = context.input;
  const command = Object.hasOwn(COMMANDS, name ?? "")
    ? COMMANDS[name]
    : undefined;
  if (!command) {
    const known = Object.keys(COMMANDS).join(", ");
    context.warn(`Name a subcommand: ${known}. See tillerctl --help.\n`);
    return ExitCode.Invalid;
  }
  try {
    return await command({ ...context, input });
  } catch (error) {
    context.warn(`${(error as Error).message}\n`);
    const invalid = error instanceof UsageError || error instanceof CheckError;
    return invalid ? ExitCode.Invalid : ExitCode.Failed;
  }
}
