import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";

// Values of Linux on x86-64.
const CLOCK_TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;

/** CPU time (user and system) that a child process has used, from /proc. */
export function readCpuMs(child: ChildProcess): number {
  const fields = readProcFile(child, "stat").split(") ")[1].split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * 1000 / CLOCK_TICKS_PER_SECOND;
}

/** Resident set size of a child process, from /proc. */
export function readMemoryBytes(child: ChildProcess): number {
  const pages = Number(readProcFile(child, "statm").split(" ")[1]);
  return pages * PAGE_BYTES;
}

function readProcFile(child: ChildProcess, name: string): string {
  return readFileSync(`/proc/${child.pid}/${name}`, "utf8");
}
