/** Exit codes of `tillerctl`. */
export enum ExitCode {
  /** Succeeded, and every queried process answered. */
  Ok = 0,
  /**
   * Failed, or a process was unreachable, or `explain` found a refusal, or
   * `trace` found no matching line.
   */
  Failed = 1,
  /** Invalid usage, or an invalid document or settings file. */
  Invalid = 2,
}

/** Flags of all subcommands; each subcommand reads only its own. */
export interface CommandFlags {
  json: boolean;
  settings?: string[];
  router?: string[];
  admin?: string[];
  client?: string;
  model?: string;
  service?: string;
  header?: string[];
  from?: string;
  format?: string;
  out?: string;
  request?: string;
  class?: string;
  kind?: string[];
  since?: string;
  tokens?: string;
  output?: string;
  parts?: string;
  bytes?: string;
}

/** Arguments and output functions of a subcommand. */
export interface CommandContext {
  /** Positional arguments after the subcommand's name. */
  input: readonly string[];
  flags: CommandFlags;
  /** Writes results to standard output; the text includes its line ends. */
  print(text: string): void;
  /** Writes a warning to standard error; the text includes its line end. */
  warn(text: string): void;
}

/** A subcommand; returns its exit code. */
export type Command = (context: CommandContext) => Promise<ExitCode>;

/** Thrown for invalid command-line usage; the exit code is 2. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "UsageError";
  }
}
