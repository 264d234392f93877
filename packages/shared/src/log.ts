import { type ConsolaInstance, createConsola } from "consola";
import process from "node:process";
import { LOG_PREFIXES, type LogPart } from "./enums.ts";

const logs = new Map<LogPart, ConsolaInstance>();

/**
 * Returns the logger of a component. It writes to standard error, tags every
 * line with the component's prefix and takes its consola level from
 * `ROSEMARYTILLER_LOG_LEVEL`: 0 errors, 1 warnings, 3 information (default), 4
 * debug.
 */
export function useLog(part: LogPart): ConsolaInstance {
  let log = logs.get(part);
  if (log) return log;
  log = createConsola({
    level: Number(process.env.ROSEMARYTILLER_LOG_LEVEL ?? 3),
    stdout: process.stderr,
    stderr: process.stderr,
  }).withTag(LOG_PREFIXES[part]);
  logs.set(part, log);
  return log;
}

/** Logs a warning with the prefix of a component. */
export function warn(part: LogPart, message: string): void {
  useLog(part).warn(message);
}
