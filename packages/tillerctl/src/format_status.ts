import type { PoolStatus, ProcessStatus } from "@rosemarytiller/admin";
import type { FleetStatus } from "./read_status.ts";

/** Formats the status of a fleet as human-readable tables. */
export function formatStatus(status: FleetStatus): string {
  const processes = formatTable([
    ["process", "data centre", "ready", "revisions", "list", "in progress"],
    ...status.processes.map(processCells),
  ]);
  const pools = formatTable([
    ["pool", "leader", "backers", "waiting", "upstream", "calls", "limit"],
    ...status.processes.flatMap(poolRows),
  ]);
  const members = new Set(
    status.processes.flatMap((process) =>
      process.members.map(({ name, state }) => `${name} ${state}`)
    ),
  );
  return `${processes}\n${pools}\nVMs: ${[...members].join(", ") || "none"}\n`;
}

/**
 * Lists conditions that need an operator's attention, one line each: processes
 * that are unreachable or not ready, or have different revisions or VM lists.
 */
export function findRemarks(status: FleetStatus): string[] {
  const remarks = status.unreachable.map(({ address, reason }) =>
    `${address} did not answer: ${reason}. The rest is shown without it.`
  );
  if (hasDifferences(status.processes, (process) => process.revisions)) {
    remarks.push("The processes do not have the same revisions in force.");
  }
  if (hasDifferences(status.processes, (process) => process.listRevision)) {
    remarks.push("The processes do not have the same VM list.");
  }
  for (const { process, ready } of status.processes) {
    if (!ready) remarks.push(`${process} is not ready.`);
  }
  return remarks;
}

function hasDifferences(
  processes: readonly ProcessStatus[],
  read: (process: ProcessStatus) => unknown,
): boolean {
  return new Set(processes.map((process) => JSON.stringify(read(process))))
    .size > 1;
}

function processCells(process: ProcessStatus): string[] {
  const revisions = Object.entries(process.revisions)
    .map(([key, revision]) => `${key}@${revision}`);
  const { entry, broker } = process;
  return [
    process.process,
    process.dataCentre,
    process.stopping ? "stopping" : process.ready ? "yes" : "no",
    revisions.join(" ") || "none",
    String(process.listRevision),
    entry
      ? `${entry.requests} requests, ${entry.permits} permits`
      : `${broker?.pools.length ?? 0} pools`,
  ];
}

function poolRows(process: ProcessStatus): string[][] {
  return (process.broker?.pools ?? []).flatMap((pool) => {
    const rows = pool.upstreams.map(({ name, live, limit }, index) => [
      ...index === 0 ? poolCells(process, pool) : ["", "", "", ""],
      name,
      String(live),
      String(limit),
    ]);
    return rows.length > 0 ? rows : [poolCells(process, pool)];
  });
}

function poolCells(process: ProcessStatus, pool: PoolStatus): string[] {
  const waiting = Object.entries(pool.queue)
    .filter(([, length]) => length > 0)
    .map(([className, length]) => `${className} ${length}`);
  return [
    pool.pool,
    process.process,
    pool.backers ? String(pool.backers.length) : "-",
    waiting.join(", ") || "none",
  ];
}

function formatTable(rows: readonly string[][]): string {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return rows.map((row) => {
    const cells = row.map((cell, column) => cell.padEnd(widths[column]));
    return `${cells.join("  ").trimEnd()}\n`;
  }).join("");
}
