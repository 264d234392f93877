import { type ConsolaInstance, createConsola } from "consola";
import process from "node:process";
import { LOG_PREFIXES, type LogPart } from "./enums.ts";

const logs = new Map<LogPart, ConsolaInstance>();

/** Returns the log of a part; every line starts with the part's prefix. */
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

/** Writes a warning with the part's prefix. */
export function warn(part: LogPart, message: string): void {
  useLog(part).warn(message);
}
