import {
  classifyRequest,
  type RequestClass,
  type ServiceDocument,
} from "@rosemarytiller/document";
import type { FleetView } from "@rosemarytiller/platform";
import type { Settings } from "@rosemarytiller/settings";
import {
  type Clock,
  createId,
  ErrorKind,
  TillerError,
  UpstreamKind,
} from "@rosemarytiller/shared";
import { hashText } from "@rosemarytiller/shared/rendezvous";
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { z } from "zod";
import type { Call } from "./call.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { readBody } from "./read_body.ts";

/** Path of chat completions. */
export const CHAT_PATH = "/v1/chat/completions";
/** Path of the model list. */
export const MODELS_PATH = "/v1/models";
/** Path prefix of plain services; the service's name follows. */
export const SERVICES_PATH = "/v1/services/";

/** Bytes of a prompt that its prefix hash covers. */
const PREFIX_BYTES = 256;
/** Estimated number of bytes in a token. */
const BYTES_PER_TOKEN = 4;
/** Values of Idempotency-Key: 1 to 255 visible ASCII characters. */
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

const chatBodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().optional(),
});

/** An authenticated caller: its client account and the document defining it. */
export interface Caller {
  client: string;
  document: ServiceDocument;
}

/** Finds the client account of a request's API key; throws `TillerError`. */
export function authenticateCaller(
  request: IncomingMessage,
  view: FleetView,
): Caller {
  rejectRepeatedHeader(request, "authorization");
  const header = request.headers.authorization ?? "";
  const [scheme, key] = header.split(" ");
  if (scheme?.toLowerCase() !== "bearer" || !key) {
    throw new TillerError(
      ErrorKind.Unauthenticated,
      'the request has no API key; send "Authorization: Bearer KEY"',
    );
  }
  const hash = createHash("sha256").update(key).digest("hex");
  for (const { document } of view.documents().values()) {
    for (const [client, entry] of Object.entries(document.clients)) {
      if (entry.keys.includes(hash)) return { client, document };
    }
  }
  throw new TillerError(
    ErrorKind.Unauthenticated,
    "no client account has this API key; check the key",
  );
}

/** Dependencies of `readCall`. */
export interface ReadOptions {
  view: FleetView;
  settings: Settings;
  clock: Clock;
}

/** Reads, validates and classifies a request; throws `TillerError`. */
export async function readCall(
  request: IncomingMessage,
  options: ReadOptions,
): Promise<Call> {
  const { view, settings, clock } = options;
  const arrivedMs = clock.now();
  const caller = authenticateCaller(request, view);
  const target = readTarget(request);
  const body = await readBody(request, settings, { clock });
  const chat = target.service === undefined
    ? readChatBody(request, body)
    : undefined;
  const model = chat?.model;
  const requestClass = classifyTarget(caller, request, {
    model,
    service: target.service,
  });
  const name = model ?? target.service!;
  const kind = chat ? UpstreamKind.ModelRunner : UpstreamKind.PlainService;
  const method = request.method ?? "GET";
  const identity = `${caller.client}\n${name}\n${method} ${target.path}\n`;
  return {
    requestId: createId("request"),
    document: caller.document,
    requestClass,
    client: caller.client,
    kind,
    target: name,
    stream: chat?.stream ?? false,
    method,
    path: target.path,
    headers: forwardedHeaders(request, kind),
    body,
    arrivedMs,
    idempotencyKey: readIdempotencyKey(request),
    fingerprint: hashText(identity + body.toString()),
    prefixHash: hashText(readPrefix(body)),
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
  };
}

/** The beginning of the messages as the caller sent them, unparsed. */
function readPrefix(body: Buffer): string {
  const start = body.indexOf('"messages"');
  if (start < 0) return "";
  return body.toString("utf8", start, start + PREFIX_BYTES);
}

function readTarget(
  request: IncomingMessage,
): { service?: string; path: string } {
  const url = request.url ?? "/";
  const path = url.split("?")[0];
  if (path === CHAT_PATH && request.method === "POST") return { path };
  if (path.startsWith(SERVICES_PATH)) {
    const rest = url.slice(SERVICES_PATH.length);
    const [service] = rest.split(/[/?]/);
    return { service, path: validatePath(rest.slice(service.length) || "/") };
  }
  throw new TillerError(
    ErrorKind.UnknownRoute,
    `there is no ${request.method} ${path}; use POST ${CHAT_PATH}, ` +
      `GET ${MODELS_PATH} or ${SERVICES_PATH}NAME`,
  );
}

/**
 * Rejects a path that could escape from the upstream's base path. Returns the
 * path with a leading slash.
 */
function validatePath(path: string): string {
  const decoded = path.split("?")[0].replaceAll(/%2e/gi, ".");
  for (const segment of decoded.split(/[/\\]|%2f|%5c/i)) {
    if (segment !== "." && segment !== "..") continue;
    throw new TillerError(
      ErrorKind.InvalidRequest,
      'the path may not contain "." or ".." as a segment',
    );
  }
  return path.startsWith("?") ? `/${path}` : path;
}

function readChatBody(
  request: IncomingMessage,
  body: Buffer,
): z.infer<typeof chatBodySchema> {
  const type = (request.headers["content-type"] ?? "").split(";")[0].trim();
  if (type !== "application/json") {
    throw new TillerError(
      ErrorKind.UnsupportedMediaType,
      `the content type must be application/json, not "${type}"`,
    );
  }
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch (error) {
    throw new TillerError(ErrorKind.MalformedJson, (error as Error).message);
  }
  const result = chatBodySchema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new TillerError(
    ErrorKind.InvalidRequest,
    `${issue.path.join(".") || "body"}: ${issue.message}`,
  );
}

/**
 * Returns the class of a request for a model or plain service. Throws
 * `TillerError` if no upstream serves the target, or no class matches.
 */
function classifyTarget(
  caller: Caller,
  request: IncomingMessage,
  target: { model?: string; service?: string },
): RequestClass {
  const { document, client } = caller;
  const name = target.model ?? target.service!;
  const kind = target.model === undefined
    ? UpstreamKind.PlainService
    : UpstreamKind.ModelRunner;
  const served = Object.values(document.upstreams).some((upstream) =>
    upstream.kind === kind && upstream.serves.includes(name)
  );
  if (!served) {
    throw new TillerError(
      kind === UpstreamKind.ModelRunner
        ? ErrorKind.UnknownModel
        : ErrorKind.UnknownService,
      kind === UpstreamKind.ModelRunner
        ? `no upstream serves the model "${name}" for this client; ` +
          `GET ${MODELS_PATH} lists its models`
        : `no upstream serves the plain service "${name}" for this client; ` +
          "check the path",
    );
  }
  const { headers } = request;
  const requestClass = classifyRequest(document, {
    client,
    headers,
    ...target,
  });
  if (requestClass) return requestClass;
  throw new TillerError(
    ErrorKind.NoClass,
    `no class of "${document.service}" matches client "${client}" and ` +
      `"${name}"; ask the operators to add one`,
  );
}

function readIdempotencyKey(request: IncomingMessage): string | undefined {
  rejectRepeatedHeader(request, "idempotency-key");
  const key = request.headers["idempotency-key"];
  if (key === undefined) return undefined;
  if (typeof key === "string" && IDEMPOTENCY_KEY_PATTERN.test(key)) return key;
  throw new TillerError(
    ErrorKind.InvalidRequest,
    "Idempotency-Key must have 1 to 255 visible ASCII characters",
  );
}

/** Rejects a request that repeats a header which must be unique. */
function rejectRepeatedHeader(request: IncomingMessage, name: string): void {
  if ((request.headersDistinct[name]?.length ?? 0) <= 1) return;
  throw new TillerError(
    ErrorKind.InvalidRequest,
    `the header ${name} was sent more than once; send it once`,
  );
}

/** Headers that the entry doesn't forward: it consumes or replaces them. */
const UNFORWARDED_HEADERS = [
  "authorization",
  "content-length",
  "expect",
  "host",
  "x-attempt-id",
  "x-priority",
  "x-request-id",
];

function forwardedHeaders(
  request: IncomingMessage,
  kind: UpstreamKind,
): Record<string, string | string[]> {
  // The response of a model runner is parsed here, so no accept-encoding may
  // be forwarded that would let it be compressed.
  if (kind === UpstreamKind.ModelRunner) {
    return { "content-type": "application/json" };
  }
  const forwarded = endToEndHeaders(request.headers);
  for (const name of UNFORWARDED_HEADERS) delete forwarded[name];
  return forwarded;
}
