import type { IncomingHttpHeaders } from "node:http";

/** Headers that belong to one connection and are not passed on. */
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

/** Returns the headers without those of the connection (RFC 9110, 7.6.1). */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = new Set(
    String(headers.connection ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || named.has(name)) continue;
    passed[name] = value;
  }
  return passed;
}
