import { pino } from "pino";
import type { LogEvent } from "./enums.ts";

/** Fields of a log line in addition to its time, VM and event. */
export type LogFields = Record<string, unknown>;

/** Structured log of a process, with one JSON line per event. */
export interface EventLog {
  /** Logs normal operation; drops and counts lines beyond the rate limit. */
  info(event: LogEvent, fields: LogFields): void;
  /** Logs a failure; has its own, higher rate limit. */
  warn(event: LogEvent, fields: LogFields): void;
  /** Lines dropped since the start by the rate limits or for lack of buffer. */
  dropped(): number;
  /** Writes all buffered lines synchronously. */
  flush(): void;
}

/** Info lines a second: twice the request rate that a VM is designed for. */
const MAX_INFO_PER_SECOND = 300;
/** Warning lines a second; keeps the log readable in a burst of failures. */
const MAX_WARN_PER_SECOND = 1000;
/** Bytes buffered before a write, as one write costs as much as one line. */
const MIN_WRITE_BYTES = 8192;
/** Bytes buffered while standard output is not read; further lines are lost. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Longest time that a line is buffered, in milliseconds. */
const FLUSH_MS = 250;

/** Creates the log on standard output; `info` and `warn` never block. */
export function createEventLog(vm: string): EventLog {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_MS,
  });
  destination.on("error", () => {});
  const logger = pino({ base: { vm } }, destination);
  let dropped = 0;
  destination.on("drop", () => dropped++);
  let second = 0;
  let infos = 0;
  let warnings = 0;

  function admits(isFailure: boolean): boolean {
    const now = Math.floor(performance.now() / 1000);
    if (now !== second) {
      second = now;
      infos = 0;
      warnings = 0;
    }
    const isAdmitted = isFailure
      ? ++warnings <= MAX_WARN_PER_SECOND
      : ++infos <= MAX_INFO_PER_SECOND;
    if (!isAdmitted) dropped++;
    return isAdmitted;
  }

  return {
    info(event, fields) {
      if (admits(false)) logger.info({ event, ...fields });
    },
    warn(event, fields) {
      if (admits(true)) logger.warn({ event, ...fields });
    },
    dropped: () => dropped,
    flush: () => destination.flushSync(),
  };
}

/** Creates a log that discards everything, for tests. */
export function createNoopLog(): EventLog {
  return { info() {}, warn() {}, dropped: () => 0, flush() {} };
}
