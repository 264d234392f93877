import type { RequestClass, ServiceDocument } from "@rosemarytiller/document";
import type { UpstreamKind } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";

/** A caller's request, read and classed. */
export interface Call {
  /** Identifier of the request. */
  request: string;
  /** Document by which it was classed. */
  document: ServiceDocument;
  requestClass: RequestClass;
  client: string;
  kind: UpstreamKind;
  /** Model or plain service. */
  target: string;
  /** Whether the caller wants server-sent events. */
  stream: boolean;
  method: string;
  /** Path at the upstream, with its query. */
  path: string;
  /** Headers that go on to the upstream. */
  headers: Record<string, string | string[]>;
  body: Buffer;
  /** Monotonic time at which the request came. */
  arrivedMs: number;
  /** Idempotency-Key of the caller, if any. */
  idempotencyKey: string | undefined;
  /** Hash of client, target, method, path and body. */
  fingerprint: string;
  /** Hash of the prompt's beginning. */
  prefix: string;
  /** Rough size of the prompt in tokens. */
  promptTokens: number;
}
