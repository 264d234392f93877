import { EventKind } from "@rosemarytiller/shared";
import type { TimelineEvent } from "./create_timeline.ts";

/** An event in its place, with the event of another process it follows. */
export interface OrderedEvent extends TimelineEvent {
  /** Class of the event's request; empty if none is known. */
  className: string;
  /** Place of the cause in another process, from 0; -1 if there is none. */
  cause: number;
}

/** A message between processes: who records its sending and its receipt. */
interface MessagePair {
  sent: EventKind;
  received: EventKind;
  /** Detail that holds the message's identifier on both sides. */
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
 * Orders events by cause: the sending of a message comes before its receipt,
 * each process keeps its own sequence, and wall clocks decide only between
 * events that neither rule orders.
 */
export function orderEvents(
  collected: readonly TimelineEvent[],
): OrderedEvent[] {
  const events = nameRequests(collected);
  const classes = classesByRequest(events);
  const causes = findCauses(events);
  const lanes = lanesOf(events);
  const places = new Map<TimelineEvent, number>();
  const ordered: OrderedEvent[] = [];
  while (ordered.length < events.length) {
    const event = takeNext(lanes, (head) => {
      const cause = causes.get(head);
      return cause === undefined || places.has(cause);
    });
    const cause = causes.get(event);
    places.set(event, ordered.length);
    ordered.push({
      ...event,
      className: classes.get(event.request) ?? "",
      cause: (cause && places.get(cause)) ?? -1,
    });
  }
  return ordered;
}

/** Gives an event that knows only its permit the permit's request. */
function nameRequests(events: readonly TimelineEvent[]): TimelineEvent[] {
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

function classesByRequest(
  events: readonly TimelineEvent[],
): Map<string, string> {
  const classes = new Map<string, string>();
  for (const { request, detail } of events) {
    if (request && detail.class) classes.set(request, String(detail.class));
  }
  return classes;
}

/** Finds for each receipt the event that records the sending. */
function findCauses(
  events: readonly TimelineEvent[],
): Map<TimelineEvent, TimelineEvent> {
  const sent = new Map<string, TimelineEvent>();
  for (const event of events) {
    for (const pair of MESSAGE_PAIRS) {
      if (pair.sent !== event.kind) continue;
      sent.set(pairKey(pair, event), event);
    }
  }
  const causes = new Map<TimelineEvent, TimelineEvent>();
  for (const event of events) {
    for (const pair of MESSAGE_PAIRS) {
      if (pair.received !== event.kind) continue;
      const cause = sent.get(pairKey(pair, event));
      if (cause && cause.process !== event.process) causes.set(event, cause);
    }
  }
  return causes;
}

function pairKey(pair: MessagePair, event: TimelineEvent): string {
  return `${pair.sent} ${event.detail[pair.key]}`;
}

/** Events of each process in its own order, the next one last. */
function lanesOf(events: readonly TimelineEvent[]): TimelineEvent[][] {
  const lanes = new Map<string, TimelineEvent[]>();
  for (const event of events) {
    const lane = lanes.get(event.process) ?? [];
    lane.push(event);
    lanes.set(event.process, lane);
  }
  for (const lane of lanes.values()) {
    lane.sort((left, right) => compareInProcess(right, left));
  }
  return [...lanes.values()];
}

/** A restarted process counts from 1 again; its clock tells its starts apart. */
function compareInProcess(left: TimelineEvent, right: TimelineEvent): number {
  const leftStartMs = left.wallMs - left.monotonicMs;
  const rightStartMs = right.wallMs - right.monotonicMs;
  if (Math.abs(leftStartMs - rightStartMs) > CLOCK_STEP_MS) {
    return leftStartMs - rightStartMs;
  }
  return left.sequence - right.sequence;
}

/** Change of the wall clock that is not taken for a restart. */
const CLOCK_STEP_MS = 1000;

/** Takes the earliest event that may come; a broken cause holds up nothing. */
function takeNext(
  lanes: readonly TimelineEvent[][],
  mayCome: (event: TimelineEvent) => boolean,
): TimelineEvent {
  let best: TimelineEvent[] | undefined;
  let earliest: TimelineEvent[] | undefined;
  for (const lane of lanes) {
    const head = lane.at(-1);
    if (!head) continue;
    if (isEarlier(head, earliest?.at(-1))) earliest = lane;
    if (isEarlier(head, best?.at(-1)) && mayCome(head)) best = lane;
  }
  return (best ?? earliest)!.pop()!;
}

function isEarlier(
  event: TimelineEvent,
  other: TimelineEvent | undefined,
): boolean {
  if (!other || event.wallMs < other.wallMs) return true;
  if (event.wallMs > other.wallMs) return false;
  return event.process < other.process;
}
