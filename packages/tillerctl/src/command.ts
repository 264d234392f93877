/** Exit codes of `tillerctl`. */
export enum ExitCode {
  /** Done, and everything that was asked answered. */
  Ok = 0,
  /** Failed, or some process could not be reached. */
  Failed = 1,
  /** Wrong use, or a document or settings file with faults. */
  Invalid = 2,
}

/** Flags of all subcommands; each uses some. */
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
}

/** What a subcommand gets. */
export interface CommandCall {
  /** Arguments after the subcommand's name. */
  input: readonly string[];
  flags: CommandFlags;
  /** Writes results, line ends included. */
  print(text: string): void;
  /** Writes a remark for a person beside the results. */
  warn(text: string): void;
}

/** A subcommand. */
export type Command = (call: CommandCall) => Promise<ExitCode>;

/** Thrown for a wrong use of the command line. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "UsageError";
  }
}
