import type { Clock } from "@rosemarytiller/shared";
import process from "node:process";
import { LogEvent } from "../enums.ts";
import type { EventLog } from "../event_log.ts";
import { type BodyIntake, createBodyIntake } from "./create_body_intake.ts";
import { type ByteBudget, createByteBudget } from "./create_byte_budget.ts";
import {
  type CallerConnections,
  createCallerConnections,
} from "./create_caller_connections.ts";
import { createMemoryWatch } from "./create_memory_watch.ts";

/** Bounds what callers, upstreams and other VMs may occupy, over all servers. */
export interface Intake {
  /** Memory for the bodies of requests. */
  budget: ByteBudget;
  /** Memory for responses, until callers have taken them. */
  responses: ByteBudget;
  bodies: BodyIntake;
  connections: CallerConnections;
  /**
   * Bytes that may be buffered for a slow caller before its upstream is paused;
   * fewer, the more callers there are.
   */
  maxBufferedBytes(): number;
  /** Counts a refusal or a closed connection, and logs it once a second. */
  report(reason: string): void;
  /** Much is being received, whose garbage is to be collected early. */
  onFlood(): void;
  /** Ends what takes too long; to be called every `CONNECTION_SWEEP_MS`. */
  sweep(): void;
  /** Reads the memory in use; to be called every `MEMORY_CHECK_MS`. */
  checkMemory(): void;
}

/** Reason for which responses wait for memory, or are broken off. */
export const NO_MEMORY_REASON = "response-no-memory";

/** Dependencies of the intake. */
export interface IntakeOptions {
  clock: Clock;
  log: EventLog;
  /** Memory that the process may use, in bytes. */
  memoryBytes: number;
  /** Descriptors that the process may have open. */
  maxDescriptors: number;
  /** Longest time from a request's head to the end of its body, in ms. */
  bodyTimeoutMs: number;
  /** Longest time without progress while a client reads a response, in ms. */
  readerTimeoutMs: number;
  /** Largest body within the limits, in bytes. */
  maxBodyBytes(): number;
  /** Counts a refusal or a closed connection. */
  onRefused(reason: string): void;
}

/** Part of the memory for the bodies of requests. */
const REQUEST_MEMORY_SHARE = 1 / 10;
/** Part of the memory for responses that are being received or read. */
const RESPONSE_MEMORY_SHARE = 1 / 8;
/** Part of the memory for the buffers of callers that read slowly. */
const BUFFER_MEMORY_SHARE = 1 / 16;
/** Least and most bytes that are buffered for one of these callers. */
const BUFFERED_BYTES_RANGE = [16_384, 262_144] as const;
/** Part of the memory that unfinished heads may take together. */
const HEAD_MEMORY_SHARE = 1 / 16;
/** Time for which refused callers, or a flood, count as a crowd, in ms. */
const CROWDED_MS = 1000;
/** Time between two log lines about the same reason, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

/** Creates the bounds of a process. */
export function createIntake(options: IntakeOptions): Intake {
  const { clock, log, memoryBytes, maxDescriptors, maxBodyBytes } = options;
  const { bodyTimeoutMs, readerTimeoutMs, onRefused } = options;
  const loggedMs = new Map<string, number>();
  let crowdedMs = -Infinity;
  const unlogged = new Map<string, number>();
  const memory = createMemoryWatch({
    clock,
    memoryBytes,
    residentBytes: () => process.memoryUsage.rss(),
    isCrowded: () => clock.now() - crowdedMs < CROWDED_MS,
  });
  const budget = createByteBudget({
    memoryBytes,
    memoryShare: REQUEST_MEMORY_SHARE,
    maxBodyBytes,
    isTight: memory.isTight,
  });
  const responses = createByteBudget({
    memoryBytes,
    memoryShare: RESPONSE_MEMORY_SHARE,
    maxBodyBytes: () => 0,
    // The request has run: its response is kept as long as there is room.
    isTight: () => false,
  });
  const bodies = createBodyIntake({ clock, budget, bodyTimeoutMs });
  const connections = createCallerConnections({
    clock,
    maxDescriptors,
    maxHeadBytes: memoryBytes * HEAD_MEMORY_SHARE,
    readerTimeoutMs,
    onClosed: report,
    onHeads: memory.check,
  });

  function onFlood(): void {
    crowdedMs = clock.now();
  }

  function report(reason: string): void {
    onFlood();
    onRefused(reason);
    const count = (unlogged.get(reason) ?? 0) + 1;
    unlogged.set(reason, count);
    const nowMs = clock.now();
    if (nowMs - (loggedMs.get(reason) ?? -Infinity) < LOG_INTERVAL_MS) return;
    loggedMs.set(reason, nowMs);
    unlogged.delete(reason);
    log.warn(LogEvent.IntakeBounded, {
      reason,
      count,
      usedBytes: budget.usedBytes(),
      capacityBytes: Math.round(budget.capacityBytes()),
      connections: connections.openCount(),
    });
  }

  return {
    budget,
    responses,
    bodies,
    connections,
    maxBufferedBytes() {
      const [least, most] = BUFFERED_BYTES_RANGE;
      const callers = Math.max(1, connections.openCount());
      const share = memoryBytes * BUFFER_MEMORY_SHARE / callers;
      return Math.min(most, Math.max(least, share));
    },
    report,
    onFlood,
    sweep() {
      bodies.sweep();
      connections.sweep();
    },
    checkMemory: memory.check,
  };
}
