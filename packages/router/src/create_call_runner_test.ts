import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorKind, TillerError } from "@rosemarytiller/shared";
import {
  type CallRunnerOptions,
  createCallRunner,
} from "./create_call_runner.ts";
import { createSendHistory } from "./create_send_history.ts";
import { RouteKind } from "./enums.ts";
import type { RequestState } from "./request_state.ts";

const ROUTE = {
  name: "writes",
  kind: RouteKind.NonIdempotent,
  isResumable: false,
  maxAttempts: 1,
};

/** A request that may run once and that no upstream has got. */
function createState(controller: AbortController): RequestState {
  const { signal } = controller;
  return {
    id: "id-1",
    route: ROUTE,
    service: { name: "plain" },
    request: { metadata: {}, body: "", arrivedMs: 0 },
    expiresMs: 1000,
    signal,
    tried: new Set(),
    relayedTo: new Set(),
    sendHistory: createSendHistory({ route: ROUTE, earlierSends: 0, signal }),
    stream: { isStream: false, isStarted: false },
  } as unknown as RequestState;
}

// Guards against a request that is passed on to another VM, and runs there,
// after it was ended while it was queued and its caller was told "not run".
test("a queued request that has ended is not passed on to another VM", async () => {
  const controller = new AbortController();
  const { signal } = controller;
  let isLost = false;
  let relays = 0;
  const calls = createCallRunner({
    scheduler: {
      place: () =>
        new Promise((_resolve, reject) => {
          signal.addEventListener("abort", () => {
            reject(new TillerError(ErrorKind.DeadlineExceeded, "aborted"));
          });
        }),
    },
    reach: {
      isLost: () => isLost,
      mayBeLost: () => isLost,
      mayBeMostlyLost: () => isLost,
    },
    relays: { start: () => void relays++ },
    plannedStop: { canEnd: () => true },
  } as unknown as CallRunnerOptions);
  const call = calls.runNext(createState(controller), 0);
  isLost = true;
  controller.abort();
  await assert.rejects(call, TillerError);
  assert.equal(relays, 0);
});
