import { createStandInEngine, expectedTokens } from "@rosemarytiller/standins";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { callChat, callFleet, TEST_KEY } from "./call_fleet.ts";
import { startTestEntry, type TestEntry } from "./start_test_entry.ts";

const BODY_TIMEOUT_MS = 300;
const MAX_BODY_BYTES = 2048;
const BODY = { model: "small", messages: [{ role: "user", content: "hi" }] };

let engine: Awaited<ReturnType<typeof createStandInEngine>>;
let server: TestEntry;

before(async () => {
  engine = await createStandInEngine();
  server = await startTestEntry({
    engines: [engine.url],
    service: engine.url,
    settings: { bodyTimeoutMs: BODY_TIMEOUT_MS, maxBodyBytes: MAX_BODY_BYTES },
  });
});

after(async () => {
  // The entry must still serve requests after all the invalid input.
  const answer = await callChat(server.url, BODY);
  assert.equal(answer.status, 200);
  await server.close();
  await engine.close();
});

/**
 * Sends raw bytes on a new connection; returns all that is received until it
 * closes.
 */
async function sendRaw(
  text: string,
  options: { halfClose?: boolean } = {},
): Promise<string> {
  const { port } = new URL(server.url);
  const socket = connect(Number(port), "127.0.0.1");
  let received = "";
  socket.setEncoding("utf8").on("data", (chunk) => received += chunk);
  socket.on("error", () => {});
  socket.write(text);
  if (options.halfClose) socket.end();
  await once(socket, "close");
  return received;
}

function formatHead(lines: string[]): string {
  return [...lines, "", ""].join("\r\n");
}

const CHAT_HEAD = [
  "POST /v1/chat/completions HTTP/1.1",
  "host: entry",
  `authorization: Bearer ${TEST_KEY}`,
  "content-type: application/json",
];

function parseProblem(text: string): { kind: string; detail: string } {
  return JSON.parse(text.slice(text.lastIndexOf("\r\n\r\n")));
}

function parseErrorKind(text: string): string {
  return parseProblem(text).kind;
}

interface BadBody {
  name: string;
  body: unknown;
  status: number;
  kind: string;
}

const BAD_BODIES: BadBody[] = [
  {
    name: "an unknown model",
    body: { ...BODY, model: "none" },
    status: 404,
    kind: "unknown-model",
  },
  {
    name: "a model named __proto__",
    body: { ...BODY, model: "__proto__" },
    status: 404,
    kind: "unknown-model",
  },
  {
    name: "a model named constructor",
    body: { ...BODY, model: "constructor" },
    status: 404,
    kind: "unknown-model",
  },
  { name: "an array as body", body: [], status: 400, kind: "invalid-request" },
  {
    name: "no messages",
    body: { model: "small" },
    status: 400,
    kind: "invalid-request",
  },
  {
    name: "a number as model",
    body: { ...BODY, model: 1e308 },
    status: 400,
    kind: "invalid-request",
  },
];

for (const { name, body, status, kind } of BAD_BODIES) {
  test(`${name} is refused`, async () => {
    const answer = await callChat(server.url, body as Record<string, unknown>);
    assert.equal(answer.status, status, answer.text);
    const problem = JSON.parse(answer.text);
    assert.deepEqual([problem.kind, problem.run], [kind, "not-run"]);
    const type = answer.headers.get("content-type");
    assert.equal(type, "application/problem+json");
  });
}

interface BadRequest {
  name: string;
  path?: string;
  options: Parameters<typeof callFleet>[1];
  status: number;
}

const JSON_TYPE = { "content-type": "application/json" };
const BAD_REQUESTS: BadRequest[] = [
  {
    name: "malformed JSON",
    options: { method: "POST", body: '{"model":', headers: JSON_TYPE },
    status: 400,
  },
  {
    name: "deeply nested JSON",
    options: { method: "POST", body: "[".repeat(2000), headers: JSON_TYPE },
    status: 400,
  },
  {
    name: "a wrong content type",
    options: {
      method: "POST",
      body: "{}",
      headers: { "content-type": "text/plain" },
    },
    status: 415,
  },
  {
    name: "a wrong key",
    options: { method: "POST", body: "{}", key: "wrong" },
    status: 401,
  },
  { name: "an unsupported method", options: { method: "GET" }, status: 404 },
  { name: "an unknown route", path: "/v2/anything", options: {}, status: 404 },
  {
    name: "an unknown service",
    path: "/v1/services/none/x",
    options: {},
    status: 404,
  },
  {
    name: "a service named __proto__",
    path: "/v1/services/__proto__/x",
    options: {},
    status: 404,
  },
  {
    name: "a model's name as service",
    path: "/v1/services/small/x",
    options: {},
    status: 404,
  },
  {
    name: "an empty Idempotency-Key",
    path: "/v1/services/orders/x",
    options: { headers: { "idempotency-key": "" } },
    status: 400,
  },
  {
    name: "an Idempotency-Key of 256 characters",
    path: "/v1/services/orders/x",
    options: { headers: { "idempotency-key": "k".repeat(256) } },
    status: 400,
  },
  {
    name: "an Idempotency-Key with a space",
    path: "/v1/services/orders/x",
    options: { headers: { "idempotency-key": "a b" } },
    status: 400,
  },
];

for (const { name, path, options, status } of BAD_REQUESTS) {
  test(`${name} is refused`, async () => {
    const url = server.url + (path ?? "/v1/chat/completions");
    const answer = await callFleet(url, options);
    assert.equal(answer.status, status, answer.text);
    assert.equal(JSON.parse(answer.text).run, "not-run");
  });
}

test("a body whose content-length exceeds the limit is refused before it is read", async () => {
  const lines = [...CHAT_HEAD, `content-length: ${10 ** 12}`];
  const text = await sendRaw(formatHead(lines) + '{"model"');
  assert.match(text, /^HTTP\/1.1 413 /);
  assert.equal(parseErrorKind(text), "body-too-large");
  const detail = "the body has more than 2048 bytes; send a smaller one";
  assert.equal(parseProblem(text).detail, detail);
});

test("a chunked body over the size limit is refused while it is received", async () => {
  const lines = [...CHAT_HEAD, "transfer-encoding: chunked"];
  const chunk = `1000\r\n${"x".repeat(4096)}\r\n`;
  const text = await sendRaw(formatHead(lines) + chunk.repeat(4));
  assert.match(text, /^HTTP\/1.1 413 /);
  assert.equal(parseErrorKind(text), "body-too-large");
});

test("an incomplete body is answered with 408 after a timeout", async () => {
  const lines = [...CHAT_HEAD, "content-length: 100"];
  const text = await sendRaw(formatHead(lines) + '{"model"');
  assert.match(text, /^HTTP\/1.1 408 /);
  assert.equal(parseErrorKind(text), "request-timeout");
  const detail = "the body did not arrive within 300 ms; send it again over " +
    "a faster connection";
  assert.equal(parseProblem(text).detail, detail);
});

test("incomplete headers are answered with 408 after a timeout", async () => {
  const text = await sendRaw("POST /v1/chat/completions HTTP/1.1\r\nhost: e");
  assert.match(text, /^HTTP\/1.1 408 /);
  assert.equal(parseErrorKind(text), "request-timeout");
  const detail = "the request did not arrive in time; send it again over a " +
    "faster connection";
  assert.equal(parseProblem(text).detail, detail);
});

test("a caller that disconnects while sending its body has its connection closed and leaves no open permit", async () => {
  const lines = [...CHAT_HEAD, "content-length: 100"];
  await sendRaw(formatHead(lines) + '{"model"', { halfClose: true });
  assert.equal(server.openPermits(), 0);
});

test("headers over the size limit are answered with 431", async () => {
  const flood = `x-flood: ${"y".repeat(64 * 1024)}`;
  const text = await sendRaw(formatHead([...CHAT_HEAD, flood]));
  assert.match(text, /^HTTP\/1.1 431 /);
  assert.equal(parseErrorKind(text), "headers-too-large");
  const detail = "the headers have more than 16384 bytes; send fewer";
  assert.equal(parseProblem(text).detail, detail);
});

test("bytes that are not HTTP are answered with 400", async () => {
  const text = await sendRaw("hello\r\n\r\n");
  assert.match(text, /^HTTP\/1.1 400 /);
  assert.equal(parseErrorKind(text), "invalid-request");
  assert.match(parseProblem(text).detail, /^the request is not valid HTTP: /);
});

for (const name of ["authorization", "idempotency-key"]) {
  test(`a repeated ${name} header is refused`, async () => {
    const lines = [
      ...CHAT_HEAD,
      `${name}: Bearer one`,
      `${name}: Bearer two`,
      "content-length: 2",
      "connection: close",
    ];
    // The headers are checked first, so the body's content is irrelevant.
    const text = await sendRaw(formatHead(lines) + "{}");
    assert.match(text, /^HTTP\/1.1 400 /);
    assert.equal(parseErrorKind(text), "invalid-request");
  });
}

for (const path of ["http://127.0.0.9/v1/models", "//127.0.0.9/v1/models"]) {
  test(`the path ${path} matches no route`, async () => {
    const lines = [
      `GET ${path} HTTP/1.1`,
      "host: entry",
      `authorization: Bearer ${TEST_KEY}`,
      "connection: close",
    ];
    const text = await sendRaw(formatHead(lines));
    assert.match(text, /^HTTP\/1.1 404 /);
    assert.equal(parseErrorKind(text), "unknown-route");
  });
}

for (const segment of ["..", "%2e%2E", ".", "..%2f"]) {
  test(`the segment ${segment} in a service's path is refused`, async () => {
    const lines = [
      `GET /v1/services/orders/a/${segment}/b HTTP/1.1`,
      "host: entry",
      `authorization: Bearer ${TEST_KEY}`,
      "connection: close",
    ];
    const text = await sendRaw(formatHead(lines));
    assert.match(text, /^HTTP\/1.1 400 /);
    assert.equal(parseErrorKind(text), "invalid-request");
  });
}

test("pipelined requests are answered completely and in order", async () => {
  const request = (content: string, extra: string[]) => {
    const messages = [{ role: "user", content }];
    const body = JSON.stringify({ ...BODY, messages, max_tokens: 2 });
    const lines = [...CHAT_HEAD, `content-length: ${body.length}`, ...extra];
    return formatHead(lines) + body;
  };
  const text = await sendRaw(
    request("first", []) + request("second", ["connection: close"]),
  );
  assert.equal(text.match(/HTTP\/1.1 200 /g)?.length, 2);
  const [first, second] = ["first", "second"].map((content) =>
    text.indexOf(
      expectedTokens(JSON.stringify([{ role: "user", content }]), 1)[0],
    )
  );
  assert.ok(first > 0 && second > first, text);
});

test("a connection stays usable after a refused request", async () => {
  const body = JSON.stringify(BODY);
  const refused = formatHead([...CHAT_HEAD, "content-length: 1"]) + "{";
  const served = formatHead([
    ...CHAT_HEAD,
    `content-length: ${body.length}`,
    "connection: close",
  ]) + body;
  const text = await sendRaw(refused + served);
  assert.match(text, /^HTTP\/1.1 400 [^]*HTTP\/1.1 200 /);
});
