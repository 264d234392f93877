import { randomBytes } from "node:crypto";

/** Creates an identifier: the prefix, `-` and 96 random bits in base64url. */
export function createId(prefix: string): string {
  return `${prefix}-${randomBytes(12).toString("base64url")}`;
}
