/** Headers that concern one connection only, in lower case. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
]);

/** Headers, as names and values by turns, without those of a connection. */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  isLeftOut: (name: string) => boolean = () => false,
): string[] {
  const named = new Set<string>();
  for (let at = 0; at < rawHeaders.length; at += 2) {
    if (rawHeaders[at]!.toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[at + 1]!.split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at < rawHeaders.length; at += 2) {
    const name = rawHeaders[at]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name) || named.has(name)) continue;
    if (isLeftOut(name)) continue;
    kept.push(rawHeaders[at]!, rawHeaders[at + 1]!);
  }
  return kept;
}
