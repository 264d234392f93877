import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import {
  FieldError,
  listOf,
  objectOf,
  oneOf,
  optional,
  orElse,
  parseJson,
  readBase64,
  readCount,
  readName,
  readServerAddress,
  readToken,
  soundElementsOf,
  tupleOf,
  wholeNumberIn,
  withDefault,
} from "./field_readers.ts";

const parse = (text: string) => parseJson(Buffer.from(text));

test("an object's fields are read under their own names, others left out", () => {
  const read = objectOf({
    size: ["width", readCount],
    name: optional(readName),
  });
  const value = parse('{"width":3,"other":1,"__proto__":{"name":"a"}}');
  assert.deepEqual(read(value), { size: 3, name: undefined });
});

test("a refusal names the path of the field", () => {
  const read = objectOf({ list: listOf(objectOf({ slots: readCount })) });
  assert.throws(
    () => read({ list: [{ slots: 1 }, { slots: -1 }] }),
    new FieldError(
      `list: 1: slots: not a whole number from 0 to ${Number.MAX_SAFE_INTEGER}`,
    ),
  );
});

// Guards against fields that are found in the prototype of all objects.
test("a field is not found in a prototype", () => {
  assert.throws(() => objectOf({ constructor: readCount })({}), FieldError);
  const read = objectOf({ toString: optional(readCount) });
  assert.equal(read({}).toString, undefined);
});

test("missing values get defaults, odd ones do not", () => {
  const read = withDefault(readCount, 7);
  assert.equal(read(undefined), 7);
  assert.equal(read(null), 7);
  assert.throws(() => read("8"), FieldError);
  assert.throws(() => optional(readCount)(null), FieldError);
  assert.equal(orElse(readCount, 7)("8"), 7);
});

test("odd elements of a list are left out and reported", () => {
  const refusals: string[] = [];
  const read = soundElementsOf(readCount, (reason) => refusals.push(reason));
  assert.deepEqual(read([1, "2", 3]), [1, 3]);
  assert.equal(refusals.length, 1);
  assert.throws(() => read({ length: 0 }), FieldError);
  assert.throws(() => tupleOf<[number, number]>(readCount, readCount)([1]));
});

test("numbers and choices have their range", () => {
  const read = wholeNumberIn({ min: 1, max: 4 });
  for (const value of [0, 5, 1.5, NaN, Infinity, "1", null, [1], 1n]) {
    assert.throws(() => read(value), FieldError);
  }
  assert.equal(read(4), 4);
  assert.equal(oneOf(["a", "b"])("b"), "b");
  assert.throws(() => oneOf(["a", "b"])("constructor"), FieldError);
});

test("a token can be a header's value", () => {
  for (const text of ["", "v1", "a b", "~!", "x".repeat(256)]) {
    assert.equal(readToken(text), text);
  }
  for (const text of [" a", "a ", "a\n", "a\u0000", "ü", "x".repeat(257), 1]) {
    assert.throws(() => readToken(text), FieldError);
  }
  for (const text of ["", "a\u0007", "\ud800", "x".repeat(257)]) {
    assert.throws(() => readName(text), FieldError);
  }
  assert.equal(readName("Zürich 😀"), "Zürich 😀");
});

test("a server's address is an IPv4 address of one machine and a port", () => {
  assert.deepEqual(readServerAddress("10.0.0.1:80"), {
    host: "10.0.0.1",
    port: 80,
  });
  for (
    const text of ["10.0.0.1:0", "10.0.0.1:65536", "0.1.1.1:1", "240.0.0.1:1"]
  ) {
    assert.throws(() => readServerAddress(text), FieldError);
  }
});

test("base64 is read only if it is standard", () => {
  assert.deepEqual(readBase64("YWI="), Buffer.from("ab"));
  for (const text of ["YWI", "YW I=", "YWI=YWI=", "Y-_=", "€€€€"]) {
    assert.throws(() => readBase64(text), FieldError);
  }
});

test("JSON with 64 levels is read, with 65 not", () => {
  const nested = (levels: number) => "[".repeat(levels) + "]".repeat(levels);
  assert.ok(parse(nested(64)));
  assert.throws(() => parse(nested(65)), FieldError);
  // Brackets in a string are no levels.
  assert.ok(parse(JSON.stringify([`${nested(99)}"\\"${"{".repeat(99)}`])));
});

test("JSON whose numbers are too large or that is no UTF-8 is refused", () => {
  assert.deepEqual(parse('{"a":[1e308]}'), { a: [1e308] });
  for (const text of ['{"a":[1e309]}', "-1e400"]) {
    assert.throws(() => parse(text), FieldError);
  }
  assert.throws(() => parseJson(Buffer.from([0x22, 0xff, 0x22])));
});

// Guards against a text that takes minutes to be refused.
for (
  const [name, text] of [
    ["quotes", '"'.repeat(1_000_001)],
    ["escaped quotes", '"\\'.repeat(500_000)],
    ["brackets", "[".repeat(1_000_000)],
    ["braces in a string", `"${"{".repeat(1_000_000)}`],
  ] as const
) {
  test(`1 MB of ${name} is refused at once`, () => {
    const startedMs = performance.now();
    assert.throws(() => parse(text));
    assert.ok(performance.now() - startedMs < 1000);
  });
}
