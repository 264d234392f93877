import type { IncomingHttpHeaders } from "node:http";

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Returns the headers to forward: without hop-by-hop headers and those that the
 * `connection` header names (RFC 9110, 7.6.1).
 */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionOptions = new Set(
    String(headers.connection ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}
