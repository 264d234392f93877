/**
 * Describes for the caller why an attempt failed. Errors of the connection have
 * a code and messages such as "other side closed", which say little by
 * themselves.
 */
export function describeFailure(reason: unknown): string {
  if (!(reason instanceof Error)) return String(reason);
  const { code } = reason as Error & { code?: unknown };
  if (typeof code !== "string") return reason.message;
  return `the connection to the upstream failed: ${reason.message || code}`;
}
