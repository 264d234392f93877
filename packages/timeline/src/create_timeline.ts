import type { Clock, EventKind } from "@rosemarytiller/shared";

/** Details of an event; values are short texts or numbers. */
export type EventDetail = Record<string, string | number | boolean>;

/** An event that one process recorded. */
export interface TimelineEvent {
  /** Name of the process: `VM/role`. */
  process: string;
  /** Sequence number within this run of the process, from 1. */
  sequence: number;
  kind: EventKind;
  /** Monotonic time of the process in milliseconds. */
  monotonicMs: number;
  /** Wall time in milliseconds since 1970. */
  wallMs: number;
  /** Request that the event belongs to; empty if none. */
  request: string;
  detail: EventDetail;
}

/** Ring buffer of the events of a process. */
export interface Timeline {
  /** Adds an event; drops the oldest if the buffer is full. */
  record(kind: EventKind, request: string, detail?: EventDetail): void;
  /** Events in order, oldest first. */
  events(): TimelineEvent[];
}

/** Creates a timeline of the newest `capacity` events, 4096 by default. */
export function createTimeline(
  options: { process: string; clock: Clock; capacity?: number },
): Timeline {
  const { process, clock, capacity = 4096 } = options;
  const ring: TimelineEvent[] = [];
  let sequence = 0;
  return {
    record(kind, request, detail = {}) {
      const index = sequence % capacity;
      sequence++;
      ring[index] = {
        process,
        sequence,
        kind,
        monotonicMs: clock.now(),
        wallMs: clock.wall(),
        request,
        detail,
      };
    },
    events() {
      const oldest = sequence % capacity;
      if (sequence <= capacity) return ring.slice();
      return [...ring.slice(oldest), ...ring.slice(0, oldest)];
    },
  };
}
