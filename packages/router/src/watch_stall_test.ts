import { type Clock, createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSendHistory } from "./create_send_history.ts";
import { createRegistry } from "./create_registry.ts";
import type { Placement } from "./create_scheduler.ts";
import { RouteKind } from "./enums.ts";
import { createNoopLog } from "./event_log.ts";
import type { RequestState } from "./request_state.ts";
import { watchStall } from "./watch_stall.ts";

/** Watches a resumable stream whose upstream sends nothing more. */
function watchSilentStream(options: { isStarted: boolean }) {
  const fake = createFakeClock(10_000);
  /** Time by which the process's timers are late, in milliseconds. */
  let suspendedMs = 0;
  const clock: Clock = { ...fake, now: () => fake.now() + suspendedMs };
  const registry = createRegistry({ clock, log: createNoopLog() });
  registry.set("u", {
    id: "u",
    service: "engines",
    host: "127.0.0.1",
    port: 9,
    dataCentre: "north",
    slots: 8,
    isDraining: false,
    warmUpMs: 0,
    startedMs: undefined,
    softwareVersion: "v1",
  });
  const upstream = registry.find("u")!;
  registry.onReceived(upstream);
  const startedMs = clock.now();
  const silences: number[] = [];
  const route = {
    kind: RouteKind.Stream,
    isResumable: true,
    maxAttempts: 2,
    maxPauseMs: 200,
    targetMs: 400,
  };
  const { signal } = new AbortController();
  const sendHistory = createSendHistory({ route, earlierSends: 1, signal });
  watchStall({
    state: {
      sendHistory,
      route,
      stream: { isStream: true, isStarted: options.isStarted },
    } as RequestState,
    placement: { upstream, predictedMs: 100 } as Placement,
    running: {
      lastReceivedMs: () => startedMs,
      hasEvents: () => options.isStarted,
    },
    onSilent: () => void silences.push(clock.now() - startedMs),
  }, {
    clock,
    log: createNoopLog(),
    registry,
    network: { publishLoadEvent() {} },
  });
  return {
    silences,
    isEligible: () => registry.eligible("engines").length > 0,
    advance: (ms: number) => fake.advance(ms),
    /** Lets time pass in which no timer runs. */
    suspend(ms: number) {
      suspendedMs += ms;
    },
  };
}

test("a stream without events is silent after its first-event timeout", () => {
  const { silences, advance } = watchSilentStream({ isStarted: false });
  advance(1000);
  assert.deepEqual(silences, [700]);
});

// Guards against spending a stream's backup copy on a pause of its upstream.
test("a started stream is silent after more than a usual pause", () => {
  const { silences, advance } = watchSilentStream({ isStarted: true });
  advance(1100);
  assert.deepEqual(silences, []);
  advance(500);
  assert.deepEqual(silences, [1200]);
});

// Guards against taking a stall of this process for silence of an upstream:
// timers run before data that arrived meanwhile.
test("time in which the process did not run is no silence", () => {
  const { silences, advance, suspend } = watchSilentStream({
    isStarted: false,
  });
  advance(300);
  suspend(800);
  advance(300);
  assert.deepEqual(silences, []);
  advance(200);
  assert.equal(silences.length, 1);
});

// Guards against taking a healthy upstream out of use for its silence.
test("an upstream gets no calls for a while only after a silence of 2.5 s", () => {
  const { isEligible, advance } = watchSilentStream({ isStarted: true });
  advance(2400);
  assert.equal(isEligible(), true);
  advance(100);
  assert.equal(isEligible(), false);
});
