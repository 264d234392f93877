import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { test } from "node:test";
import { readLimited } from "./read_limited.ts";

test("a stream within the limit is read completely", async () => {
  const stream = Readable.from([Buffer.from("ab"), Buffer.from("c")]);
  assert.equal(String(await readLimited(stream, 1000)), "abc");
});

test("a stream beyond the limit is destroyed, also one of small chunks", async () => {
  for (const size of [100, 1]) {
    const chunks = Array.from({ length: 10 }, () => Buffer.alloc(size));
    const stream = Readable.from(chunks);
    await assert.rejects(readLimited(stream, 1000), /exceeds 1000 bytes/);
    assert.equal(stream.destroyed, true);
  }
});
