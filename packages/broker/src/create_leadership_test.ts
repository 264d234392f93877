import {
  type BackingMessage,
  type Link,
  MessageKind,
} from "@rosemarytiller/link";
import { createFleetView } from "@rosemarytiller/platform";
import { LEASE_MS } from "@rosemarytiller/lease";
import { createFakeClock, EventKind, Role } from "@rosemarytiller/shared";
import { createTimeline } from "@rosemarytiller/timeline";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLeadership } from "./create_leadership.ts";

const POOL = "test/small@north";

function createTestLeadership() {
  const clock = createFakeClock(1000);
  const timeline = createTimeline({ process: "vm-1/broker", clock });
  const leadership = createLeadership({
    view: createFleetView({ clock }),
    clock,
    timeline,
    listLagMs: 100,
    onReleased() {},
  });
  const link = { vm: "vm-2", role: Role.Entry, incarnation: "1", send() {} };
  leadership.openLink(link as unknown as Link);
  leadership.onPermitRequest(POOL, 0, link as unknown as Link);
  function back(): void {
    const message: BackingMessage = {
      kind: MessageKind.Backing,
      echo: clock.now(),
      stamp: clock.now(),
      listRevision: 0,
      listAgeMs: 0,
      vouches: true,
      terms: [[POOL, 1]],
      live: { [POOL]: [] },
    };
    leadership.onBacking(message, link as unknown as Link);
  }
  const expired = () =>
    timeline.events().filter(({ kind }) => kind === EventKind.LeaseExpired)
      .map(({ detail }) => detail);
  return { clock, leadership, back, expired };
}

// The timeline listed the kind of event, and nothing recorded it.
test("an expired lease is recorded once, a released one is not", () => {
  const { clock, leadership, back, expired } = createTestLeadership();
  back();
  leadership.checkLeases();
  clock.advance(LEASE_MS - 1);
  leadership.checkLeases();
  assert.deepEqual(expired(), []);
  clock.advance(1);
  leadership.checkLeases();
  leadership.checkLeases();
  assert.deepEqual(expired(), [{ lease: POOL, entry: "vm-2" }]);
  back();
  leadership.checkLeases();
  leadership.releaseAll();
  clock.advance(LEASE_MS);
  leadership.checkLeases();
  assert.equal(expired().length, 1);
});
