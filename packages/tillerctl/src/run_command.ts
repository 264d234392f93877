import { CheckError } from "@rosemarytiller/jsonc";
import { checkFiles } from "./check_files.ts";
import {
  type Command,
  type CommandCall,
  ExitCode,
  UsageError,
} from "./command.ts";
import { drawTimeline } from "./draw_timeline.ts";
import { explainRequest } from "./explain_request.ts";
import { showStatus } from "./show_status.ts";
import { traceRequest } from "./trace_request.ts";

const COMMANDS: Record<string, Command> = {
  check: checkFiles,
  explain: explainRequest,
  status: showStatus,
  timeline: drawTimeline,
  trace: traceRequest,
};

/** Runs the subcommand that the first argument names. */
export async function runCommand(call: CommandCall): Promise<ExitCode> {
  const [name, ...input] = call.input;
  const command = Object.hasOwn(COMMANDS, name ?? "")
    ? COMMANDS[name]
    : undefined;
  if (!command) {
    const known = Object.keys(COMMANDS).join(", ");
    call.warn(`Name a subcommand: ${known}. See tillerctl --help.\n`);
    return ExitCode.Invalid;
  }
  try {
    return await command({ ...call, input });
  } catch (error) {
    call.warn(`${(error as Error).message}\n`);
    const invalid = error instanceof UsageError || error instanceof CheckError;
    return invalid ? ExitCode.Invalid : ExitCode.Failed;
  }
}
