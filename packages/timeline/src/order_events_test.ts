import { EventKind } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Script } from "node:vm";
import type { TimelineEvent } from "./create_timeline.ts";
import { filterEvents } from "./filter_events.ts";
import { formatEventsAsHtml, formatEventsAsText } from "./format_events.ts";
import { orderEvents } from "./order_events.ts";

function event(
  process: string,
  sequence: number,
  rest: Partial<TimelineEvent>,
): TimelineEvent {
  return {
    process,
    sequence,
    kind: EventKind.RequestReceived,
    monotonicMs: rest.wallMs ?? 0,
    wallMs: 0,
    request: "",
    detail: {},
    ...rest,
  };
}

/** Events of one request; the broker's wall clock is 500 ms behind. */
const SKEWED_EVENTS: TimelineEvent[] = [
  event("vm-1/broker", 1, {
    kind: EventKind.PermitGranted,
    wallMs: 503,
    request: "request-1",
    detail: { ask: "ask-1", permit: "permit-1" },
  }),
  event("vm-1/broker", 2, {
    kind: EventKind.PermitReturned,
    wallMs: 509,
    detail: { permit: "permit-1" },
  }),
  event("vm-1/entry", 1, {
    kind: EventKind.RequestReceived,
    wallMs: 1001,
    request: "request-1",
    detail: { class: "labels" },
  }),
  event("vm-1/entry", 2, {
    kind: EventKind.PermitAsked,
    wallMs: 1002,
    request: "request-1",
    detail: { ask: "ask-1" },
  }),
  event("vm-1/entry", 3, {
    kind: EventKind.AttemptStarted,
    wallMs: 1004,
    request: "request-1",
    detail: { permit: "permit-1" },
  }),
  event("vm-1/entry", 4, {
    kind: EventKind.AttemptEnded,
    wallMs: 1008,
    request: "request-1",
    detail: { permit: "permit-1" },
  }),
];

test("message order takes precedence over wall clocks", () => {
  const ordered = orderEvents(SKEWED_EVENTS);
  assert.deepEqual(ordered.map(({ kind }) => kind), [
    EventKind.RequestReceived,
    EventKind.PermitAsked,
    EventKind.PermitGranted,
    EventKind.AttemptStarted,
    EventKind.AttemptEnded,
    EventKind.PermitReturned,
  ]);
  assert.deepEqual(ordered.map(({ cause }) => cause), [-1, -1, 1, 2, -1, 4]);
  assert.equal(ordered.at(-1)!.request, "request-1");
  assert.ok(ordered.every(({ className }) => className === "labels"));
});

test("events with missing or cyclic causes are still ordered", () => {
  const [granted, , , asked, started] = SKEWED_EVENTS;
  const cyclic = [
    { ...started, sequence: 1 },
    { ...asked, sequence: 2 },
    granted,
  ];
  assert.equal(orderEvents(cyclic).length, 3);
  assert.equal(orderEvents([granted]).length, 1);
});

test("events before a restart of a process come before those after it", () => {
  const beforeRestart = event("vm-1/entry", 7, {
    wallMs: 5000,
    monotonicMs: 5000,
  });
  const afterRestart = event("vm-1/entry", 1, {
    wallMs: 9000,
    monotonicMs: 10,
  });
  assert.deepEqual(
    orderEvents([afterRestart, beforeRestart]).map(({ sequence }) => sequence),
    [7, 1],
  );
});

test("filtered events keep only causes that also match", () => {
  const ordered = orderEvents(SKEWED_EVENTS);
  const kinds = [EventKind.PermitAsked, EventKind.PermitGranted];
  const kept = filterEvents(ordered, { kinds, className: "labels" });
  assert.deepEqual(kept.map(({ cause }) => cause), [-1, 0]);
  assert.equal(filterEvents(ordered, { request: "request-2" }).length, 0);
  assert.equal(filterEvents(ordered, { sinceMs: 1004 }).length, 2);
});

test("the page contains the events, escapes them and loads no other file", async () => {
  const detail = { error: "</script><b>" };
  const page = await formatEventsAsHtml(
    orderEvents([event("vm-1/entry", 1, { detail })]),
  );
  assert.ok(page.includes("\\u003c/script>\\u003cb>"));
  assert.ok(!/(src|href)=/.test(page));
  assert.equal(page.match(/<\/script>/g)?.length, 2);
  const [, script] = /<script>([^]*)<\/script>/.exec(page)!;
  assert.doesNotThrow(() => new Script(script));
});

test("the text has one line for each event", () => {
  const text = formatEventsAsText(orderEvents(SKEWED_EVENTS));
  assert.equal(text.split("\n").length, SKEWED_EVENTS.length + 1);
  assert.match(text, /vm-1\/broker {2}permit-granted .* permit=permit-1\n/);
});
