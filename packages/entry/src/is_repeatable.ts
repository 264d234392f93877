import { UpstreamKind } from "@rosemarytiller/shared";
import type { Call } from "./call.ts";

/** Methods that HTTP defines as idempotent (RFC 9110, 9.2.2), except TRACE. */
export const IDEMPOTENT_METHODS = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

/** Whether a call may be retried although an upstream may have run it. */
export function isRepeatable(call: Call): boolean {
  if (!call.requestClass.idempotent) return false;
  if (call.kind === UpstreamKind.ModelRunner) return true;
  return IDEMPOTENT_METHODS.has(call.method);
}
