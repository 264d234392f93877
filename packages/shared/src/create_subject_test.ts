import assert from "node:assert/strict";
import { test } from "node:test";
import { createSubject } from "./create_subject.ts";

test("values fed before the first observer wait for it", async () => {
  const subject = createSubject<number>();
  subject.next(1);
  subject.next(2);
  const seen: number[] = [];
  const done = subject.stream.observe((value) => seen.push(value));
  subject.next(3);
  subject.end();
  await done;
  assert.deepEqual(seen, [1, 2, 3]);
});
