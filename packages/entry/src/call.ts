import type { RequestClass, ServiceDocument } from "@rosemarytiller/document";
import type { UpstreamKind } from "@rosemarytiller/shared";
import type { Buffer } from "node:buffer";

/** A caller's request after it has been parsed and classified. */
export interface Call {
  /** Identifier of the request. */
  requestId: string;
  /** Document by which the request was classified. */
  document: ServiceDocument;
  requestClass: RequestClass;
  /** Name of the caller's client account. */
  client: string;
  kind: UpstreamKind;
  /** Name of the requested model or plain service. */
  target: string;
  /** Whether the caller requested server-sent events. */
  stream: boolean;
  method: string;
  /** Path at the upstream, with its query. */
  path: string;
  /** Headers that are forwarded to the upstream. */
  headers: Record<string, string | string[]>;
  body: Buffer;
  /** Monotonic time at which the request arrived, in milliseconds. */
  arrivedMs: number;
  /** Value of the Idempotency-Key header, if any. */
  idempotencyKey: string | undefined;
  /** Hash of client, target, method, path and body. */
  fingerprint: string;
  /** Hash of the prompt's beginning. */
  prefixHash: string;
  /** Estimated size of the prompt in tokens. */
  promptTokens: number;
}
