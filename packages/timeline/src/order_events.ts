import { EventKind } from "@rosemarytiller/shared";
import type { TimelineEvent } from "./create_timeline.ts";

/** An event in causal order, with its class and its cause. */
export interface OrderedEvent extends TimelineEvent {
  /** Class of the event's request; empty if none is known. */
  className: string;
  /**
   * Index of the causing event, of another process, in the array that has this
   * event; -1 if there is none.
   */
  cause: number;
}

/** Event kinds recorded when a message is sent and when it is received. */
interface MessagePair {
  sent: EventKind;
  received: EventKind;
  /** Name of the detail that has the message's identifier in both events. */
  key: string;
}

const MESSAGE_PAIRS: MessagePair[] = [
  {
    sent: EventKind.PermitAsked,
    received: EventKind.PermitGranted,
    key: "ask",
  },
  {
    sent: EventKind.PermitAsked,
    received: EventKind.PermitRefused,
    key: "ask",
  },
  {
    sent: EventKind.PermitGranted,
    received: EventKind.AttemptStarted,
    key: "permit",
  },
  {
    sent: EventKind.AttemptEnded,
    received: EventKind.PermitReturned,
    key: "permit",
  },
];

/**
 * Orders events causally: a message's sending comes before its receipt, and the
 * events of each process keep their sequence. Wall clocks order only events
 * that neither rule orders.
 */
export function orderEvents(
  collected: readonly TimelineEvent[],
): OrderedEvent[] {
  const events = inferRequests(collected);
  const classes = mapClassesByRequest(events);
  const causes = findCauses(events);
  const groups = groupByProcess(events);
  const indexes = new Map<TimelineEvent, number>();
  const ordered: OrderedEvent[] = [];
  while (ordered.length < events.length) {
    const event = removeNext(groups, (head) => {
      const cause = causes.get(head);
      return cause === undefined || indexes.has(cause);
    });
    const cause = causes.get(event);
    indexes.set(event, ordered.length);
    ordered.push({
      ...event,
      className: classes.get(event.request) ?? "",
      cause: (cause && indexes.get(cause)) ?? -1,
    });
  }
  return ordered;
}

/** Fills in the request of events that have only a permit of the request. */
function inferRequests(events: readonly TimelineEvent[]): TimelineEvent[] {
  const requests = new Map<string, string>();
  for (const { request, detail } of events) {
    if (request && detail.permit) requests.set(String(detail.permit), request);
  }
  return events.map((event) => {
    if (event.request || !event.detail.permit) return event;
    const request = requests.get(String(event.detail.permit)) ?? "";
    return { ...event, request };
  });
}

function mapClassesByRequest(
  events: readonly TimelineEvent[],
): Map<string, string> {
  const classes = new Map<string, string>();
  for (const { request, detail } of events) {
    if (request && detail.class) classes.set(request, String(detail.class));
  }
  return classes;
}

/** Maps the receipt of each message to its sending in another process. */
function findCauses(
  events: readonly TimelineEvent[],
): Map<TimelineEvent, TimelineEvent> {
  const sent = new Map<string, TimelineEvent>();
  for (const event of events) {
    for (const pair of MESSAGE_PAIRS) {
      if (pair.sent !== event.kind) continue;
      sent.set(formatMessageKey(pair, event), event);
    }
  }
  const causes = new Map<TimelineEvent, TimelineEvent>();
  for (const event of events) {
    for (const pair of MESSAGE_PAIRS) {
      if (pair.received !== event.kind) continue;
      const cause = sent.get(formatMessageKey(pair, event));
      if (cause && cause.process !== event.process) causes.set(event, cause);
    }
  }
  return causes;
}

function formatMessageKey(pair: MessagePair, event: TimelineEvent): string {
  return `${pair.sent} ${event.detail[pair.key]}`;
}

/** Groups events by process, each group with its earliest event last. */
function groupByProcess(events: readonly TimelineEvent[]): TimelineEvent[][] {
  const groups = new Map<string, TimelineEvent[]>();
  for (const event of events) {
    const group = groups.get(event.process) ?? [];
    group.push(event);
    groups.set(event.process, group);
  }
  for (const group of groups.values()) {
    group.sort((left, right) => compareInProcess(right, left));
  }
  return [...groups.values()];
}

/**
 * Compares events of one process. Sequence numbers restart at 1 with the
 * process, so its start time, wall minus monotonic time, is compared first.
 * Differences up to `MAX_CLOCK_ADJUSTMENT_MS` are ignored.
 */
function compareInProcess(left: TimelineEvent, right: TimelineEvent): number {
  const leftStartMs = left.wallMs - left.monotonicMs;
  const rightStartMs = right.wallMs - right.monotonicMs;
  if (Math.abs(leftStartMs - rightStartMs) > MAX_CLOCK_ADJUSTMENT_MS) {
    return leftStartMs - rightStartMs;
  }
  return left.sequence - right.sequence;
}

/**
 * Maximum difference between the computed start times of one run of a process,
 * as after a step of the wall clock. A larger one means a restart.
 */
const MAX_CLOCK_ADJUSTMENT_MS = 1000;

/**
 * Removes and returns the earliest next event that `isAllowed` accepts. If it
 * accepts none, as when causes form a cycle, the earliest next event is taken.
 */
function removeNext(
  groups: readonly TimelineEvent[][],
  isAllowed: (event: TimelineEvent) => boolean,
): TimelineEvent {
  let earliestAllowed: TimelineEvent[] | undefined;
  let earliest: TimelineEvent[] | undefined;
  for (const group of groups) {
    const head = group.at(-1);
    if (!head) continue;
    if (isEarlier(head, earliest?.at(-1))) earliest = group;
    if (isEarlier(head, earliestAllowed?.at(-1)) && isAllowed(head)) {
      earliestAllowed = group;
    }
  }
  return (earliestAllowed ?? earliest)!.pop()!;
}

function isEarlier(
  event: TimelineEvent,
  other: TimelineEvent | undefined,
): boolean {
  if (!other || event.wallMs < other.wallMs) return true;
  if (event.wallMs > other.wallMs) return false;
  return event.process < other.process;
}
