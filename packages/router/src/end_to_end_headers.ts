/** Hop-by-hop and framing headers, in lower case; they are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
]);

/**
 * Returns the headers without hop-by-hop headers, those named in `Connection`
 * included. Input and output alternate names and values, as in Node's
 * `rawHeaders`. `isExcluded` receives names in lower case and returns true for
 * further headers to drop.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  isExcluded: (name: string) => boolean = () => false,
): string[] {
  const connectionOptions = new Set<string>();
  for (let at = 0; at < rawHeaders.length; at += 2) {
    if (rawHeaders[at]!.toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[at + 1]!.split(",")) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at < rawHeaders.length; at += 2) {
    const name = rawHeaders[at]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name)) continue;
    if (isExcluded(name)) continue;
    kept.push(rawHeaders[at]!, rawHeaders[at + 1]!);
  }
  return kept;
}
