import { pino } from "pino";
import type { LogEvent } from "./enums.ts";

/** Fields of a log line besides its time, VM and event. */
export type LogFields = Record<string, unknown>;

/** The structured log of a process: one JSON line for each decision. */
export interface EventLog {
  /** Writes an ordinary line; left out and counted beyond the rate bound. */
  info(event: LogEvent, fields: LogFields): void;
  /** Writes a line on a failure; always kept up to a higher bound. */
  warn(event: LogEvent, fields: LogFields): void;
  /** Lines left out since the start. */
  dropped(): number;
  flush(): void;
}

/** Ordinary lines a second; twice a VM's share of requests at the target. */
const MAX_INFO_PER_SECOND = 300;
/** Failure lines a second; a burst of failures stays readable. */
const MAX_WARN_PER_SECOND = 1000;
/** Bytes gathered before a write; a write costs about as much as a line. */
const MIN_WRITE_BYTES = 8192;
/** Unwritten bytes kept while standard output is not read. */
const MAX_WAITING_BYTES = 1_048_576;
/** Longest time that a line waits to be written, in milliseconds. */
const FLUSH_MS = 250;

/** Creates the log on standard output; writing never blocks. */
export function createEventLog(vm: string): EventLog {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_WAITING_BYTES,
    periodicFlush: FLUSH_MS,
  });
  destination.on("error", () => {});
  const logger = pino({ base: { vm } }, destination);
  let dropped = 0;
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

/** A log that writes nothing, for tests. */
export function createSilentLog(): EventLog {
  return { info() {}, warn() {}, dropped: () => 0, flush() {} };
}
