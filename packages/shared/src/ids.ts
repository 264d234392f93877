import { randomBytes } from "node:crypto";

/** Creates an identifier of 96 random bits behind a short prefix. */
export function createId(prefix: string): string {
  return `${prefix}-${randomBytes(12).toString("base64url")}`;
}
