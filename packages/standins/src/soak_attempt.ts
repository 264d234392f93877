import type { Agent } from "node:http";

/** Shortest timeout of a route, in milliseconds. */
export const MIN_TIMEOUT_MS = 4000;

/** How a call ended at an upstream. */
export enum ExecutionEnd {
  Open = "open",
  Complete = "whole",
  /** The upstream refused the call without executing it. */
  Refused = "refused",
  /** The upstream broke the connection. */
  Broken = "broken",
  /** The router closed the connection. */
  Cancelled = "cancelled",
}

/** A call that reached an upstream. */
export interface Execution {
  upstream: string;
  arrivedMs: number;
  /** Time at which its connection closed or its response ended. */
  closedMs: number | undefined;
  end: ExecutionEnd;
  /** Whether it continues a run from a backup copy. */
  isFromBackup: boolean;
  /** Whether the upstream was silent during the call. */
  wasSilent: boolean;
  /** Whether the upstream's link was suspended during the call. */
  wasDark: boolean;
  /** Whether the upstream sent an event of a stream. */
  hasEvents: boolean;
  /** Monotonic time of its first event, in ms; undefined before. */
  firstEventMs: number | undefined;
  /** Whether the upstream responded with an error of its own. */
  isError: boolean;
}

/** A call as chosen from the seed. */
export interface CallPlan {
  path: string;
  method: string;
  body: string;
  isChunked: boolean;
  /** Whether every configuration allows the request. */
  isProper: boolean;
  /** Whether the API key is of no configuration. */
  hasUnknownKey: boolean;
  headers: Record<string, string>;
  deadlineMs: number;
  /** Time that the caller waits before it reads the body, in milliseconds. */
  readAfterMs: number;
}

/** One attempt of a call. */
export interface AttemptPlan extends CallPlan {
  id: string;
  router: number;
  agent: Agent | false;
  /** First event asked for; 0 unless the caller resumes a stream. */
  firstEvent: number;
  /** Events after which the caller closes its connection. */
  leaveAfterEvents: number;
}
