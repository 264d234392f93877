import assert from "node:assert/strict";
import { test } from "node:test";
import { createSubject } from "./create_subject.ts";

test("values emitted before the first observer are buffered for it", async () => {
  const subject = createSubject<number>();
  subject.next(1);
  subject.next(2);
  const received: number[] = [];
  const done = subject.stream.observe((value) => received.push(value));
  subject.next(3);
  subject.end();
  await done;
  assert.deepEqual(received, [1, 2, 3]);
});
