import { hashText } from "@rosemarytiller/shared/rendezvous";

/**
 * Fields, in order, of the messages that make up most of the traffic. Both
 * sides know them, so that the names need not be sent. Any other message, or
 * one with other fields, is sent with its names.
 */
export const MESSAGE_SHAPES: readonly (readonly string[])[] = [
  [
    "kind",
    "id",
    "request",
    "className",
    "client",
    "promptTokens",
    "prefix",
    "fingerprint",
    "stamp",
    "pool",
    "avoid",
    "retry",
    "queueMs",
  ],
  ["kind", "id", "permit", "upstream", "stamp"],
  [
    "kind",
    "permit",
    "pool",
    "upstream",
    "outcome",
    "firstTokenMs",
    "totalMs",
    "tokens",
  ],
  ["kind", "stamp", "idle", "pools", "revision", "listRevision"],
  ["kind", "echo", "stamp", "listRevision", "listAgeMs", "vouches"],
  ["pool", "free", "waitMs"],
];

/** Hash by which two processes find that they know the same shapes. */
export const SHAPES_HASH = hashText(JSON.stringify(MESSAGE_SHAPES));
