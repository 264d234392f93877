import { UpstreamKind } from "@rosemarytiller/shared";
import type { Call } from "./call.ts";

/** Methods that HTTP defines as idempotent. */
export const IDEMPOTENT_METHODS = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

/** Whether a call may run again after it may have run. */
export function isRepeatable(call: Call): boolean {
  if (!call.requestClass.idempotent) return false;
  if (call.kind === UpstreamKind.ModelRunner) return true;
  return IDEMPOTENT_METHODS.has(call.method);
}
