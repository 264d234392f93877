import { createHash, type Hash } from "node:crypto";
import type { CallerRequest } from "./caller_exchange.ts";
import type { Account } from "./ports.ts";

/** Characters of a fingerprint in base64, 96 bits. */
const FINGERPRINT_LENGTH = 16;

/**
 * Hashes by which a request is recognised when its caller sends it again: of its
 * path, query, body and account, and the same with the API key instead, since a
 * configuration can change either of the two.
 */
export function fingerprintsOf(
  { pathAndQuery, body, metadata }: CallerRequest,
  account: Account | undefined,
): string[] {
  const content = createHash("sha1").update(pathAndQuery).update("\n")
    .update(body);
  const byAccount = digest(content, `account ${account?.name ?? ""}`);
  if (!account || metadata.apiKey === undefined) return [byAccount];
  return [byAccount, digest(content, `key ${metadata.apiKey}`)];
}

function digest(content: Hash, caller: string): string {
  return content.copy().update("\n").update(caller).digest("base64")
    .slice(0, FINGERPRINT_LENGTH);
}
